package feed

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// vmPrefix begins the keys under which entry VMs register themselves.
const vmPrefix = "mallowwind/vm/"

// table is the mutable state behind the views. It is used by one goroutine.
type table struct {
	schema  Schema
	entries *entries // as the store holds them
	log     *event.Log
	config  *routing.Config
	servers map[string]routing.Server
	// born is the latest life known of each server, of one that is gone as long as
	// departed remembers it.
	born map[string]int64
	// refusals holds why the entry of a key is not used, by key.
	refusals map[string]string
	refused  prometheus.Counter
	// written is the store's revision of the first entry seen here of each server's
	// present life.
	written map[string]int64
	vms     map[string]routing.VM
	// barred are the refused requests, by key.
	barred map[string]RefusedRequest
	// rollouts are those of which something lies in the store, by service.
	rollouts map[string]Rollout
	// doubtful holds when servers cease to be usable whose entries vanished
	// around an outage.
	doubtful map[string]time.Duration
	// doubtfulVMs holds when entry VMs cease to count whose entries vanished
	// around an outage.
	doubtfulVMs map[string]time.Duration
	// departed holds when each server was first known to leave or be gone.
	departed map[string]time.Duration
	// lastReached is when the store last answered; doubtUntil is until when a
	// removal may come from a lease that ran out during an outage.
	lastReached, doubtUntil time.Duration
	dirty                   bool
	// changes counts what became of the configuration and the servers; it does not
	// count an entry that was written anew as it was.
	changes int
	// read says that everything in the store was taken in once; reading, that it is
	// being taken in for the first time.
	read, reading bool
}

func newTable(schema Schema, log *event.Log) *table {
	return &table{
		schema: schema, log: log, dirty: true,
		entries:  newEntries(),
		servers:  map[string]routing.Server{},
		born:     map[string]int64{},
		refusals: map[string]string{},
		refused:  newRefused(),
		written:  map[string]int64{},
		vms:      map[string]routing.VM{},
		barred:   map[string]RefusedRequest{},
		rollouts: map[string]Rollout{},
		doubtful: map[string]time.Duration{},
		departed: map[string]time.Duration{},

		doubtfulVMs: map[string]time.Duration{},
	}
}

// replace takes in everything that the store holds at a revision. The first time the
// log has one line for all servers: at a large site a line for each, at each start of a
// daemon, fills the log with what nobody looks for.
func (t *table) replace(now time.Duration, revision int64, items []store.KV) {
	t.reading = !t.read
	present := make(map[string]bool, len(items))
	for _, kv := range items {
		present[kv.Key] = true
		t.put(kv)
	}
	for key := range t.entries.kvs {
		if !present[key] {
			t.remove(now, key, revision)
		}
	}
	if t.reading {
		t.entries.floor = revision
		t.logServers(revision)
	}
	t.read, t.reading = true, false
}

// logServers writes how many servers are known.
func (t *table) logServers(revision int64) {
	services, leaving := map[string]int{}, 0
	for _, s := range t.servers {
		services[s.Service]++
		if s.Draining {
			leaving++
		}
	}
	t.log.Emit(event.StoreRead, services, leaving, revision)
}

// change takes in what was written and removed since the revision before.
func (t *table) change(now time.Duration, events []store.Event) {
	for _, e := range events {
		if e.Kind == store.Deleted {
			t.remove(now, e.KV.Key, e.KV.Version)
			continue
		}
		t.put(e.KV)
	}
}

func (t *table) put(kv store.KV) {
	t.entries.put(kv)
	t.dirty = true
	if kv.Key == t.schema.ConfigKey() {
		t.putConfig(kv.Value)
		return
	}
	if id, ok := t.schema.ServerID(kv.Key); ok {
		t.putServer(id, kv)
		return
	}
	switch {
	case t.putRollout(kv):
	case strings.HasPrefix(kv.Key, vmPrefix):
		t.putVM(kv)
	case strings.HasPrefix(kv.Key, refusedPrefix):
		t.barred[kv.Key] = readRefused(kv)
	}
}

// putConfig never goes back: an answer that was delayed must not undo a newer one.
func (t *table) putConfig(raw []byte) {
	c, err := t.schema.DecodeConfig(raw)
	if err != nil {
		t.refuse(t.schema.ConfigKey(), err)
		return
	}
	delete(t.refusals, t.schema.ConfigKey())
	if t.config != nil && c.Version <= t.config.Version {
		return
	}
	t.config = c
	t.dirty = true
	t.changes++
	t.log.Emit(event.RoutingInForce, c.Version)
}

// refuse records that the entry of a key cannot be used, once for each reason: a server
// writes its entry anew with each heartbeat.
func (t *table) refuse(key string, err error) {
	if t.refusals[key] == err.Error() {
		return
	}
	t.refusals[key] = err.Error()
	t.refused.Inc()
	t.log.Emit(event.EntryRefused, key, err)
}

// putServer takes in the entry of a server. One that cannot be used names no server, also
// where the entry before it did: nobody knows any more whether that one leaves.
//
// The failure that the order of lives guards against: a server restarts under its id, and
// a write of the life before arrives after the first of the new one. It would mark the
// new life as leaving, or take it for the old one with its runs and copies.
func (t *table) putServer(id string, kv store.KV) {
	s, err := t.schema.DecodeServer(id, kv.Value)
	if err != nil {
		t.refuse(kv.Key, err)
		if _, known := t.servers[id]; known {
			t.forget(id)
		}
		return
	}
	delete(t.refusals, kv.Key)
	if known := t.born[id]; s.Incarnation().Before(routing.Incarnation{ID: id, StartedAtMS: known}) {
		t.log.Emit(event.EntryOutdated, id, s.StartedAtMS, known)
		return
	}
	delete(t.doubtful, id)
	t.note(id, s.Draining)
	if _, known := t.written[id]; !known || t.born[id] != s.StartedAtMS {
		t.written[id] = kv.Version
	}
	t.born[id] = s.StartedAtMS
	if t.servers[id] != s {
		t.servers[id] = s
		t.dirty = true
		t.changes++
		if !t.reading {
			t.log.Emit(event.ServerSeen, id, s.Service, s.Zone, s.Address, s.Draining, kv.Version)
		}
	}
}

func (t *table) putVM(kv store.KV) {
	vm, err := decodeVM(strings.TrimPrefix(kv.Key, vmPrefix), kv.Value)
	if err != nil {
		t.refuse(kv.Key, err)
		t.removeVM(kv.Key)
		return
	}
	delete(t.refusals, kv.Key)
	delete(t.doubtfulVMs, kv.Key)
	if t.vms[kv.Key] != vm {
		t.vms[kv.Key] = vm
		t.dirty = true
	}
}

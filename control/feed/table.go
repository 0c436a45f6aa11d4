package feed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// rememberDeparted is how long a server that left is remembered: longer than
// the longest answer during which its id may still turn up.
const rememberDeparted = time.Minute

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
		doubtful: map[string]time.Duration{},
		departed: map[string]time.Duration{},

		doubtfulVMs: map[string]time.Duration{},
	}
}

// reached records an answer of the store.
func (t *table) reached(asked, now time.Duration) {
	if t.lastReached != 0 && asked-t.lastReached > outageMin {
		t.doubtUntil = now + reregister
	}
	t.lastReached = now
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
		t.logServers(revision)
	}
	t.read, t.reading = true, false
}

// logServers writes how many servers are known.
func (t *table) logServers(revision int64) {
	services, leaving := map[string]int{}, 0
	for _, s := range t.servers {
		services[s.Service]++
		if s.Leaving {
			leaving++
		}
	}
	t.log.Emit(event.StoreRead, services, leaving, revision)
}

func (t *table) removeVM(key string) {
	if _, ok := t.vms[key]; ok {
		delete(t.vms, key)
		t.dirty = true
	}
}

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
	if strings.HasPrefix(kv.Key, vmPrefix) {
		t.putVM(kv)
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
	if known := t.born[id]; s.Life().Before(routing.Life{ID: id, Born: known}) {
		t.log.Emit(event.EntryOutdated, id, s.Born, known)
		return
	}
	delete(t.doubtful, id)
	t.note(id, s.Leaving)
	if _, known := t.written[id]; !known || t.born[id] != s.Born {
		t.written[id] = kv.Version
	}
	t.born[id] = s.Born
	if t.servers[id] != s {
		t.servers[id] = s
		t.dirty = true
		t.changes++
		if !t.reading {
			t.log.Emit(event.ServerSeen, id, s.Service, s.Zone, s.Address, s.Leaving, kv.Version)
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

func (t *table) remove(now time.Duration, key string, revision int64) {
	t.entries.remove(key, revision)
	delete(t.refusals, key)
	t.dirty = true
	if id, ok := t.schema.ServerID(key); ok {
		t.removeServer(now, id)
		return
	}
	if vm, ok := t.vms[key]; ok && !vm.Leaving && now < t.doubtUntil {
		// Daemons that register again must not seem gone meanwhile: each would take
		// the whole budget of repeats and all engines for its own.
		t.doubtfulVMs[key] = now + reregister
		return
	}
	t.removeVM(key)
}

// removeServer drops a server, or keeps it for a while where the store was
// away: its lease may have run out although it lives. Without that, a daemon
// that reaches the store first after an outage has nowhere to send requests.
func (t *table) removeServer(now time.Duration, id string) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	if now < t.doubtUntil && !s.Leaving {
		if _, kept := t.doubtful[id]; !kept {
			t.doubtful[id] = now + doubtTime
			t.log.Emit(event.ServerGone, id, s.Service, doubtTime)
		}
		return
	}
	t.forget(id)
	t.log.Emit(event.ServerGone, id, s.Service, time.Duration(0))
}

// note remembers whether a server departs.
func (t *table) note(id string, departs bool) {
	if !departs {
		delete(t.departed, id)
		return
	}
	if _, known := t.departed[id]; !known {
		t.departed[id] = t.lastReached
	}
}

func (t *table) forget(id string) {
	t.note(id, true)
	delete(t.servers, id)
	delete(t.written, id)
	delete(t.doubtful, id)
	delete(t.refusals, id)
	t.dirty = true
	t.changes++
}

// expire drops the servers whose time in doubt is over.
func (t *table) expire(now time.Duration) bool {
	gone := false
	for id, until := range t.doubtful {
		if now >= until {
			t.forget(id)
			gone = true
		}
	}
	for key, until := range t.doubtfulVMs {
		if now >= until {
			delete(t.doubtfulVMs, key)
			t.removeVM(key)
			gone = true
		}
	}
	for id, since := range t.departed {
		if _, here := t.servers[id]; !here && now-since > rememberDeparted {
			delete(t.departed, id)
			delete(t.born, id)
		}
	}
	return gone
}

func (t *table) view() *View {
	v := &View{Config: t.config, Servers: map[string][]routing.Server{}}
	v.departed = maps.Clone(t.departed)
	holders := t.holders()
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		s := t.servers[id]
		if !t.named(s.Service) {
			t.refuse(id, errors.Errorf("field service is %q, which the configuration does not name", s.Service))
			continue
		}
		delete(t.refusals, id)
		if holders[s.Address] != id {
			continue
		}
		v.Servers[s.Service] = append(v.Servers[s.Service], s)
	}
	for _, key := range slices.Sorted(maps.Keys(t.vms)) {
		v.VMs = append(v.VMs, t.vms[key])
	}
	return v
}

// named reports whether the configuration knows a service; before the first all are.
func (t *table) named(service string) bool {
	return t.config == nil || t.config.Service(service) != nil
}

// holders returns the newest server at each address. The entry of one that
// crashed stays for seconds after its successor wrote its own; what is sent
// there by the old entry is turned away. An entry of a service that nobody has
// configured takes no address from a server that is in use.
func (t *table) holders() map[string]string {
	holders := make(map[string]string, len(t.servers))
	for id, s := range t.servers {
		if !t.named(s.Service) {
			continue
		}
		other, taken := holders[s.Address]
		if !taken || t.written[id] > t.written[other] {
			holders[s.Address] = id
		}
	}
	return holders
}

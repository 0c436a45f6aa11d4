package feed

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/tidwall/btree"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// vmPrefix begins the keys under which entry VMs register.
const vmPrefix = "mallowwind/vm/"

// table is the mutable state from which views are built. It is not safe for concurrent use;
// Manager.mu guards it.
type table struct {
	schema  Schema
	entries *entries // raw entries as read from the store
	log     *event.Log
	config  *routing.Config
	// published is the last view built; nil before the first one.
	published *View
	servers   map[string]*routing.Server
	// atAddress holds the ids of servers by their address.
	atAddress map[string][]string
	// listings holds the usable servers by service.
	listings map[string]*listing
	// incarnations holds the start of each server's latest known incarnation. It keeps that of a
	// server that is gone for as long as departed holds the server.
	incarnations map[string]int64
	// rejections holds the reason why an entry is not used, by key.
	rejections    map[string]string
	rejectedTotal prometheus.Counter
	// firstRevisions holds, for each server, the store revision of the first entry seen of its
	// current incarnation.
	firstRevisions map[string]int64
	vms            map[string]routing.VM
	vmsChanged     bool // since the last view
	// refusedRequests holds the refused requests by store key.
	refusedRequests map[string]RefusedRequest
	refusedChanged  bool // since the last view
	// rollouts holds the orders and statuses of roll-outs, by service.
	rollouts map[string]Rollout
	// serverGraceEnds holds the end of the grace period of each server whose entry vanished around
	// an outage. The server stays usable until then.
	serverGraceEnds map[string]time.Duration
	// vmGraceEnds holds the end of the grace period of each entry VM whose entry vanished around an
	// outage, by store key. The VM counts as registered until then.
	vmGraceEnds map[string]time.Duration
	// departed holds the time at which each server was first known to be leaving or gone, and
	// departures the same in the order of time, with servers that have returned since.
	departed   btree.Map[string, time.Duration]
	departures []departure
	changes    changeLog
	restored   restoration
	// lastAnsweredAt is the time of the store's last answer. Until recoveryUntil, a removal may be
	// due to a lease that expired during an outage.
	lastAnsweredAt, recoveryUntil time.Duration
	dirty                         bool
	// urgentRevision is the highest revision of an entry that describes neither a server nor a VM.
	urgentRevision int64
	// controlChanged is set by a change of such an entry, until the next view.
	controlChanged bool
	// changeCount counts the changes of the configuration, the servers and the roll-outs. An entry
	// that is rewritten with the same value does not count for the configuration and the servers.
	changeCount int
	// initialized is set once the whole store has been read; initializing is set during that first
	// read.
	initialized, initializing bool
}

func newTable(schema Schema, log *event.Log) *table {
	return &table{
		schema: schema, log: log, dirty: true, vmsChanged: true, refusedChanged: true,
		entries:         newEntries(),
		servers:         map[string]*routing.Server{},
		incarnations:    map[string]int64{},
		rejections:      map[string]string{},
		rejectedTotal:   newRejectedCounter(),
		firstRevisions:  map[string]int64{},
		vms:             map[string]routing.VM{},
		refusedRequests: map[string]RefusedRequest{},
		rollouts:        map[string]Rollout{},
		serverGraceEnds: map[string]time.Duration{},
		vmGraceEnds:     map[string]time.Duration{},
		atAddress:       map[string][]string{},
		listings:        map[string]*listing{},
	}
}

// replaceAll replaces the state by a list of the whole store, but for what is known to be newer than
// the page that would replace it. The first read logs one line for all servers. At a large site, a
// line for each server at each start of a daemon fills the log with entries that nobody looks for.
func (t *table) replaceAll(now time.Duration, list store.Listing) {
	t.fill(list.Pages.Oldest(), true, func() {
		present := make(map[string]bool, len(list.KVs))
		for _, kv := range list.KVs {
			present[kv.Key] = true
			t.putListed(kv, list.Pages)
		}
		for key := range t.entries.kvs {
			if !present[key] {
				t.remove(now, key, list.Pages.RevisionAt(key))
			}
		}
	})
	t.entries.listed = list.Pages
	t.forgetRemovalsBefore(list.Pages.Oldest())
}

// forgetRemovalsBefore records that keys may have been written and removed up to a revision that were
// never known here.
func (t *table) forgetRemovalsBefore(revision int64) {
	t.entries.removalFloor = max(t.entries.removalFloor, revision)
}

// putListed stores a key as a list shows it. A list shows that the key existed as of its page, so that
// it is believed against an older record of a removal, even if the version is older than that.
func (t *table) putListed(kv store.KV, pages store.Pages) {
	_, held := t.entries.kvs[kv.Key]
	if t.isNews(kv) || !held && pages.RevisionAt(kv.Key) > t.entries.absentAt(kv.Key) {
		t.set(kv)
	}
}

// applyPage applies changes that another daemon has read, complete up to a revision. last says that
// there are no more.
func (t *table) applyPage(now time.Duration, revision int64, last bool, events []store.Event) {
	t.fill(revision, last, func() { t.applyEvents(now, events) })
}

// fill runs update, which is part of the first read unless that has ended. last says whether the
// first read ends with it. Removals before the revision of the first read are not known.
func (t *table) fill(revision int64, last bool, update func()) {
	t.initializing = !t.initialized
	update()
	if t.initializing {
		t.entries.removalFloor = revision
	}
	if t.initializing && last {
		t.logInitialRead(revision)
	}
	t.initialized, t.initializing = t.initialized || last, false
}

// logInitialRead logs the number of known servers.
func (t *table) logInitialRead(revision int64) {
	services, leaving := map[string]int{}, 0
	for _, s := range t.servers {
		services[s.Service]++
		if s.Draining {
			leaving++
		}
	}
	t.log.Emit(event.StoreRead, services, leaving, revision)
}

// applyEvents applies the writes and removals of a batch of changes.
func (t *table) applyEvents(now time.Duration, events []store.Event) {
	for _, e := range events {
		if e.Kind == store.Deleted {
			t.remove(now, e.KV.Key, e.KV.Version)
			continue
		}
		t.put(e.KV)
	}
}

// put stores a key unless something newer is known of it.
func (t *table) put(kv store.KV) {
	if t.isNews(kv) {
		t.set(kv)
	}
}

// isNews reports whether an entry is newer than what is known of its key. A configuration with a higher
// version of its own is newer even if its entry is not: a restored store may hold an earlier one.
func (t *table) isNews(kv store.KV) bool {
	if t.entries.isNews(kv.Key, kv.Version) {
		return true
	}
	if kv.Key != t.schema.ConfigKey() || t.config == nil {
		return false
	}
	c, err := t.schema.DecodeConfig(kv.Value)
	return err == nil && c.Version > t.config.Version
}

// set stores a key and the state that it describes.
func (t *table) set(kv store.KV) {
	previous := t.entries.kvs[kv.Key]
	kv.Version = max(kv.Version, previous.Version)
	t.entries.put(kv)
	t.dirty = true
	if id, ok := t.schema.ServerID(kv.Key); ok {
		t.putServer(id, kv)
		return
	}
	if strings.HasPrefix(kv.Key, vmPrefix) {
		t.putVM(kv)
		return
	}
	t.urgentRevision, t.controlChanged = max(t.urgentRevision, kv.Version), true
	switch {
	case kv.Key == t.schema.ConfigKey():
		t.putConfig(kv, previous)
	case t.putRollout(kv):
	case strings.HasPrefix(kv.Key, refusedPrefix):
		t.refusedRequests[kv.Key], t.refusedChanged = decodeRefused(kv), true
	}
}

// putConfig ignores a version that is not newer than the one in force, so that a delayed answer
// does not undo a newer configuration. The entry then keeps its previous value: a restored store may
// hold an older configuration, which must not be passed on to daemons that know none.
func (t *table) putConfig(kv, previous store.KV) {
	c, err := t.schema.DecodeConfig(kv.Value)
	if err != nil {
		t.reject(t.schema.ConfigKey(), err)
		return
	}
	delete(t.rejections, t.schema.ConfigKey())
	if t.config != nil && c.Version <= t.config.Version {
		if c.Version < t.config.Version && previous.Key != "" {
			kv.Value = previous.Value
			t.entries.put(kv)
		}
		return
	}
	t.setConfig(c)
	t.dirty = true
	t.changeCount++
	t.log.Emit(event.RoutingInForce, c.Version)
}

// reject records that the entry of a key cannot be used. It logs each reason only once because a
// server rewrites its entry with each heartbeat.
func (t *table) reject(key string, err error) {
	if t.rejections[key] == err.Error() {
		return
	}
	t.rejections[key] = err.Error()
	t.rejectedTotal.Inc()
	t.log.Emit(event.EntryRefused, key, err)
}

// putServer stores the entry of a server. An invalid entry drops the server, even if the previous
// entry was valid, because it is unknown whether the server is leaving.
//
// Entries of earlier incarnations are ignored. When a server restarts under its id, a write of the
// previous incarnation may arrive after the first one of the new incarnation. Without the check, it
// would mark the new incarnation as leaving, or the new one would be taken for the old one, with
// its runs and copies of the KV cache.
func (t *table) putServer(id string, kv store.KV) {
	s, err := t.schema.DecodeServer(id, kv.Value)
	if err != nil {
		t.reject(kv.Key, err)
		if _, known := t.servers[id]; known {
			t.dropServer(id)
		}
		return
	}
	delete(t.rejections, kv.Key)
	if known := t.incarnations[id]; s.Incarnation().Before(routing.Incarnation{ID: id, StartedAtMS: known}) {
		t.log.Emit(event.EntryOutdated, id, s.StartedAtMS, known)
		return
	}
	if !s.Draining && t.keepsLeaving(id, s.StartedAtMS) {
		s.Draining = true
	}
	delete(t.serverGraceEnds, id)
	t.setDeparted(id, s.Draining)
	if _, known := t.firstRevisions[id]; !known || t.incarnations[id] != s.StartedAtMS {
		t.firstRevisions[id] = kv.Version
	}
	t.incarnations[id] = s.StartedAtMS
	if known := t.servers[id]; known == nil || *known != s {
		t.setServer(s)
		t.dirty = true
		t.changeCount++
		if !t.initializing {
			t.changes.recordSeen(s)
		}
	}
}

func (t *table) putVM(kv store.KV) {
	vm, err := decodeVM(strings.TrimPrefix(kv.Key, vmPrefix), kv.Value)
	if err != nil {
		t.reject(kv.Key, err)
		t.removeVM(kv.Key)
		return
	}
	delete(t.rejections, kv.Key)
	delete(t.vmGraceEnds, kv.Key)
	if t.vms[kv.Key] != vm {
		t.vms[kv.Key] = vm
		t.dirty, t.vmsChanged = true, true
	}
}

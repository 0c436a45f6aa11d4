package inforce

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"mallowwind.dev/control/inforce/record"
)

// Report is the state of the site text at a daemon, for operators.
type Report struct {
	Revision    int64
	Record      *record.Record // nil before the first text
	Source      string         // "store" or the VM ID of a peer
	ActiveSince time.Time
	Watching    bool // this daemon has a watch open at the store
	// StoreDownSince is when the store stopped answering; zero while it answers.
	StoreDownSince time.Time
	StoreError     string
	Rejected       *Rejection
	// MemberRevisions is the last known revision of each member, including this daemon.
	MemberRevisions map[string]ObservedRevision
}

// ObservedRevision is the active revision that a member reported.
type ObservedRevision struct {
	Revision   int64
	ObservedAt time.Time
}

// Report returns the current state.
func (m *Manager) Report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Report{
		Watching: m.watch.cancel != nil, StoreDownSince: m.outage.since, StoreError: errorText(m.outage.err),
		Rejected: m.rejected, MemberRevisions: map[string]ObservedRevision{m.cfg.VM: {m.revision(), time.Now()}},
	}
	for _, member := range m.cfg.Members.Current().Members {
		if observed, ok := m.peerRevisions[member.ID]; ok {
			r.MemberRevisions[member.ID] = observed
		}
	}
	if s := m.current.Load(); s != nil {
		r.Revision, r.Record, r.Source, r.ActiveSince = s.record.Revision, s.record, s.source, s.since
	}
	return r
}

// Stats counts the calls and bytes that keeping the text up to date takes. Bytes are those of values
// and messages, without HTTP framing.
type Stats struct {
	StoreCalls, StoreBytes             int64
	PeerCalls, PeerBytes               int64
	AdoptedFromStore, AdoptedFromPeers int64 // texts adopted
}

// counters are the live values of Stats.
type counters struct {
	storeCalls, storeBytes, peerCalls, peerBytes, adoptedFromStore, adoptedFromPeers atomic.Int64
}

// Stats returns the counts since the daemon started.
func (m *Manager) Stats() Stats {
	return Stats{
		StoreCalls: m.counters.storeCalls.Load(), StoreBytes: m.counters.storeBytes.Load(),
		PeerCalls: m.counters.peerCalls.Load(), PeerBytes: m.counters.peerBytes.Load(),
		AdoptedFromStore: m.counters.adoptedFromStore.Load(), AdoptedFromPeers: m.counters.adoptedFromPeers.Load(),
	}
}

func (c *counters) countStoreCall(bytes int) {
	c.storeCalls.Add(1)
	c.countStoreBytes(bytes)
}

func (c *counters) countStoreBytes(n int) { c.storeBytes.Add(int64(n)) }

func (c *counters) countPeerCall(message proto.Message) {
	c.peerCalls.Add(1)
	c.peerBytes.Add(int64(proto.Size(message)))
}

func (c *counters) countAdoption(source string) {
	if source == sourceStore {
		c.adoptedFromStore.Add(1)
		return
	}
	c.adoptedFromPeers.Add(1)
}

// registerMetrics exposes the counters and the active revision as Prometheus metrics; docs/metrics.md
// describes each.
func (m *Manager) registerMetrics(r prometheus.Registerer) {
	counter := func(name, help string, value *atomic.Int64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "mallowwind", Subsystem: "config", Name: name, Help: help,
		}, func() float64 { return float64(value.Load()) }))
	}
	counter("store_calls_total", "Calls to the store for the site text.", &m.counters.storeCalls)
	counter("store_bytes_total", "Bytes of values read from the store for the site text.", &m.counters.storeBytes)
	counter("peer_calls_total", "Calls to other entry VMs for the site text.", &m.counters.peerCalls)
	counter("peer_bytes_total", "Bytes of messages of these calls.", &m.counters.peerBytes)
	counter("from_store_total", "Texts put in force that came from the store.", &m.counters.adoptedFromStore)
	counter("from_peers_total", "Texts put in force that came from another entry VM.", &m.counters.adoptedFromPeers)
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "mallowwind", Subsystem: "config", Name: "revision", Help: "Revision of the site text in force.",
	}, func() float64 { return float64(m.revision()) }))
}

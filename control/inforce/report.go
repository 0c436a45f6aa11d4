package inforce

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"mallowwind.dev/control/inforce/record"
)

// Report is what a daemon knows of the configuration, for operators.
type Report struct {
	Revision    int64
	Record      *record.Record // nil before any text
	Source      string         // "store" or the VM id of a peer
	ActiveSince time.Time
	Watching    bool
	// StoreDownSince is since when the store has not answered, zero while it does.
	StoreDownSince time.Time
	StoreError     string
	Rejected       *Rejection
	// MemberRevisions holds what was last heard of each member, this daemon included.
	MemberRevisions map[string]ObservedRevision
}

// ObservedRevision is the revision that a member said it has in force.
type ObservedRevision struct {
	Revision   int64
	ObservedAt time.Time
}

// Report returns a copy of what is known now.
func (m *Manager) Report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := Report{
		Watching: m.watch.cancel != nil, StoreDownSince: m.outage.since, StoreError: errorText(m.outage.err),
		Rejected: m.rejected, MemberRevisions: map[string]ObservedRevision{m.cfg.VM: {m.revision(), time.Now()}},
	}
	for _, member := range m.cfg.Members.Current().Members {
		if heard, ok := m.peerRevisions[member.ID]; ok {
			r.MemberRevisions[member.ID] = heard
		}
	}
	if s := m.current.Load(); s != nil {
		r.Revision, r.Record, r.Source, r.ActiveSince = s.record.Revision, s.record, s.source, s.since
	}
	return r
}

// Stats counts what keeping the configuration takes. Bytes are those of values
// and messages, without the framing of HTTP.
type Stats struct {
	StoreCalls, StoreBytes             int64
	PeerCalls, PeerBytes               int64
	AdoptedFromStore, AdoptedFromPeers int64 // texts put in force
}

type counters struct {
	storeCalls, storeBytes, peerCalls, peerBytes, adoptedFromStore, adoptedFromPeers atomic.Int64
}

// Stats returns the counts since the start.
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

// registerMetrics exposes the counts; docs/metrics.md explains each.
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

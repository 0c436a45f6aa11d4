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
		Rejected: m.refused, MemberRevisions: map[string]ObservedRevision{m.cfg.VM: {m.revision(), time.Now()}},
	}
	for _, member := range m.cfg.Members.Current().Members {
		if heard, ok := m.seen[member.ID]; ok {
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

type cost struct {
	storeCalls, storeRead, peerCalls, peerBytes, fromStore, fromPeers atomic.Int64
}

// Stats returns the counts since the start.
func (m *Manager) Stats() Stats {
	return Stats{
		StoreCalls: m.cost.storeCalls.Load(), StoreBytes: m.cost.storeRead.Load(),
		PeerCalls: m.cost.peerCalls.Load(), PeerBytes: m.cost.peerBytes.Load(),
		AdoptedFromStore: m.cost.fromStore.Load(), AdoptedFromPeers: m.cost.fromPeers.Load(),
	}
}

func (c *cost) storeCall(bytes int) {
	c.storeCalls.Add(1)
	c.storeBytes(bytes)
}

func (c *cost) storeBytes(n int) { c.storeRead.Add(int64(n)) }

func (c *cost) peerCall(message proto.Message) {
	c.peerCalls.Add(1)
	c.peerBytes.Add(int64(proto.Size(message)))
}

func (c *cost) adopted(source string) {
	if source == sourceStore {
		c.fromStore.Add(1)
		return
	}
	c.fromPeers.Add(1)
}

// register exposes the counts; docs/metrics.md explains each.
func (m *Manager) register(r prometheus.Registerer) {
	counter := func(name, help string, value *atomic.Int64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "mallowwind", Subsystem: "config", Name: name, Help: help,
		}, func() float64 { return float64(value.Load()) }))
	}
	counter("store_calls_total", "Calls to the store for the site text.", &m.cost.storeCalls)
	counter("store_bytes_total", "Bytes of values read from the store for the site text.", &m.cost.storeRead)
	counter("peer_calls_total", "Calls to other entry VMs for the site text.", &m.cost.peerCalls)
	counter("peer_bytes_total", "Bytes of messages of these calls.", &m.cost.peerBytes)
	counter("from_store_total", "Texts put in force that came from the store.", &m.cost.fromStore)
	counter("from_peers_total", "Texts put in force that came from another entry VM.", &m.cost.fromPeers)
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "mallowwind", Subsystem: "config", Name: "revision", Help: "Revision of the site text in force.",
	}, func() float64 { return float64(m.revision()) }))
}

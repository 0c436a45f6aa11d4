// Package backends keeps a daemon's picture of the backend servers: the
// platform's lagging VM list joined with what each engine reports of itself.
package backends

import (
	"time"

	"mallowwind.dev/platform/engine"
	"mallowwind.dev/platform/vmlist"
)

// Kind says what the VMs of a pool are.
type Kind uint8

// The kinds of pools.
const (
	KindEngine  Kind = iota // model engines, which are asked for their status
	KindPlain               // plain services, which report nothing
	KindUnknown             // no site text yet: nothing is asked and nothing sent
)

// Backend is one backend server as last seen. It is immutable.
type Backend struct {
	VM     vmlist.VM
	Engine engine.Engine // nil in pools of plain services
	Status engine.Status // last report; zero for plain services
	Seen   time.Time     // when Status was taken, zero if never
	// Reachable is false after the last poll failed.
	Reachable bool
}

// Serves reports whether the backend server has ref loaded and ready.
func (b *Backend) Serves(ref engine.ModelRef) bool {
	for _, l := range b.Status.Models {
		if l.Ref == ref && l.State == engine.Ready {
			return true
		}
	}
	return false
}

// Serving returns the set of weights with which the backend server serves ref:
// ref itself where it is ready, else another version of the same model and
// adapter. During a change of version the new one becomes ready engine by
// engine, and a router that asked for it alone would find nothing at first.
func (b *Backend) Serving(ref engine.ModelRef) (engine.ModelRef, bool) {
	var other engine.ModelRef
	found := false
	for _, l := range b.Status.Models {
		if l.State != engine.Ready || l.Ref.Model != ref.Model || l.Ref.Adapter != ref.Adapter {
			continue
		}
		if l.Ref == ref {
			return ref, true
		}
		other, found = l.Ref, true
	}
	return other, found
}

// Snapshot is an immutable picture of all known backend servers by pool,
// ordered by VM id. Version grows with every change.
type Snapshot struct {
	Version uint64
	Pools   map[string][]*Backend
}

// Source gives the current snapshot; the pointer is swapped whole and never nil.
type Source interface {
	Current() *Snapshot
}

// Static is a Source that never changes, for tests.
type Static struct{ Snapshot *Snapshot }

// Current returns the fixed snapshot.
func (s Static) Current() *Snapshot { return s.Snapshot }

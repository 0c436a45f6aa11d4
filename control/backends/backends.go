// Package backends keeps a daemon's picture of the backend servers: the
// platform's lagging VM list joined with what each engine reports of itself.
package backends

import (
	"slices"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
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
	VM       vmlist.VM
	Engine   engine.Engine // nil in pools of plain services
	Status   engine.Status // last report; zero for plain services
	StatusAt time.Time     // when Status was taken, zero if never
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

// serving returns the set of weights with which the backend server can run a
// request for ref now: ref itself where it is ready, else another version of
// the same model and adapter. Versions in except are passed over.
func (b *Backend) serving(ref engine.ModelRef, except []string) (engine.ModelRef, bool) {
	var other engine.ModelRef
	found := false
	if !b.Reachable || b.VM.State == vmlist.Leaving {
		return other, false
	}
	for _, l := range b.Status.Models {
		if l.State != engine.Ready || l.Ref.Model != ref.Model || l.Ref.Adapter != ref.Adapter {
			continue
		}
		if slices.Contains(except, l.Ref.Version) {
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

// ChooseVersion returns the version with which a new request for ref runs. pick is any
// evenly distributed number.
//
// The failure it guards against: a text with a new version is in force before
// any engine has it ready, and engines become ready one by one. Requests for
// the new version alone would be refused at first and then all meet at the
// first engine that has it. Each version therefore gets the share of requests
// that its engines are of all; ref itself is returned where none is ready.
//
// except names versions that are out of the question: an engine that unloads
// one refuses requests for it before its report says so.
func (s *Snapshot) ChooseVersion(pool string, ref engine.ModelRef, pick uint64, except ...string) engine.ModelRef {
	var ready []engine.ModelRef
	for _, b := range s.Pools[pool] {
		if r, ok := b.serving(ref, except); ok {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 {
		return ref
	}
	return ready[pick%uint64(len(ready))]
}

// Source gives the current snapshot; the pointer is swapped whole and never nil.
type Source interface {
	Current() *Snapshot
}

// Static is a Source that never changes, for tests.
type Static struct{ Snapshot *Snapshot }

// Current returns the fixed snapshot.
func (s Static) Current() *Snapshot { return s.Snapshot }

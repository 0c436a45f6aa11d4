// Package backends tracks the backend servers: it joins the platform's VM list, which lags, with
// the status that each engine reports. Every daemon polls only a subset of the servers, since
// polling and connecting to all of them from every daemon does not scale, and the daemons tell each
// other about changes of the VM list and of reports.
package backends

import (
	"slices"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

// Kind is the kind of the backend servers of a pool.
type Kind uint8

// The kinds of pools.
const (
	KindEngine  Kind = iota // model engines, which are polled for their status
	KindPlain               // plain services, which have no status to poll
	KindUnknown             // not known yet, for lack of a site text: not polled and not reachable
)

// Backend is the last known state of one backend server. It is immutable.
type Backend struct {
	VM       vmlist.VM
	Engine   engine.Engine // nil unless the pool holds engines
	Status   engine.Status // last status report; zero if there was none
	StatusAt time.Time     // when Status was received; zero if never
	// Reachable is false before the first poll of an engine and after one that failed. Plain services
	// always count as reachable.
	Reachable bool
}

// Serves reports whether the backend server has loaded ref and ref is ready.
func (b *Backend) Serves(ref engine.ModelRef) bool {
	for _, l := range b.Status.Models {
		if l.Ref == ref && l.State == engine.Ready {
			return true
		}
	}
	return false
}

// readyRef returns the set of weights with which the backend server can run a request for ref now:
// ref itself if it is ready, else another version of the same model and adapter. Versions in except
// are skipped. Servers that are unreachable or leaving have none.
func (b *Backend) readyRef(ref engine.ModelRef, except []string) (engine.ModelRef, bool) {
	var otherVersion engine.ModelRef
	found := false
	if !b.Reachable || b.VM.State == vmlist.Leaving {
		return otherVersion, false
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
		otherVersion, found = l.Ref, true
	}
	return otherVersion, found
}

// Snapshot is an immutable snapshot of all known backend servers by pool, ordered by VM ID. Version
// increases with every snapshot.
type Snapshot struct {
	Version uint64
	Pools   map[string][]*Backend
}

// ChooseVersion returns the set of weights with which a new request for ref runs. pick is a
// uniformly distributed number.
//
// A site text with a new version comes into force before any engine has loaded that version, and
// engines become ready one by one. If all requests asked for the new version, they would be refused
// at first and then overload the first engine that is ready. Each version therefore receives
// requests in proportion to the number of engines that would serve it; ref itself is returned if no
// engine is ready.
//
// Versions in except are never chosen from the ready engines: an engine that unloads a version
// refuses requests for it before its status report shows that.
func (s *Snapshot) ChooseVersion(pool string, ref engine.ModelRef, pick uint64, except ...string) engine.ModelRef {
	var ready []engine.ModelRef
	for _, b := range s.Pools[pool] {
		if r, ok := b.readyRef(ref, except); ok {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 {
		return ref
	}
	return ready[pick%uint64(len(ready))]
}

// Source provides the current snapshot, which is never nil.
type Source interface {
	Current() *Snapshot
}

// Static is a Source with a fixed snapshot, for tests.
type Static struct{ Snapshot *Snapshot }

// Current returns the fixed snapshot.
func (s Static) Current() *Snapshot { return s.Snapshot }

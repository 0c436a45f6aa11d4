package backends

import (
	"slices"
	"strings"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

// absences is how many reads in a row must lack a VM before it counts as
// vanished: one read may be cut short or come from a lagging copy.
const absences = 2

// entry is the mutable record behind a Backend. Manager.mu guards it.
type entry struct {
	vm        vmlist.VM
	kind      Kind
	eng       engine.Engine
	status    engine.Status
	seen      time.Time
	digest    uint64 // of the last report
	reachable bool
	polled    bool
	polling   bool
	due       time.Time
	absent    int
	vanished  time.Time // when it counted as vanished, zero while listed
}

// hot reports whether the entry's state is expected to change soon.
func (e *entry) hot() bool {
	if !e.polled || !e.reachable {
		return true
	}
	for _, l := range e.status.Models {
		if l.State == engine.Loading || l.State == engine.Unloading {
			return true
		}
	}
	return false
}

// change is one transition that a merge of the list made, for the log.
type change struct {
	vm     vmlist.VM
	reason string
	forgot bool
}

// merge applies one read of the list to the entries and returns what changed.
// wanted holds the rows of this daemon's subset by id, listed all rows by id.
func (m *Manager) merge(wanted map[string]vmlist.VM, listed map[string]bool, now time.Time) []change {
	var changes []change
	for id, vm := range wanted {
		e, ok := m.entries[id]
		if !ok || e.vm.Address != vm.Address || e.kind != m.kind(vm.Pool) {
			e = m.newEntry(vm)
			m.entries[id] = e
		}
		if vm.State == vmlist.Leaving && (!ok || e.vm.State != vmlist.Leaving) {
			changes = append(changes, change{vm: vm, reason: "the VM list says so"})
		}
		e.vm, e.absent, e.vanished = vm, 0, time.Time{}
	}
	for id, e := range m.entries {
		if _, ok := wanted[id]; ok {
			continue
		}
		if c, changed := m.missed(e, listed, now); changed {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.vm.ID, b.vm.ID) })
	return changes
}

// missed handles an entry outside the wanted rows: no longer in the subset, or
// no longer listed. A VM that left the list gets no new work, whether or not
// it still answers: the list says that the platform is done with it, and work
// given to it would be cut. Its running work goes on until Retain has passed.
func (m *Manager) missed(e *entry, listed map[string]bool, now time.Time) (change, bool) {
	if listed[e.vm.ID] {
		delete(m.entries, e.vm.ID) // moved out of the subset
		return change{}, false
	}
	e.absent++
	if e.absent < absences {
		return change{}, false
	}
	if e.vanished.IsZero() {
		e.vanished = now
		e.vm.State = vmlist.Leaving
		return change{vm: e.vm, reason: "the VM list no longer shows it"}, true
	}
	silent := e.eng == nil || !e.reachable
	if now.Sub(e.vanished) >= m.cfg.RemovedRetention || (silent && now.Sub(e.vanished) >= m.cfg.RemovalBound()) {
		delete(m.entries, e.vm.ID)
		return change{vm: e.vm, forgot: true}, true
	}
	return change{}, false
}

// newEntry makes the entry of a VM as what the text in force says it is. The
// list is often known before the first text, above all while the store is out:
// an entry made for good then took a plain service for an engine, which sent
// it questions for its status, each a call that it may act on, and left it
// unreachable from this daemon. So an entry made under another kind is made anew.
func (m *Manager) newEntry(vm vmlist.VM) *entry {
	e := &entry{vm: vm, kind: m.kind(vm.Pool)}
	switch e.kind {
	case KindEngine:
		e.eng = m.deps.Engine(vm.Address)
	case KindPlain:
		e.reachable = true // plain services report nothing; calls tell
	}
	return e
}

func (m *Manager) kind(pool string) Kind {
	if m.deps.PoolKind == nil {
		return KindEngine
	}
	return m.deps.PoolKind(pool)
}

// publish swaps in a new snapshot if anything but the load figures changed or
// a fresh status came. Manager.mu is held.
func (m *Manager) publish() {
	pools := make(map[string][]*Backend)
	for _, e := range m.entries {
		pools[e.vm.Pool] = append(pools[e.vm.Pool], &Backend{
			VM: e.vm, Engine: e.eng, Status: e.status, StatusAt: e.seen, Reachable: e.reachable,
		})
	}
	for _, p := range pools {
		slices.SortFunc(p, func(a, b *Backend) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	}
	m.version++
	m.current.Store(&Snapshot{Version: m.version, Pools: pools})
}

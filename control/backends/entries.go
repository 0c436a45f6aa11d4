package backends

import (
	"slices"
	"strings"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

// removalReads is the number of consecutive reads that must lack a VM before it counts as removed.
// A single read may be truncated or come from a lagging replica of the list.
const removalReads = 2

// entry is the mutable state from which a Backend is published. It is guarded by Manager.mu.
type entry struct {
	vm          vmlist.VM
	kind        Kind
	eng         engine.Engine
	status      engine.Status
	statusAt    time.Time
	digest      uint64 // of the last report
	reachable   bool
	polled      bool
	polling     bool
	due         time.Time
	missedReads int
	removedAt   time.Time // when it was found to be removed from the list; zero before
}

// isChanging reports whether the entry's state is expected to change soon.
func (e *entry) isChanging() bool {
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

// change is a state transition made by merge, to be logged.
type change struct {
	vm        vmlist.VM
	reason    string
	forgotten bool
}

// merge applies the list to the entries and returns the transitions to log. wanted holds the rows
// of this daemon's subset by VM ID; listed holds the IDs of all entries that the list contains.
func (m *Manager) merge(wanted map[string]vmlist.VM, listed map[string]bool, now time.Time) []change {
	var changes []change
	for id, vm := range wanted {
		e, ok := m.entries[id]
		if !ok || e.vm.Address != vm.Address || e.kind != m.poolKind(vm.Pool) {
			e = m.newEntry(vm)
			m.entries[id] = e
		}
		if vm.State == vmlist.Leaving && (!ok || e.vm.State != vmlist.Leaving) {
			changes = append(changes, change{vm: vm, reason: "marked as leaving in the VM list"})
		}
		e.vm, e.missedReads, e.removedAt = vm, 0, time.Time{}
	}
	for id, e := range m.entries {
		if _, ok := wanted[id]; ok {
			continue
		}
		if c, changed := m.mergeUnwanted(e, listed, now); changed {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.vm.ID, b.vm.ID) })
	return changes
}

// mergeUnwanted handles an entry that is not in the wanted rows, because its VM is no longer in the
// subset or no longer in the list. A VM that was removed from the list receives no new work, even
// if it still answers: the platform is going to stop it, and new work would be aborted. The entry
// is kept for requests that are still running, for RemovedRetention, or only for RemovalBound if
// the server is not an engine or does not answer.
func (m *Manager) mergeUnwanted(e *entry, listed map[string]bool, now time.Time) (change, bool) {
	if listed[e.vm.ID] {
		delete(m.entries, e.vm.ID) // no longer in the subset
		return change{}, false
	}
	e.missedReads++
	if e.missedReads < removalReads {
		return change{}, false
	}
	if e.removedAt.IsZero() {
		e.removedAt = now
		e.vm.State = vmlist.Leaving
		return change{vm: e.vm, reason: "removed from the VM list"}, true
	}
	unresponsive := e.eng == nil || !e.reachable
	if now.Sub(e.removedAt) >= m.cfg.RemovedRetention || (unresponsive && now.Sub(e.removedAt) >= m.cfg.RemovalBound()) {
		delete(m.entries, e.vm.ID)
		return change{vm: e.vm, forgotten: true}, true
	}
	return change{}, false
}

// newEntry creates the entry of a VM for the kind of its pool in the site text in force. The list
// is often known before the first site text, especially during an outage of the store. An entry
// whose kind was guessed then and never corrected would treat a plain service as an engine: the
// daemon would send it status polls, which the service may execute as calls, and consider it
// unreachable. merge therefore replaces an entry whose pool has changed its kind.
func (m *Manager) newEntry(vm vmlist.VM) *entry {
	e := &entry{vm: vm, kind: m.poolKind(vm.Pool)}
	switch e.kind {
	case KindEngine:
		e.eng = m.deps.Engine(vm.Address)
	case KindPlain:
		e.reachable = true // plain services have no status to poll; only failed calls show that one is down
	}
	return e
}

func (m *Manager) poolKind(pool string) Kind {
	if m.deps.PoolKind == nil {
		return KindEngine
	}
	return m.deps.PoolKind(pool)
}

// publish replaces the snapshot by one of the current entries. The caller holds Manager.mu.
func (m *Manager) publish() {
	pools := make(map[string][]*Backend)
	for _, e := range m.entries {
		pools[e.vm.Pool] = append(pools[e.vm.Pool], &Backend{
			VM: e.vm, Engine: e.eng, Status: e.status, StatusAt: e.statusAt, Reachable: e.reachable,
		})
	}
	for _, p := range pools {
		slices.SortFunc(p, func(a, b *Backend) int { return strings.Compare(a.VM.ID, b.VM.ID) })
	}
	m.version++
	m.current.Store(&Snapshot{Version: m.version, Pools: pools})
}

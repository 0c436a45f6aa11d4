package backends

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/external/vmlist"
)

// readerTerm is how long a daemon remains a reader. A reader transfers the whole list whenever it
// changes; rotating the readers spreads that load over the daemons of a zone.
const readerTerm = time.Hour

// ReaderElection returns a function for Deps.IsReader. Each hour it elects the readers anew among
// the live members of the daemon's zone, by a hash of the hour and the member's ID. While the
// daemons' views or clocks differ, a zone has a reader too many or too few, which costs a few reads
// or a few seconds.
func ReaderElection(members membership.Source) func(int) bool {
	return func(readers int) bool {
		view := members.Current()
		term := strconv.FormatInt(time.Now().Unix()/int64(readerTerm.Seconds()), 10)
		weight := func(m membership.Member) uint64 { return xxhash.Sum64String(term + "\x00" + m.ID) }
		own, higherRanked := weight(view.Self), 0
		for _, m := range view.Members {
			if m.ID != view.Self.ID && m.Zone == view.Self.Zone && m.State == membership.Alive && weight(m) < own {
				higherRanked++
			}
		}
		return higherRanked < readers
	}
}

// OnVMChange registers f to be called with each change that this daemon finds when it reads the
// list itself. f must not block. Call OnVMChange before Run.
func (m *Manager) OnVMChange(f func(membership.VMChange)) { m.onVMChange = append(m.onVMChange, f) }

// ApplyVMChange applies a change of the list that another daemon found. It reports whether the
// change is newer than the last one that this daemon knew of the VM; it ignores changes and returns
// false until the list has been read.
func (m *Manager) ApplyVMChange(n membership.VMChange) bool {
	m.mu.Lock()
	if m.list == nil || !n.SeenAt.After(m.changedAt[n.VM.ID]) {
		m.mu.Unlock()
		return false
	}
	m.changedAt[n.VM.ID] = n.SeenAt
	rows, changed := withChange(m.list, n)
	if e, ok := m.entries[n.VM.ID]; ok && n.Removed && changed {
		e.missedReads = removalReads - 1 // the reader has already missed the VM in removalReads reads
	}
	m.mu.Unlock()
	if changed {
		m.applyList(rows, time.Now())
	}
	return true
}

// withChange returns rows, which are ordered by VM ID, with one change applied, and whether that
// changed anything.
func withChange(rows []vmlist.VM, n membership.VMChange) ([]vmlist.VM, bool) {
	i, found := slices.BinarySearchFunc(rows, n.VM.ID, func(vm vmlist.VM, id string) int { return strings.Compare(vm.ID, id) })
	switch {
	case n.Removed && !found, found && !n.Removed && rows[i] == n.VM:
		return rows, false
	case n.Removed:
		return slices.Delete(slices.Clone(rows), i, i+1), true
	case found:
		rows = slices.Clone(rows)
		rows[i] = n.VM
		return rows, true
	}
	return slices.Insert(slices.Clone(rows), i, n.VM), true
}

// changeTimeRetention is how long the time of a VM's last change is kept. It is far longer than the
// propagation of a change takes, so that a change that arrives late is recognised as old.
const changeTimeRetention = time.Hour

// diffList returns the changes from the previous list to rows. A VM counts as removed when two
// consecutive reads lack it. The caller holds Manager.mu.
func (m *Manager) diffList(rows []vmlist.VM, now time.Time) []membership.VMChange {
	if len(m.missingOnce) == 0 && slices.Equal(rows, m.list) {
		return nil
	}
	var changes []membership.VMChange
	previous := make(map[string]vmlist.VM, len(m.list))
	for _, vm := range m.list {
		previous[vm.ID] = vm
	}
	for _, vm := range rows {
		if old, ok := previous[vm.ID]; !ok || old != vm {
			changes = append(changes, membership.VMChange{VM: vm, SeenAt: now})
		}
		delete(previous, vm.ID)
		delete(m.missingOnce, vm.ID)
	}
	for _, vm := range m.missingOnce {
		changes = append(changes, membership.VMChange{VM: vm, Removed: true, SeenAt: now})
	}
	m.missingOnce = previous
	maps.DeleteFunc(m.changedAt, func(_ string, seen time.Time) bool { return now.Sub(seen) > changeTimeRetention })
	for _, n := range changes {
		m.changedAt[n.VM.ID] = now
	}
	return changes
}

func byID(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) }

// sorted returns rows ordered by VM ID. It returns rows itself if they are ordered already.
func sorted(rows []vmlist.VM) []vmlist.VM {
	if slices.IsSortedFunc(rows, byID) {
		return rows
	}
	rows = slices.Clone(rows)
	slices.SortFunc(rows, byID)
	return rows
}

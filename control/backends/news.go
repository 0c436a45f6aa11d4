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

// readerTerm is how long a daemon stays a reader. Readers pay for the whole
// list at each change of it; taking turns spreads that over a zone's daemons.
const readerTerm = time.Hour

// ReaderElection returns the Reads of a daemon that goes by the members of its zone:
// which of them read is drawn anew each hour, by hash. Views and clocks that
// differ for a moment give a reader more or fewer, which costs a few reads or
// a few seconds.
func ReaderElection(members membership.Source) func(int) bool {
	return func(readers int) bool {
		view := members.Current()
		term := strconv.FormatInt(time.Now().Unix()/int64(readerTerm.Seconds()), 10)
		weight := func(m membership.Member) uint64 { return xxhash.Sum64String(term + "\x00" + m.ID) }
		own, before := weight(view.Self), 0
		for _, m := range view.Members {
			if m.ID != view.Self.ID && m.Zone == view.Self.Zone && m.State == membership.Alive && weight(m) < own {
				before++
			}
		}
		return before < readers
	}
}

// OnVMChange registers f to be called with each change that this daemon finds in
// the list it read itself. f must not block. Call OnNews before Run.
func (m *Manager) OnVMChange(f func(membership.VMChange)) { m.onNews = append(m.onNews, f) }

// ApplyVMChange takes a change that another daemon found. It reports whether it was
// new here, so that it is passed on.
func (m *Manager) ApplyVMChange(n membership.VMChange) bool {
	m.mu.Lock()
	if m.list == nil || !n.SeenAt.After(m.news[n.VM.ID]) {
		m.mu.Unlock()
		return false
	}
	m.news[n.VM.ID] = n.SeenAt
	rows, changed := patched(m.list, n)
	if e, ok := m.entries[n.VM.ID]; ok && n.Removed && changed {
		e.absent = absences - 1 // the reader has seen it missing often enough
	}
	m.mu.Unlock()
	if changed {
		m.take(rows, time.Now())
	}
	return true
}

// patched returns the rows with one change made, ordered by id.
func patched(rows []vmlist.VM, n membership.VMChange) ([]vmlist.VM, bool) {
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

// newsKept is how long it is remembered when a VM was last seen to change:
// far longer than news is under way.
const newsKept = time.Hour

// differences returns how rows differ from the list before. A VM counts as
// gone when two reads in a row lack it.
func (m *Manager) differences(rows []vmlist.VM, now time.Time) []membership.VMChange {
	if len(m.missing) == 0 && slices.Equal(rows, m.list) {
		return nil
	}
	var news []membership.VMChange
	before := make(map[string]vmlist.VM, len(m.list))
	for _, vm := range m.list {
		before[vm.ID] = vm
	}
	for _, vm := range rows {
		if old, ok := before[vm.ID]; !ok || old != vm {
			news = append(news, membership.VMChange{VM: vm, SeenAt: now})
		}
		delete(before, vm.ID)
		delete(m.missing, vm.ID)
	}
	for _, vm := range m.missing {
		news = append(news, membership.VMChange{VM: vm, Removed: true, SeenAt: now})
	}
	m.missing = before
	maps.DeleteFunc(m.news, func(_ string, seen time.Time) bool { return now.Sub(seen) > newsKept })
	for _, n := range news {
		m.news[n.VM.ID] = now
	}
	return news
}

func byID(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) }

// sorted returns rows ordered by id, and rows themselves where they are.
func sorted(rows []vmlist.VM) []vmlist.VM {
	if slices.IsSortedFunc(rows, byID) {
		return rows
	}
	rows = slices.Clone(rows)
	slices.SortFunc(rows, byID)
	return rows
}

package membership

import (
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/platform/vmlist"
)

// VMNews is one change of the platform's VM list, as the daemons that read the
// list pass it on to the others.
type VMNews struct {
	VM vmlist.VM
	// Gone says that the list no longer shows the VM.
	Gone bool
	// Seen is when the reader saw the change, by its wall clock. The newest
	// news of a VM wins; what clocks that differ get wrong lasts until the
	// next full read.
	Seen time.Time
}

const (
	// newsSpread scales how often news is passed on, as in decision/gossip.
	newsSpread = 4
	// newsPerMessage bounds the news that one exchange carries.
	newsPerMessage = 8
	// newsKept is how long news is remembered, so that it is not taken for
	// new when it arrives again.
	newsKept = time.Hour
)

// vmNews is news with how often it is still to be passed on.
type vmNews struct {
	VMNews
	sends int
}

// OnVM registers f to be called with news that others found. f must not block.
// Call OnVM before Run.
func (m *Manager) OnVM(f func(VMNews)) { m.onVM = append(m.onVM, f) }

// ShareVM passes on a change of the VM list that this daemon found.
func (m *Manager) ShareVM(n VMNews) {
	m.mu.Lock()
	fresh := m.keep(n)
	m.mu.Unlock()
	if fresh {
		m.wake()
	}
}

// keep remembers news if it is newer than what is known of the VM. Many
// readers find the same change; only the first report of it is passed on.
func (m *Manager) keep(n VMNews) bool {
	if old, ok := m.vms[n.VM.ID]; ok {
		if !n.Seen.After(old.Seen) {
			return false
		}
		if old.VM == n.VM && old.Gone == n.Gone {
			old.Seen = n.Seen
			return false
		}
	}
	maps.DeleteFunc(m.vms, func(_ string, old *vmNews) bool { return n.Seen.Sub(old.Seen) > newsKept })
	m.vms[n.VM.ID] = &vmNews{VMNews: n, sends: newsSpread * bits.Len(uint(len(m.current.Load().Members)))}
	return true
}

// vmMessage returns the news to pass on with the next exchange, the least
// passed on first. Manager.mu is held.
func (m *Manager) vmMessage() []*peerpb.VMNews {
	var due []*vmNews
	for _, n := range m.vms {
		if n.sends > 0 {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(a, b *vmNews) int {
		if a.sends != b.sends {
			return b.sends - a.sends
		}
		return strings.Compare(a.VM.ID, b.VM.ID)
	})
	due = due[:min(len(due), newsPerMessage)]
	out := make([]*peerpb.VMNews, len(due))
	for i, n := range due {
		n.sends--
		out[i] = &peerpb.VMNews{
			Id: n.VM.ID, Address: n.VM.Address, Zone: n.VM.Zone, Region: n.VM.Region, Role: string(n.VM.Role),
			Pool: n.VM.Pool, State: string(n.VM.State), Gone: n.Gone, Seen: uint64(n.Seen.UnixNano()),
		}
	}
	return out
}

// absorbVMs takes over news from another daemon.
func (m *Manager) absorbVMs(news []*peerpb.VMNews) {
	for _, p := range news {
		n := VMNews{
			VM: vmlist.VM{
				ID: p.Id, Address: p.Address, Zone: p.Zone, Region: p.Region,
				Role: vmlist.Role(p.Role), Pool: p.Pool, State: vmlist.State(p.State),
			},
			Gone: p.Gone, Seen: time.Unix(0, int64(p.Seen)),
		}
		m.mu.Lock()
		fresh := m.keep(n)
		m.mu.Unlock()
		if !fresh {
			continue
		}
		m.wake()
		for _, f := range m.onVM {
			f(n)
		}
	}
}

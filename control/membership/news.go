package membership

import (
	"time"

	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/peerpb"
)

// VMChange is one change of the platform's VM list, as the daemons that read the
// list pass it on to the others.
type VMChange struct {
	VM vmlist.VM
	// Removed says that the list no longer shows the VM.
	Removed bool
	// SeenAt is when the reader saw the change, by its wall clock. The newest
	// news of a VM wins; what clocks that differ get wrong lasts until the
	// next full read.
	SeenAt time.Time
}

// row is a VMNews without its time.
type row struct {
	vm   vmlist.VM
	gone bool
}

// OnVMChange registers f to be called with changes of the VM list that others found.
// f must not block. Call OnVM before Run.
func (m *Manager) OnVMChange(f func(VMChange)) { m.onVM = append(m.onVM, f) }

// BroadcastVMChange passes on a change of the VM list that this daemon found.
func (m *Manager) BroadcastVMChange(n VMChange) {
	m.mu.Lock()
	fresh := m.vms.keep(n.VM.ID, row{n.VM, n.Removed}, n.SeenAt, len(m.Current().Members))
	m.mu.Unlock()
	if fresh {
		m.wake()
	}
}

// OnReport registers f to be called when others found that the report of a
// backend server changed; digest is a hash of the new one. f must not block.
// Call OnReport before Run.
func (m *Manager) OnReport(f func(id string, digest uint64)) { m.onReport = append(m.onReport, f) }

// BroadcastReportChange passes on that this daemon found a backend server's report changed.
func (m *Manager) BroadcastReportChange(id string, digest uint64) {
	m.mu.Lock()
	fresh := m.reports.keep(id, digest, time.Now(), len(m.Current().Members))
	m.mu.Unlock()
	if fresh {
		m.wake()
	}
}

// addNews puts the news to pass on into a message. Manager.mu is held.
func (m *Manager) addNews(g *peerpb.Gossip) {
	now := time.Now()
	for _, n := range m.vms.due(now) {
		vm := n.value.vm
		g.Vms = append(g.Vms, &peerpb.VMNews{
			Id: vm.ID, Address: vm.Address, Zone: vm.Zone, Region: vm.Region, Role: string(vm.Role),
			Pool: vm.Pool, State: string(vm.State), Gone: n.value.gone, Seen: uint64(n.seen.UnixNano()),
		})
	}
	for _, n := range m.reports.due(now) {
		g.Reports = append(g.Reports, &peerpb.ReportNews{Id: n.id, Digest: n.value, Seen: uint64(n.seen.UnixNano())})
	}
}

// absorbNews takes over news from another daemon.
func (m *Manager) absorbNews(g *peerpb.Gossip) {
	members := len(m.Current().Members)
	for _, p := range g.Vms {
		n := VMChange{
			VM: vmlist.VM{
				ID: p.Id, Address: p.Address, Zone: p.Zone, Region: p.Region,
				Role: vmlist.Role(p.Role), Pool: p.Pool, State: vmlist.State(p.State),
			},
			Removed: p.Gone, SeenAt: time.Unix(0, int64(p.Seen)),
		}
		m.mu.Lock()
		fresh := m.vms.keep(n.VM.ID, row{n.VM, n.Removed}, n.SeenAt, members)
		m.mu.Unlock()
		if !fresh {
			continue
		}
		m.wake()
		for _, f := range m.onVM {
			f(n)
		}
	}
	for _, p := range g.Reports {
		m.mu.Lock()
		fresh := m.reports.keep(p.Id, p.Digest, time.Unix(0, int64(p.Seen)), members)
		m.mu.Unlock()
		if !fresh {
			continue
		}
		m.wake()
		for _, f := range m.onReport {
			f(p.Id, p.Digest)
		}
	}
}

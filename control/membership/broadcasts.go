package membership

import (
	"time"

	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/peerpb"
)

// VMChange is a change of the platform's VM list that a daemon that reads the list sends to the
// others.
type VMChange struct {
	VM vmlist.VM
	// Removed means that the list no longer contains the VM.
	Removed bool
	// SeenAt is when the reader detected the change, by its wall clock. For each VM the change with
	// the newest SeenAt wins. Errors due to clocks that differ last until the next full read.
	SeenAt time.Time
}

// vmState is a VMChange without its time.
type vmState struct {
	vm      vmlist.VM
	removed bool
}

// OnVMChange registers f to be called with changes of the VM list that other daemons detected. f must
// not block. Call OnVMChange before Run.
func (m *Manager) OnVMChange(f func(VMChange)) { m.onVMChange = append(m.onVMChange, f) }

// BroadcastVMChange sends a change of the VM list that this daemon detected to all others.
func (m *Manager) BroadcastVMChange(n VMChange) {
	m.mu.Lock()
	fresh := m.vmChanges.add(n.VM.ID, vmState{n.VM, n.Removed}, n.SeenAt, len(m.Current().Members))
	m.mu.Unlock()
	if fresh {
		m.requestFanout()
	}
}

// OnReport registers f to be called when another daemon has detected that the report of a backend
// server changed; digest is a hash of the new report. f must not block. Call OnReport before Run.
func (m *Manager) OnReport(f func(id string, digest uint64)) { m.onReport = append(m.onReport, f) }

// BroadcastReportChange tells all other daemons that the report of a backend server changed; digest
// is a hash of the new report.
func (m *Manager) BroadcastReportChange(id string, digest uint64) {
	m.mu.Lock()
	fresh := m.reportChanges.add(id, digest, time.Now(), len(m.Current().Members))
	m.mu.Unlock()
	if fresh {
		m.requestFanout()
	}
}

// addBroadcasts adds the broadcasts that are due to a message. The caller holds Manager.mu.
func (m *Manager) addBroadcasts(g *peerpb.Gossip) {
	now := time.Now()
	for _, n := range m.vmChanges.nextBatch(now) {
		vm := n.value.vm
		g.Vms = append(g.Vms, &peerpb.VMNews{
			Id: vm.ID, Address: vm.Address, Zone: vm.Zone, Region: vm.Region, Role: string(vm.Role),
			Pool: vm.Pool, State: string(vm.State), Gone: n.value.removed, Seen: uint64(n.seenAt.UnixNano()),
		})
	}
	for _, n := range m.reportChanges.nextBatch(now) {
		g.Reports = append(g.Reports, &peerpb.ReportNews{Id: n.id, Digest: n.value, Seen: uint64(n.seenAt.UnixNano())})
	}
}

// applyBroadcasts applies the broadcasts of another daemon's message.
func (m *Manager) applyBroadcasts(g *peerpb.Gossip) {
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
		fresh := m.vmChanges.add(n.VM.ID, vmState{n.VM, n.Removed}, n.SeenAt, members)
		m.mu.Unlock()
		if !fresh {
			continue
		}
		m.requestFanout()
		for _, f := range m.onVMChange {
			f(n)
		}
	}
	for _, p := range g.Reports {
		m.mu.Lock()
		fresh := m.reportChanges.add(p.Id, p.Digest, time.Unix(0, int64(p.Seen)), members)
		m.mu.Unlock()
		if !fresh {
			continue
		}
		m.requestFanout()
		for _, f := range m.onReport {
			f(p.Id, p.Digest)
		}
	}
}

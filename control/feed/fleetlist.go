package feed

import (
	"context"
	"math/rand/v2"
	"slices"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// askSeedsForFleet returns the entries of the VMs that a seed knows; ok is false if no seed knows any, nor
// the state.
//
// It serves a daemon that the store refuses when it starts. The settings of all daemons name the same few
// seeds: if a third of a large fleet got the whole state from them, their links would be busy for longer
// than callers may wait for the fleet to return. They tell who there is, and the relays tell the state.
func (m *Manager) askSeedsForFleet(ctx context.Context) (list []store.KV, ok bool) {
	seeds := slices.Clone(*m.seeds.Load())
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, address := range seeds {
		list, ok, err := m.askForFleet(ctx, address)
		if err != nil {
			m.opts.Log.Emit(event.FeedPeerFailed, address, err)
		}
		if ok {
			return list, true
		}
	}
	return nil, false
}

// askForFleet returns the entries of the VMs that another daemon knows; ok is false if it knows none, nor the
// state.
func (m *Manager) askForFleet(ctx context.Context, address string) (list []store.KV, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	reply, err := m.peerClient(address).Fleet(ctx, &peerpb.FleetRequest{})
	if err != nil {
		return nil, false, err
	}
	if reply, err = unpack(reply); err != nil {
		return nil, false, err
	}
	for _, e := range reply.GetEntries() {
		list = append(list, entryKV(e))
	}
	return list, len(list) > 0 || reply.GetRevision() != 0, nil
}

// Fleet implements peerpb.Feed.
func (s feedService) Fleet(context.Context, *peerpb.FleetRequest) (*peerpb.SnapshotReply, error) {
	p, err := s.m.fleetPage()
	if err != nil {
		return nil, err
	}
	reply := &peerpb.SnapshotReply{Revision: s.m.revision.Load()}
	p.addTo(reply)
	return reply, nil
}

// fleetPage returns the entries of the registered VMs. It encodes them at most once in pageTTL, because
// hundreds of daemons may ask at the same time.
func (m *Manager) fleetPage() (*page, error) {
	m.fleetMu.Lock()
	defer m.fleetMu.Unlock()
	now := m.opts.Clock()
	if p := m.lastFleetPage; p != nil && now-p.builtAt < pageTTL {
		return p, nil
	}
	vms, _ := m.fleet()
	p, err := newFleetPage(vms)
	if err == nil && len(vms) > 0 {
		p.builtAt = now
		m.lastFleetPage = p
	}
	return p, err
}

// newFleetPage encodes the entries of VMs.
func newFleetPage(vms []routing.VM) (*page, error) {
	var d delta
	for _, vm := range vms {
		value, err := encodeVM(vm)
		if err != nil {
			return nil, err
		}
		d.puts = append(d.puts, store.KV{Key: vmPrefix + vm.ID, Value: value})
	}
	return newPage(d, 0)
}

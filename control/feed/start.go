package feed

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// registrationSettleTime is how long a daemon that finds no registered VM waits before it lists them
	// again. When a whole fleet starts for the first time, most daemons are registered by then.
	registrationSettleTime = 500 * time.Millisecond
	// progressCheckInterval is the interval at which a daemon that waits for its state checks whether
	// replies arrive.
	progressCheckInterval = 250 * time.Millisecond
	// pollsPerRelay is how many daemons without state are asked for each one of them that is a relay. If no
	// relay returns, the others are still found.
	pollsPerRelay = 3
	// maxProgressPause is the longest pause between two replies that each hold a part of the state.
	maxProgressPause = 1500 * time.Millisecond
)

// startFleet is what a daemon that has no state yet knows of the other daemons: the entry VMs that were
// registered when it started. It is kept apart from the table, which peers assume to be empty before
// they tell the first page.
type startFleet struct {
	vms  []routing.VM
	plan *watchplan.Plan
	// learnedAt is the Clock time at which the VMs were known.
	learnedAt time.Duration
	jitter    float64 // for watchplan.Start
}

// newStartFleet returns the fleet of the registered entry VMs. Invalid entries are skipped; they are
// logged when the state is read.
func newStartFleet(entries []store.KV) *startFleet {
	f := &startFleet{}
	for _, kv := range entries {
		if vm, err := decodeVM(strings.TrimPrefix(kv.Key, vmPrefix), kv.Value); err == nil {
			f.vms = append(f.vms, vm)
		}
	}
	f.plan = newWatchPlan(f.vms)
	return f
}

// fleet returns the entry VMs and their plan: those of the view or, before the first state, those that
// were registered at the start. The plan is nil if neither is known.
func (m *Manager) fleet() ([]routing.VM, *watchplan.Plan) {
	if f := m.startFleet.Load(); f != nil && m.revision.Load() == 0 {
		return f.vms, f.plan
	}
	view := m.View()
	return view.VMs, view.watchPlan
}

// learnState obtains the state of a daemon that has none, from its peers or from the store.
//
// It covers the restart of all daemons of a large fleet. If each of them read the whole store, its link
// would be busy for longer than callers may wait for the fleet to return.
func (m *Manager) learnState(ctx context.Context) error {
	if m.opts.Dialer == nil {
		return m.readInitial(ctx)
	}
	if err := m.learnFleet(ctx); err != nil {
		return err
	}
	if m.awaitPeers(ctx) || ctx.Err() != nil {
		return ctx.Err()
	}
	return m.readInitial(ctx)
}

// learnFleet finds out which entry VMs are registered, once: from the store or, if that refuses this
// daemon, from a seed.
func (m *Manager) learnFleet(ctx context.Context) error {
	if m.startFleet.Load() != nil {
		return nil
	}
	list, err := m.registeredVMs(ctx)
	if err != nil {
		var ok bool
		if list, ok = m.askSeedsForFleet(ctx); !ok {
			return err
		}
	}
	f := newStartFleet(list)
	f.learnedAt, f.jitter = m.opts.Clock(), rand.Float64()
	m.startFleet.Store(f)
	close(m.fleetLearned)
	delay := m.readDelay()
	m.opts.Log.Emit(event.StartPlanned, len(f.vms), delay)
	if delay > 0 {
		m.firstReadOnce.Do(func() { close(m.firstRead) })
		wake(m.pollWakeup)
	}
	return nil
}

// registeredVMs reads the entries of the VMs from the store.
func (m *Manager) registeredVMs(ctx context.Context) ([]store.KV, error) {
	list, err := m.listFleet(ctx, m.opts.Store.ListStale)
	if err != nil {
		return nil, err
	}
	m.recordOwnEntry(list)
	if len(list) > 0 {
		return list, nil
	}
	return m.awaitRegistrations(ctx) // the whole fleet is about to register
}

// awaitRegistrations waits while the fleet registers, and returns the entries of the VMs. A stale list
// without this daemon's own entry may be older than the others' registrations, too.
func (m *Manager) awaitRegistrations(ctx context.Context) ([]store.KV, error) {
	pause.For(ctx, registrationSettleTime)
	list, err := m.listFleet(ctx, m.opts.Store.ListStale)
	if _, registered := findKey(list, vmPrefix+m.opts.Self); err != nil || registered {
		return list, err
	}
	return m.listFleet(ctx, m.opts.Store.List)
}

// listFleet lists the entries of the VMs.
func (m *Manager) listFleet(ctx context.Context, list func(context.Context, string) (store.Listing, error)) ([]store.KV, error) {
	l, err := list(ctx, vmPrefix)
	return l.KVs, err
}

// awaitPeers waits until a peer has told the state or this daemon has to read the store itself, and
// reports whether a peer has. It waits longer while replies arrive that each hold a part of the state.
func (m *Manager) awaitPeers(ctx context.Context) (told bool) {
	learnedAt, toldUpTo := m.startFleet.Load().learnedAt, m.toldRevision()
	var progressUntil time.Duration
	for ctx.Err() == nil {
		updated := m.nextUpdate()
		if m.revision.Load() != 0 {
			return true
		}
		now := m.opts.Clock()
		if upTo := m.toldRevision(); upTo != toldUpTo {
			progressUntil, toldUpTo = now+maxProgressPause, upTo
		}
		left := max(learnedAt+m.readDelay(), progressUntil) - now
		if left <= 0 {
			return false
		}
		pause.Until(ctx, updated, min(left, progressCheckInterval))
	}
	return false
}

// readDelay returns how long after it learned of the fleet this daemon reads the store itself.
func (m *Manager) readDelay() time.Duration {
	f := m.startFleet.Load()
	ratio := float64(m.startAnswers.Load()) / float64(max(m.startPolls.Load(), 1))
	return f.plan.ReadDelay(watchplan.Start{ID: m.opts.Self, AnswerRatio: ratio, Jitter: f.jitter})
}

// StartTimeLeft returns for how much longer this daemon expects to lack the state because the whole fleet
// has just started; 0 if it has the state or does not know that others lack it too.
func (m *Manager) StartTimeLeft() time.Duration {
	if !m.isStarting() || m.startAnswers.Load() == 0 {
		return 0
	}
	f := m.startFleet.Load()
	return max(0, f.learnedAt+f.plan.StartTime()-m.opts.Clock())
}

// nextUpdate returns a channel that is closed at the next complete change of the state.
func (m *Manager) nextUpdate() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updated
}

// isStarting reports whether this daemon knows of others and has no state yet.
func (m *Manager) isStarting() bool {
	f := m.startFleet.Load()
	return f != nil && len(f.vms) > 0 && m.revision.Load() == 0
}

// pollToStart asks two daemons for the state: one that has answered before, which may hold the request
// until it knows the state, and another one.
//
// A daemon that returns with the whole fleet does not know which of the others return. Asking only the
// daemons that the plan selects would find nobody if these are lost, and asking any would find nobody
// for long if most are lost.
func (m *Manager) pollToStart(ctx context.Context) {
	if m.startPeer != "" {
		switch m.pollPeer(ctx, m.startPeer, pollHold) {
		case peerUsable:
			return
		case peerLost:
			m.startPeer = ""
		}
	}
	address := m.otherStartPeer()
	if address == "" || ctx.Err() != nil {
		return
	}
	outcome := m.pollPeer(ctx, address, 0)
	m.startPolls.Add(1)
	if outcome == peerLost {
		return
	}
	m.startAnswers.Add(1)
	if m.startPeer == "" {
		m.startPeer = address
	}
}

// otherStartPeer returns the address of a daemon to ask beside startPeer: a relay, then any others. It is
// empty if there is none.
func (m *Manager) otherStartPeer() string {
	vms, plan := m.fleet()
	peers := routing.Peers(vms, m.opts.Self)
	if len(peers) == 0 {
		return ""
	}
	turn := m.startPolls.Load()
	near, _ := plan.Sources(m.opts.Self, m.sourceTurn.Load()+turn/pollsPerRelay)
	if turn%pollsPerRelay == 0 && len(near) > 0 {
		for _, vm := range peers {
			if vm.ID == near[0] && vm.PeerAddress != m.startPeer {
				return vm.PeerAddress
			}
		}
	}
	return peers[rand.N(len(peers))].PeerAddress
}

// findKey returns the entry of a key.
func findKey(list []store.KV, key string) (store.KV, bool) {
	for _, kv := range list {
		if kv.Key == key {
			return kv, true
		}
	}
	return store.KV{}, false
}

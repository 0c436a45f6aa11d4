package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// selfWatchAge is the age of the last confirmation from which a daemon that polls others
	// watches the store itself. It exceeds the delays of a watch and of the daemons that relay its
	// changes together.
	selfWatchAge = 3200 * time.Millisecond
	// noSourceTime is how long a daemon watches the store itself after none of its sources could
	// answer, unless one answers meanwhile. It is about as long as the shortest partition of a
	// daemon.
	noSourceTime = 3 * time.Second
	// maxFreshAge is the age of the last confirmation from which peers are polled. A watch returns
	// every second and confirms what held when its request was sent, so the age reaches two seconds
	// in normal operation.
	maxFreshAge = 2500 * time.Millisecond
	// pollInterval is the mean pause between rounds of polls if no source could answer.
	pollInterval = 400 * time.Millisecond
	// pollHold is how long the polled daemon holds the request while it has nothing new. A daemon
	// that stays silent for longer is taken for lost.
	pollHold = 500 * time.Millisecond
	// longPollPause is the mean pause between held requests. It is short so that successive changes
	// arrive without delay.
	longPollPause = 100 * time.Millisecond
	// collectTimePerVM is how long each registered VM makes the others collect changes of servers and
	// VMs. All daemons together then ask at most two thousand times a second, however many they are
	// and however often something changes.
	collectTimePerVM = 500 * time.Microsecond
	// minCollectTime is the time below which changes are not collected, and maxCollectTime bounds the
	// delay of a change at each of the two or three daemons that pass it on.
	minCollectTime, maxCollectTime = 100 * time.Millisecond, 400 * time.Millisecond
	// pollTimeout is many round trips. A daemon that does not answer within it, after the time for
	// which it holds the request, is taken for lost.
	pollTimeout = 300 * time.Millisecond
	// pageTimeout replaces pollTimeout for a daemon that lacks the state, which arrives in full pages
	// while twenty daemons share the link of a small VM.
	pageTimeout = 600 * time.Millisecond
	// maxPolledPeers is how many daemons are polled in one round.
	maxPolledPeers = 4
	// maxFirstRead is how long a daemon that reads the store at its start waits for the end of that
	// before it asks others, which may be reading it as well.
	maxFirstRead = 1500 * time.Millisecond
	// maxFleetWait is how long a daemon that starts waits until it knows of other daemons than the seeds.
	maxFleetWait = 4 * time.Second
	// sourceFailoverTime is how long a round continues with further daemons after the first one
	// could not answer.
	sourceFailoverTime = 250 * time.Millisecond
)

// isFresh reports whether the last confirmation is as recent as in normal operation.
func (m *Manager) isFresh() bool {
	age, known := m.confirmationAge()
	return known && age < maxFreshAge
}

// isConfirmationOverdue reports whether the last confirmation is older than in normal operation.
// While peers confirm the configuration in place of the store, the age exceeds maxFreshAge again
// and again; that counts as one overdue period until the store answers or the peers are late too.
func (m *Manager) isConfirmationOverdue() bool {
	age, known := m.confirmationAge()
	return !known || age > selfWatchAge || age >= maxFreshAge && !m.confirmedByPeer.Load()
}

// shouldWatch reports whether this daemon watches the store itself, because the plan of the fleet
// selects it or because no other daemon passes changes on to it.
//
// The second condition guards against the loss of the watching daemons: a partition separates them
// from this daemon, or the store refuses just them. Without it, this daemon would go on polling
// them until its configuration is 2.5 s old, and answer by routes that the operator removed two
// seconds before.
func (m *Manager) shouldWatch() bool {
	if m.isSelectedToWatch() || m.hasNoSource() {
		return true
	}
	age, known := m.confirmationAge()
	return !known || age > selfWatchAge
}

// isSelectedToWatch reports whether the plan of the fleet selects this daemon to watch the store. All
// daemons of a small fleet are selected, and one that polls no peer.
func (m *Manager) isSelectedToWatch() bool {
	vms, plan := m.fleet()
	return m.opts.Dialer == nil || len(vms) <= watchplan.SmallFleetSize || plan.IsWatcher(m.opts.Self)
}

// hasNoSource reports whether none of this daemon's sources could answer lately.
func (m *Manager) hasNoSource() bool { return int64(m.opts.Clock()) < m.noSourceUntil.Load() }

// newWatchPlan returns the plan of which of the VMs that are not leaving watch the store.
func newWatchPlan(vms []routing.VM) *watchplan.Plan {
	list := make([]watchplan.VM, 0, len(vms))
	for _, vm := range vms {
		if !vm.Draining {
			list = append(list, watchplan.VM{ID: vm.ID, Hash: xxhash.Sum64String(vm.ID), Zone: vm.Zone, LinkMbps: vm.LinkMbps})
		}
	}
	return watchplan.New(list)
}

// pollPeers gets changes from the daemons that watch the store, and from any daemon while this one
// cannot reach the store.
//
// It covers a store that refuses some machines and serves the others. Without it, a refused daemon
// trusts no account key after a few seconds and rejects every caller, although a peer has the
// newest configuration.
func (m *Manager) pollPeers(ctx context.Context) {
	if m.opts.Dialer == nil {
		return
	}
	pause.Until(ctx, m.fleetLearned, maxFleetWait)
	pause.Until(ctx, m.firstRead, maxFirstRead)
	if m.needsNoSource() {
		m.askForNewerConfig(ctx)
	}
	meanPause := longPollPause
	for {
		pause.Until(ctx, m.pollWakeup, meanPause*3/4+rand.N(meanPause/2))
		if ctx.Err() != nil {
			return
		}
		meanPause = pollInterval
		switch {
		case m.isStarting():
			m.pollToStart(ctx)
			meanPause = longPollPause
		case !m.needsNoSource() && m.pollSources(ctx):
			meanPause = longPollPause
		}
	}
}

// needsNoSource reports whether this daemon's own watch of the store works. A recent confirmation does
// not show that: the configuration is also read on its own.
func (m *Manager) needsNoSource() bool {
	return m.isFresh() && !m.watchFails.Load() && m.shouldWatch() && !m.hasNoSource()
}

// askForNewerConfig asks one other daemon, once, whether it knows a newer configuration than the store
// from which this one has just read.
func (m *Manager) askForNewerConfig(ctx context.Context) {
	near, others := m.sources()
	if addresses := append(near, others...); len(addresses) > 0 {
		m.pollPeer(ctx, addresses[0], 0)
	}
}

// pollSources polls one daemon after the other until one can answer, and reports whether one could.
// If none can, this daemon starts to watch the store itself.
func (m *Manager) pollSources(ctx context.Context) bool {
	near, others := m.sources()
	var until time.Duration
	hold := pollHold
	for n, address := range append(near, others...) {
		if m.pollPeer(ctx, address, hold) == peerUsable {
			m.sourceTurn.Add(uint64(min(n, len(near))))
			m.noSourceUntil.Store(0)
			return true
		}
		now := m.opts.Clock()
		if n == 0 {
			until, hold = now+sourceFailoverTime, 0
		}
		if now > until || n+1 == maxPolledPeers || ctx.Err() != nil {
			break
		}
	}
	m.sourceTurn.Add(1)
	m.noSourceUntil.Store(int64(m.opts.Clock() + noSourceTime))
	m.wakeRun()
	return false
}

// sources returns the addresses of the daemons to poll, each list in order of preference: those
// near, which relay changes to this daemon, and the others. While the last confirmation is old,
// others starts with a random peer, because any daemon may have newer state. A daemon that has lost the
// store's history asks the daemons that watch the store, which read it again first.
func (m *Manager) sources() (near, others []string) {
	vms, plan := m.fleet()
	peers := map[string]string{}
	list := routing.Peers(vms, m.opts.Self)
	for _, vm := range list {
		peers[vm.ID] = vm.PeerAddress
	}
	if plan != nil {
		nearIDs, otherIDs := plan.Sources(m.opts.Self, m.sourceTurn.Load())
		near, others = peerAddresses(peers, nearIDs), peerAddresses(peers, otherIDs)
	}
	switch {
	case m.isHistoryLost() && plan != nil:
		watchers := plan.Watchers()
		rand.Shuffle(len(watchers), func(i, j int) { watchers[i], watchers[j] = watchers[j], watchers[i] })
		near = peerAddresses(peers, watchers)
	case !m.isFresh() && len(list) > 0:
		near = near[:min(len(near), 1)]
		others = slices.Insert(others, 0, list[rand.N(len(list))].PeerAddress)
	}
	if len(near)+len(others) == 0 {
		return nil, *m.seeds.Load()
	}
	return near, others
}

func peerAddresses(peers map[string]string, ids []string) (addresses []string) {
	for _, id := range ids {
		if address, ok := peers[id]; ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// pollOutcome says how far a polled daemon is of use.
type pollOutcome int

const (
	peerLost     pollOutcome = iota // it did not answer
	peerUnusable                    // it does not receive changes itself, or knows nothing yet
	peerUsable
)

// pollPeer gets the changes from one daemon, which may hold the request for the given time.
func (m *Manager) pollPeer(parent context.Context, address string, hold time.Duration) pollOutcome {
	timeout := pollTimeout
	if m.isStarting() && (address == m.startPeer || m.toldRevision() > 0) {
		timeout = pageTimeout
	}
	ctx, cancel := context.WithTimeout(parent, hold+timeout)
	defer cancel()
	sentAt := m.opts.Clock()
	have := m.toldRevision()
	reply, err := m.peerClient(address).Snapshot(ctx, m.snapshotRequest(have, hold))
	if err == nil {
		reply, err = unpack(reply)
	}
	if err != nil {
		m.peerAlsoStale.Store(false) // this daemon may be the one that is partitioned
		m.opts.Log.Emit(event.FeedPeerFailed, address, err)
		m.opts.Dialer.CloseIdleConnections()
		return peerLost
	}
	m.peerAnsweredAt.Store(int64(m.opts.Clock()))
	stale := time.Duration(reply.GetAgeMs())*time.Millisecond > maxFreshAge
	m.peerAlsoStale.Store(stale)
	m.applyReply(sentAt, have, address, reply)
	if reply.GetPartial() && ctx.Err() == nil && m.toldRevision() > have {
		return m.pollPeer(parent, address, 0)
	}
	isBehind := store.EraOf(reply.GetRevision()) < store.EraOf(have) // it has not heard of a restoration
	if reply.GetLost() || stale || isBehind || reply.GetRevision() == 0 {
		return peerUnusable
	}
	return peerUsable
}

// peerClient returns a client of the daemon at address.
func (m *Manager) peerClient(address string) peerpb.Feed {
	return peerpb.NewFeedProtobufClient(m.opts.Dialer.URL(address), m.opts.Dialer.Client)
}

// snapshotRequest returns the request for the changes after a revision, which the polled daemon may
// hold for the given time.
func (m *Manager) snapshotRequest(have int64, hold time.Duration) *peerpb.SnapshotRequest {
	age, _ := m.confirmationAge()
	return &peerpb.SnapshotRequest{
		Have: have, WaitMs: hold.Milliseconds(), AgeMs: age.Milliseconds(), CollectMs: m.collectTime().Milliseconds(),
		ConfigVersion: m.configVersion(), RemovalsAfter: m.heldSince(),
	}
}

// heldSince returns the lowest revision as of which an entry may be held; 0 if none is held. Removals
// after it have to be told.
func (m *Manager) heldSince() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision := m.revision.Load(); revision != 0 {
		return revision
	}
	return m.told.lowest
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (m *Manager) configVersion() int64 {
	if c := m.View().Config; c != nil {
		return c.Version
	}
	return 0
}

// toldRevision returns the revision after which peers are asked for changes.
func (m *Manager) toldRevision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.revision.Load(), m.told.upTo)
}

// collectTime returns how long the polled daemon collects changes that can wait.
func (m *Manager) collectTime() time.Duration {
	t := time.Duration(len(m.View().VMs)) * collectTimePerVM
	if t < minCollectTime {
		return 0
	}
	return min(t, maxCollectTime)
}

// IsStoreDown reports whether the store seems to be unreachable for every daemon: the last
// confirmation is overdue both here and at the peer polled last.
func (m *Manager) IsStoreDown() bool {
	age, known := m.confirmationAge()
	return m.peerAlsoStale.Load() && (!known || age >= maxFreshAge)
}

// applyReply applies the changes after a revision that a peer has told, if they are news. The confirmation time is computed from the
// time at which the request was sent, so that it is never later than the true one.
//
// A higher revision alone is not logged because every heartbeat of a server raises it.
func (m *Manager) applyReply(sentAt time.Duration, after int64, address string, reply *peerpb.SnapshotReply) {
	if reply.GetRevision() == 0 {
		return
	}
	confirmedAt := sentAt - time.Duration(reply.GetAgeMs())*time.Millisecond
	have := m.revision.Load()
	if reply.GetRevision() < have || reply.GetRevision() == have && int64(confirmedAt) <= m.confirmedAt.Load() {
		m.applyNewerConfig(reply)
		return
	}
	wasOverdue, changed := m.isConfirmationOverdue(), false
	b := basis{
		confirmedAt: confirmedAt, completeAt: sentAt - time.Duration(reply.GetCompleteAgeMs())*time.Millisecond,
		revision: reply.GetRevision(), partial: reply.GetPartial(), upTo: reply.GetRevision(), after: after, source: reply.GetSource(),
	}
	if reply.GetKnown() != 0 {
		b.revision = reply.GetKnown()
	}
	m.apply(b, func() {
		before := m.table.changeCount
		defer func() { changed = m.table.changeCount != before }()
		if m.opts.Clock()-confirmedAt < maxFreshAge {
			m.table.lastAnsweredAt = sentAt // the store answered a peer
		}
		m.table.recoveryUntil = max(m.table.recoveryUntil, sentAt+time.Duration(reply.GetDoubtMs())*time.Millisecond)
		removed := reply.GetRemoved()
		listsPresent := reply.GetListsPresent() || len(reply.GetPresent()) > 0
		if listsPresent {
			removed = m.table.entries.absent(reply.GetPresent())
		}
		m.table.applyPage(sentAt, reply.GetRevision(), !reply.GetPartial(), replyEvents(reply, removed))
		if listsPresent {
			m.table.forgetRemovalsBefore(reply.GetRevision())
		}
	})
	recovered := wasOverdue && m.isFresh()
	if recovered {
		m.confirmedByPeer.Store(true)
	}
	if changed || recovered {
		m.opts.Log.Emit(event.FeedLearned, address, reply.GetRevision(), reply.GetAgeMs())
	}
}

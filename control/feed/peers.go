package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/watching"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// selfWatchAge is the age from which a daemon that asks others watches itself. It
	// is above what a watch, and those that pass on what it told, add up to.
	selfWatchAge = 3200 * time.Millisecond
	// noSourceTime is how long a daemon does without those that watch for it after none of
	// them could tell, unless one tells again. It is about as long as daemons are cut off
	// at least.
	noSourceTime = 3 * time.Second
	// maxFreshAge is the age of the configuration from which other daemons are asked.
	// A watch returns every second and confirms what held when it was sent, so the
	// age reaches two seconds while all is well.
	maxFreshAge = 2500 * time.Millisecond
	// pollInterval is the mean pause between rounds of questions where nobody could tell.
	pollInterval = 400 * time.Millisecond
	// pollHold is how long the daemon that is asked holds the question while it has
	// nothing to tell. Its silence for longer shows that it is lost.
	pollHold = 500 * time.Millisecond
	// longPollPause is the mean pause between questions that are held: changes that come one
	// after the other are told at once.
	longPollPause = 100 * time.Millisecond
	// pollTimeout is many round trips; a daemon that does not answer within it, and the
	// time for which it holds the question, is taken to be lost.
	pollTimeout = 300 * time.Millisecond
	// maxPolledPeers is how many daemons are asked in one round.
	maxPolledPeers = 4
	// sourceFailoverTime is how long a round goes on after the first that could not tell.
	sourceFailoverTime = 250 * time.Millisecond
)

// isFresh reports whether the configuration was confirmed as lately as it is while
// all is well.
func (m *Manager) isFresh() bool {
	age, known := m.confirmationAge()
	return known && age < maxFreshAge
}

// isConfirmationOverdue reports whether the configuration was not confirmed as lately as it is while all is
// well. One that other daemons confirm in place of the store comes near that again and
// again, which is one gap until the store answers or they are late too.
func (m *Manager) isConfirmationOverdue() bool {
	age, known := m.confirmationAge()
	return !known || age > selfWatchAge || age >= maxFreshAge && !m.confirmedByPeer.Load()
}

// shouldWatch reports whether this daemon watches the store itself: where the plan of the
// fleet says so, and where nobody tells it.
//
// The failure that watching by itself guards against: those that watch for a daemon are
// cut off from it, or the store refuses just them. Until its configuration was 2.5 s old
// it would go on asking them, and answer by routes that the operator had taken away two
// seconds before.
func (m *Manager) shouldWatch() bool {
	view := m.View()
	if m.opts.Dialer == nil || len(view.VMs) <= watching.Everyone || m.hasNoSource() {
		return true
	}
	if age, known := m.confirmationAge(); !known || age > selfWatchAge {
		return true
	}
	return view.watchPlan.Watches(m.opts.Self)
}

// hasNoSource reports whether none of those that watch for this daemon could tell lately.
func (m *Manager) hasNoSource() bool { return int64(m.opts.Clock()) < m.noSourceUntil.Load() }

// newWatchPlan is who watches among the daemons that serve.
func newWatchPlan(vms []routing.VM) *watching.Plan {
	list := make([]watching.VM, 0, len(vms))
	for _, vm := range vms {
		if !vm.Leaving {
			list = append(list, watching.VM{ID: vm.ID, Hash: xxhash.Sum64String(vm.ID), Zone: vm.Zone})
		}
	}
	return watching.New(list)
}

// pollPeers learns from the daemons that watch the store, and from any while the
// store is out of reach.
//
// The failure it answers: the store refuses some machines and serves the
// others. Without it the refused ones trust no account key after a few seconds
// and turn every caller away, although a neighbour has the newest configuration.
func (m *Manager) pollPeers(ctx context.Context) {
	if m.opts.Dialer == nil {
		return
	}
	mean := longPollPause // a daemon that starts reads the store first
	for pause.For(ctx, mean*3/4+rand.N(mean/2)) {
		mean = pollInterval
		if own := m.isFresh() && m.shouldWatch() && !m.hasNoSource(); !own && m.pollSources(ctx) {
			mean = longPollPause
		}
	}
}

// pollSources asks one daemon after the other until one can tell, and reports whether one
// could. If none can this daemon is on its own.
func (m *Manager) pollSources(ctx context.Context) bool {
	near, others := m.sources()
	var until time.Duration
	hold := pollHold
	for n, address := range append(near, others...) {
		if m.pollPeer(ctx, address, hold) {
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
	select {
	case m.watchWakeup <- struct{}{}:
	default:
	}
	return false
}

// sources returns the addresses of the daemons to ask: those near that tell this one, and
// the others, each with the best first. While the configuration is old any daemon may
// know more.
func (m *Manager) sources() (near, others []string) {
	view := m.View()
	peers := map[string]string{}
	list := routing.Peers(view.VMs, m.opts.Self)
	for _, vm := range list {
		peers[vm.ID] = vm.Peer
	}
	if view.watchPlan != nil {
		nearIDs, otherIDs := view.watchPlan.Sources(m.opts.Self, m.sourceTurn.Load())
		near, others = peerAddresses(peers, nearIDs), peerAddresses(peers, otherIDs)
	}
	if !m.isFresh() && len(list) > 0 {
		others = slices.Insert(others, 0, list[rand.N(len(list))].Peer)
		near = near[:min(len(near), 1)]
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

// pollPeer learns from one daemon, which may hold the question for a time, and reports whether
// that daemon hears of changes.
func (m *Manager) pollPeer(ctx context.Context, address string, hold time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, hold+pollTimeout)
	defer cancel()
	sentAt := m.opts.Clock()
	age, _ := m.confirmationAge()
	client := peerpb.NewFeedProtobufClient(m.opts.Dialer.URL(address), m.opts.Dialer.Client)
	reply, err := client.Snapshot(ctx, &peerpb.SnapshotRequest{
		Have: m.revision.Load(), WaitMs: hold.Milliseconds(), AgeMs: age.Milliseconds(),
	})
	if err != nil {
		m.peerAlsoStale.Store(false) // this daemon may be the one that is cut off
		m.opts.Log.Emit(event.FeedPeerFailed, address, err)
		m.opts.Dialer.DropIdle()
		return false
	}
	old := time.Duration(reply.GetAgeMs())*time.Millisecond > maxFreshAge
	m.peerAlsoStale.Store(old)
	m.applyReply(sentAt, address, reply)
	return !reply.GetLost() && !old && reply.GetRevision() != 0
}

// IsStoreDown reports whether the store seems to be out of reach for every daemon: a
// daemon that was asked has waited for it as long as this one.
func (m *Manager) IsStoreDown() bool {
	age, known := m.confirmationAge()
	return m.peerAlsoStale.Load() && (!known || age >= maxFreshAge)
}

// applyReply takes over what another daemon believes if it is newer. The age is
// counted back from when the question was sent, which makes it older than it is.
//
// The revision alone is no news: every heartbeat of a server raises it.
func (m *Manager) applyReply(sentAt time.Duration, address string, reply *peerpb.SnapshotReply) {
	if reply.GetRevision() == 0 {
		return
	}
	confirmedAt := sentAt - time.Duration(reply.GetAgeMs())*time.Millisecond
	have := m.revision.Load()
	if reply.GetRevision() < have || reply.GetRevision() == have && int64(confirmedAt) <= m.confirmedAt.Load() {
		return
	}
	wasOverdue, changed := m.isConfirmationOverdue(), false
	m.apply(confirmedAt, reply.GetRevision(), func() {
		before := m.table.changeCount
		defer func() { changed = m.table.changeCount != before }()
		if m.opts.Clock()-confirmedAt < maxFreshAge {
			m.table.lastAnsweredAt = sentAt // by way of another daemon
		}
		m.table.recoveryUntil = max(m.table.recoveryUntil, sentAt+time.Duration(reply.GetDoubtMs())*time.Millisecond)
		if reply.GetWhole() {
			m.table.replaceAll(sentAt, reply.GetRevision(), replyEntries(reply))
			return
		}
		removed := reply.GetRemoved()
		if len(reply.GetPresent()) > 0 {
			removed = m.table.entries.absent(reply.GetPresent())
		}
		m.table.applyEvents(sentAt, replyEvents(reply, removed))
	})
	recovered := wasOverdue && m.isFresh()
	if recovered {
		m.confirmedByPeer.Store(true)
	}
	if changed || recovered {
		m.opts.Log.Emit(event.FeedLearned, address, reply.GetRevision(), reply.GetAgeMs())
	}
}

func replyEntries(reply *peerpb.SnapshotReply) []store.KV {
	list := make([]store.KV, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		list = append(list, store.KV{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetRevision()})
	}
	return list
}

func replyEvents(reply *peerpb.SnapshotReply, removed []string) []store.Event {
	list := make([]store.Event, 0, len(reply.GetEntries())+len(removed))
	for _, kv := range replyEntries(reply) {
		list = append(list, store.Event{Kind: store.Put, KV: kv})
	}
	for _, key := range removed {
		list = append(list, store.Event{Kind: store.Deleted, KV: store.KV{Key: key, Version: reply.GetRevision()}})
	}
	return list
}

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
	// watchAge is the age from which a daemon that asks others watches itself. It
	// is above what a watch, and those that pass on what it told, add up to.
	watchAge = 3200 * time.Millisecond
	// aloneTime is how long a daemon does without those that watch for it after none of
	// them could tell, unless one tells again. It is about as long as daemons are cut off
	// at least.
	aloneTime = 3 * time.Second
	// askAge is the age of the configuration from which other daemons are asked.
	// A watch returns every second and confirms what held when it was sent, so the
	// age reaches two seconds while all is well.
	askAge = 2500 * time.Millisecond
	// askEvery is the mean pause between rounds of questions where nobody could tell.
	askEvery = 400 * time.Millisecond
	// askHold is how long the daemon that is asked holds the question while it has
	// nothing to tell. Its silence for longer shows that it is lost.
	askHold = 500 * time.Millisecond
	// askPause is the mean pause between questions that are held: changes that come one
	// after the other are told at once.
	askPause = 100 * time.Millisecond
	// askTimeout is many round trips; a daemon that does not answer within it, and the
	// time for which it holds the question, is taken to be lost.
	askTimeout = 300 * time.Millisecond
	// maxAsked is how many daemons are asked in one round.
	maxAsked = 4
	// searchTime is how long a round goes on after the first that could not tell.
	searchTime = 250 * time.Millisecond
)

// fresh reports whether the configuration was confirmed as lately as it is while
// all is well.
func (m *Manager) fresh() bool {
	age, known := m.storeAge()
	return known && age < askAge
}

// gap reports whether the configuration was not confirmed as lately as it is while all is
// well. One that other daemons confirm in place of the store comes near that again and
// again, which is one gap until the store answers or they are late too.
func (m *Manager) gap() bool {
	age, known := m.storeAge()
	return !known || age > watchAge || age >= askAge && !m.bridged.Load()
}

// watches reports whether this daemon watches the store itself: where the plan of the
// fleet says so, and where nobody tells it.
//
// The failure that watching by itself guards against: those that watch for a daemon are
// cut off from it, or the store refuses just them. Until its configuration was 2.5 s old
// it would go on asking them, and answer by routes that the operator had taken away two
// seconds before.
func (m *Manager) watches() bool {
	view := m.View()
	if m.opts.Dialer == nil || len(view.VMs) <= watching.SmallFleetSize || m.alone() {
		return true
	}
	if age, known := m.storeAge(); !known || age > watchAge {
		return true
	}
	return view.plan.IsWatcher(m.opts.Self)
}

// alone reports whether none of those that watch for this daemon could tell lately.
func (m *Manager) alone() bool { return int64(m.opts.Clock()) < m.aloneTill.Load() }

// planOf is who watches among the daemons that serve.
func planOf(vms []routing.VM) *watching.Plan {
	list := make([]watching.VM, 0, len(vms))
	for _, vm := range vms {
		if !vm.Draining {
			list = append(list, watching.VM{ID: vm.ID, Hash: xxhash.Sum64String(vm.ID), Zone: vm.Zone})
		}
	}
	return watching.New(list)
}

// askPeers learns from the daemons that watch the store, and from any while the
// store is out of reach.
//
// The failure it answers: the store refuses some machines and serves the
// others. Without it the refused ones trust no account key after a few seconds
// and turn every caller away, although a neighbour has the newest configuration.
func (m *Manager) askPeers(ctx context.Context) {
	if m.opts.Dialer == nil {
		return
	}
	mean := askPause // a daemon that starts reads the store first
	for pause.For(ctx, mean*3/4+rand.N(mean/2)) {
		mean = askEvery
		if own := m.fresh() && m.watches() && !m.alone(); !own && m.askAround(ctx) {
			mean = askPause
		}
	}
}

// askAround asks one daemon after the other until one can tell, and reports whether one
// could. If none can this daemon is on its own.
func (m *Manager) askAround(ctx context.Context) bool {
	near, others := m.sources()
	var until time.Duration
	hold := askHold
	for n, address := range append(near, others...) {
		if m.ask(ctx, address, hold) {
			m.turn.Add(uint64(min(n, len(near))))
			m.aloneTill.Store(0)
			return true
		}
		now := m.opts.Clock()
		if n == 0 {
			until, hold = now+searchTime, 0
		}
		if now > until || n+1 == maxAsked || ctx.Err() != nil {
			break
		}
	}
	m.turn.Add(1)
	m.aloneTill.Store(int64(m.opts.Clock() + aloneTime))
	select {
	case m.roused <- struct{}{}:
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
		peers[vm.ID] = vm.PeerAddress
	}
	if view.plan != nil {
		nearIDs, otherIDs := view.plan.Sources(m.opts.Self, m.turn.Load())
		near, others = addressesOf(peers, nearIDs), addressesOf(peers, otherIDs)
	}
	if !m.fresh() && len(list) > 0 {
		others = slices.Insert(others, 0, list[rand.N(len(list))].PeerAddress)
		near = near[:min(len(near), 1)]
	}
	if len(near)+len(others) == 0 {
		return nil, *m.seeds.Load()
	}
	return near, others
}

func addressesOf(peers map[string]string, ids []string) (addresses []string) {
	for _, id := range ids {
		if address, ok := peers[id]; ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// ask learns from one daemon, which may hold the question for a time, and reports whether
// that daemon hears of changes.
func (m *Manager) ask(ctx context.Context, address string, hold time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, hold+askTimeout)
	defer cancel()
	asked := m.opts.Clock()
	age, _ := m.storeAge()
	client := peerpb.NewFeedProtobufClient(m.opts.Dialer.URL(address), m.opts.Dialer.Client)
	reply, err := client.Snapshot(ctx, &peerpb.SnapshotRequest{
		Have: m.revision.Load(), WaitMs: hold.Milliseconds(), AgeMs: age.Milliseconds(),
	})
	if err != nil {
		m.outage.Store(false) // this daemon may be the one that is cut off
		m.opts.Log.Emit(event.FeedPeerFailed, address, err)
		m.opts.Dialer.DropIdle()
		return false
	}
	old := time.Duration(reply.GetAgeMs())*time.Millisecond > askAge
	m.outage.Store(old)
	m.learn(asked, address, reply)
	return !reply.GetLost() && !old && reply.GetRevision() != 0
}

// IsStoreDown reports whether the store seems to be out of reach for every daemon: a
// daemon that was asked has waited for it as long as this one.
func (m *Manager) IsStoreDown() bool {
	age, known := m.storeAge()
	return m.outage.Load() && (!known || age >= askAge)
}

// learn takes over what another daemon believes if it is newer. The age is
// counted back from when the question was sent, which makes it older than it is.
//
// The revision alone is no news: every heartbeat of a server raises it.
func (m *Manager) learn(asked time.Duration, address string, reply *peerpb.SnapshotReply) {
	if reply.GetRevision() == 0 {
		return
	}
	confirmed := asked - time.Duration(reply.GetAgeMs())*time.Millisecond
	have := m.revision.Load()
	if reply.GetRevision() < have || reply.GetRevision() == have && int64(confirmed) <= m.confirmed.Load() {
		return
	}
	gap, changed := m.gap(), false
	m.apply(confirmed, reply.GetRevision(), func() {
		before := m.table.changes
		defer func() { changed = m.table.changes != before }()
		if m.opts.Clock()-confirmed < askAge {
			m.table.lastReached = asked // by way of another daemon
		}
		m.table.doubtUntil = max(m.table.doubtUntil, asked+time.Duration(reply.GetDoubtMs())*time.Millisecond)
		if reply.GetWhole() {
			m.table.replace(asked, reply.GetRevision(), kvs(reply))
			return
		}
		removed := reply.GetRemoved()
		if len(reply.GetPresent()) > 0 {
			removed = m.table.entries.absent(reply.GetPresent())
		}
		m.table.change(asked, changes(reply, removed))
	})
	ended := gap && m.fresh()
	if ended {
		m.bridged.Store(true)
	}
	if changed || ended {
		m.opts.Log.Emit(event.FeedLearned, address, reply.GetRevision(), reply.GetAgeMs())
	}
}

func kvs(reply *peerpb.SnapshotReply) []store.KV {
	list := make([]store.KV, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		list = append(list, store.KV{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetRevision()})
	}
	return list
}

func changes(reply *peerpb.SnapshotReply, removed []string) []store.Event {
	list := make([]store.Event, 0, len(reply.GetEntries())+len(removed))
	for _, kv := range kvs(reply) {
		list = append(list, store.Event{Kind: store.Put, KV: kv})
	}
	for _, key := range removed {
		list = append(list, store.Event{Kind: store.Deleted, KV: store.KV{Key: key, Version: reply.GetRevision()}})
	}
	return list
}

package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// watchers is how many daemons watch the store at least: enough that the loss of a
	// zone leaves some, few enough that a change costs a call each and no more.
	watchers = 8
	// askersEach is how many daemons ask one that watches. With 300 daemons before
	// 3,000 servers and eight that watch, the busiest sent 1.1 MB a second on a link of
	// 1.25 MB a second, and a change took 1.9 s to be in force everywhere.
	askersEach = 20
	// watchAge is the age from which a daemon that asks others watches itself. It
	// is above what a watcher's answer and the pause between questions add up to.
	watchAge = 3200 * time.Millisecond
	// aloneTime is how long a daemon does without those that watch for it after one of them
	// could not tell. It is about as long as daemons are cut off at least.
	aloneTime = 3 * time.Second
	// askAge is the age of the configuration from which other daemons are asked.
	// A watch returns every second and confirms what held when it was sent, so the
	// age reaches two seconds while all is well.
	askAge = 2500 * time.Millisecond
	// askEvery is the mean pause between questions: a sixth of the time in which a
	// change has to be in force. Eight watchers before eighty daemons answer twenty
	// questions a second each, nearly all of them without an entry.
	askEvery = 400 * time.Millisecond
	// askTimeout is many round trips; a daemon that does not answer is not asked
	// again at once, for the next question goes to another.
	askTimeout = 300 * time.Millisecond
)

// Handler returns the twirp service that other daemons call, and its path prefix.
func (m *Manager) Handler() (prefix string, h http.Handler) {
	s := peerpb.NewFeedServer(service{m})
	return s.PathPrefix(), s
}

// service implements peerpb.Feed.
type service struct{ m *Manager }

// Snapshot returns what this daemon believes, with its age.
func (s service) Snapshot(_ context.Context, q *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	age, known := s.m.Age()
	if !known {
		return &peerpb.SnapshotReply{}, nil
	}
	// The age is rounded up: it must never be told younger than it is.
	reply := &peerpb.SnapshotReply{
		Revision: s.m.revision.Load(), AgeMs: age.Milliseconds() + 1, Lost: s.m.watches() && !s.m.reached.Load(),
	}
	if left := s.m.table.doubtUntil - s.m.opts.Clock(); left > 0 {
		reply.DoubtMs = left.Milliseconds()
	}
	if q.GetHave() >= reply.Revision {
		return reply, nil
	}
	puts, removed, whole := s.m.table.entries.since(q.GetHave())
	reply.Removed, reply.Whole = removed, whole
	for _, kv := range puts {
		reply.Entries = append(reply.Entries, &peerpb.FeedEntry{Key: kv.Key, Value: kv.Value, Revision: kv.Version})
	}
	return reply, nil
}

// fresh reports whether the configuration was confirmed as lately as it is while
// all is well.
func (m *Manager) fresh() bool {
	age, known := m.Age()
	return known && age < askAge
}

// gap reports whether the configuration was not confirmed as lately as it is while all is
// well. One that other daemons confirm in place of the store comes near that again and
// again, which is one gap until the store answers or they are late too.
func (m *Manager) gap() bool {
	age, known := m.Age()
	return !known || age > watchAge || age >= askAge && !m.bridged.Load()
}

// watches reports whether this daemon watches the store itself. Up to
// watchers daemons all do. Beyond that, those with the lowest hashes do and the
// others ask them, since the store counts each call: 88 daemons that all watch
// make 88 calls for each change. A daemon that hears nothing watches too.
//
// The failure that watching alone guards against: those that watch for a daemon are cut off
// from it, or the store refuses just them. Until its configuration was 2.5 s old it would go
// on asking them, and answer by routes that the operator had taken away two seconds before.
func (m *Manager) watches() bool {
	vms := m.View().VMs
	if m.opts.Dialer == nil || len(vms) <= watchers || m.alone() {
		return true
	}
	if age, known := m.Age(); !known || age > watchAge {
		return true
	}
	return slices.Contains(m.watching(vms), m.opts.Self)
}

// watching returns the ids of the daemons that watch the store, the same at
// every daemon that knows the same VMs: as many in each zone, so that what the
// others are told stays within their zone.
func (m *Manager) watching(vms []routing.VM) []string {
	zones := map[string][]string{}
	count := 0
	for _, vm := range vms {
		if !vm.Leaving {
			zones[vm.Zone] = append(zones[vm.Zone], vm.ID)
			count++
		}
	}
	each := watchersEach(count, len(zones))
	var ids []string
	for _, members := range zones {
		slices.SortFunc(members, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
		})
		ids = append(ids, members[:min(len(members), each)]...)
	}
	return ids
}

// watchersEach is how many daemons of each zone watch the store.
func watchersEach(daemons, zones int) int {
	all := max(watchers, daemons/askersEach)
	return (all + zones - 1) / max(zones, 1)
}

// Watching is how many of a fleet's daemons watch the store.
func Watching(daemons, zones int) int { return min(daemons, zones*watchersEach(daemons, zones)) }

// Questions is how many times a second a daemon that does not watch asks one that does.
const Questions = float64(time.Second) / float64(askEvery)

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
	for turn := rand.Int(); ctx.Err() == nil; turn++ {
		pause.For(ctx, askEvery*3/4+rand.N(askEvery/2))
		if m.fresh() && m.watches() {
			continue
		}
		if address, ok := m.peer(turn); ok {
			m.ask(ctx, address)
		}
	}
}

// alone reports whether those that watch for this daemon could not tell lately.
func (m *Manager) alone() bool { return int64(m.opts.Clock()) < m.aloneTill.Load() }

// peer returns the address of another daemon, in turn: one that watches the store,
// in the same zone where there is one; any where those may have lost the store.
func (m *Manager) peer(turn int) (string, bool) {
	vms := m.View().VMs
	var near, addresses []string
	if m.fresh() {
		near, addresses = m.watchersFor(vms)
	} else {
		addresses = m.others(vms)
	}
	if len(near) > 0 {
		addresses = near
	}
	if len(addresses) == 0 {
		addresses = *m.seeds.Load()
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[turn%len(addresses)], true
}

// watchersFor returns the addresses of the other daemons that watch the store:
// those in this daemon's zone, and all.
func (m *Manager) watchersFor(vms []routing.VM) (near, all []string) {
	watching := m.watching(vms)
	zone := ""
	for _, vm := range vms {
		if vm.ID == m.opts.Self {
			zone = vm.Zone
		}
	}
	for _, vm := range routing.Peers(vms, m.opts.Self) {
		if !slices.Contains(watching, vm.ID) {
			continue
		}
		all = append(all, vm.Peer)
		if vm.Zone == zone {
			near = append(near, vm.Peer)
		}
	}
	return near, all
}

// others returns the addresses of all other daemons.
func (m *Manager) others(vms []routing.VM) (addresses []string) {
	for _, vm := range routing.Peers(vms, m.opts.Self) {
		addresses = append(addresses, vm.Peer)
	}
	return addresses
}

// ask learns from one daemon.
func (m *Manager) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := m.opts.Clock()
	client := peerpb.NewFeedProtobufClient(m.opts.Dialer.URL(address), m.opts.Dialer.Client)
	reply, err := client.Snapshot(ctx, &peerpb.SnapshotRequest{Have: m.revision.Load()})
	if err != nil || reply.GetLost() {
		m.aloneTill.Store(int64(asked + aloneTime))
	}
	if err != nil {
		m.outage.Store(false) // this daemon may be the one that is cut off
		m.opts.Log.Emit(event.FeedPeerFailed, address, err)
		m.opts.Dialer.DropIdle()
		return
	}
	m.outage.Store(time.Duration(reply.GetAgeMs())*time.Millisecond > askAge)
	m.learn(asked, address, reply)
}

// Outage reports whether the store seems to be out of reach for every daemon: a
// daemon that was asked has waited for it as long as this one.
func (m *Manager) Outage() bool {
	age, known := m.Age()
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
		m.table.change(asked, changes(reply))
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

func changes(reply *peerpb.SnapshotReply) []store.Event {
	list := make([]store.Event, 0, len(reply.GetEntries())+len(reply.GetRemoved()))
	for _, kv := range kvs(reply) {
		list = append(list, store.Event{Kind: store.Put, KV: kv})
	}
	for _, key := range reply.GetRemoved() {
		list = append(list, store.Event{Kind: store.Deleted, KV: store.KV{Key: key, Version: reply.GetRevision()}})
	}
	return list
}

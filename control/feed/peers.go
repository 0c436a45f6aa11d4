package feed

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// askAge is the age of the configuration from which other daemons are asked.
	// A watch returns every second and confirms what held when it was sent, so the
	// age reaches two seconds while all is well.
	askAge = 2500 * time.Millisecond
	// askEvery is the pause between questions. Three fit before keys cease to be
	// trusted; a whole fleet without its store asks once a daemon in that time.
	askEvery = 500 * time.Millisecond
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
	reply := &peerpb.SnapshotReply{Revision: s.m.revision.Load(), AgeMs: age.Milliseconds() + 1}
	if q.GetHave() >= reply.Revision {
		return reply, nil
	}
	for _, kv := range s.m.View().entries {
		reply.Entries = append(reply.Entries, &peerpb.FeedEntry{Key: kv.Key, Value: kv.Value, Revision: kv.Version})
	}
	return reply, nil
}

// askPeers learns from other daemons while the store is out of reach.
//
// The failure it answers: the store refuses some machines and serves the
// others. Without it the refused ones trust no account key after a few seconds
// and turn every caller away, although a neighbour has the newest configuration.
func (m *Manager) askPeers(ctx context.Context) {
	if m.opts.Dialer == nil {
		return
	}
	for turn := rand.Int(); ctx.Err() == nil; turn++ {
		pause(ctx, askEvery*3/4+rand.N(askEvery/2))
		if age, known := m.Age(); known && age < askAge {
			continue
		}
		if address, ok := m.peer(turn); ok {
			m.ask(ctx, address)
		}
	}
}

// peer returns the address of another daemon, in turn.
func (m *Manager) peer(turn int) (string, bool) {
	var addresses []string
	for _, vm := range m.View().VMs {
		if vm.ID != m.opts.Self && vm.Peer != "" {
			addresses = append(addresses, vm.Peer)
		}
	}
	if len(addresses) == 0 {
		addresses = m.opts.Seeds
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[turn%len(addresses)], true
}

func (m *Manager) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := m.opts.Clock()
	client := peerpb.NewFeedProtobufClient(m.opts.Dialer.URL(address), m.opts.Dialer.Client)
	reply, err := client.Snapshot(ctx, &peerpb.SnapshotRequest{Have: m.revision.Load()})
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
func (m *Manager) learn(asked time.Duration, address string, reply *peerpb.SnapshotReply) {
	if reply.GetRevision() == 0 {
		return
	}
	confirmed := asked - time.Duration(reply.GetAgeMs())*time.Millisecond
	have := m.revision.Load()
	if reply.GetRevision() < have || reply.GetRevision() == have && int64(confirmed) <= m.confirmed.Load() {
		return
	}
	items := make([]store.KV, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		items = append(items, store.KV{Key: e.GetKey(), Value: e.GetValue(), Version: e.GetRevision()})
	}
	m.apply(confirmed, reply.GetRevision(), func() {
		if len(items) > 0 {
			m.table.replace(asked, items)
		}
	})
	m.opts.Log.Emit(event.FeedLearned, address, reply.GetRevision(), reply.GetAgeMs())
}

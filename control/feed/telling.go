package feed

import (
	"context"
	"net/http"
	"time"

	"mallowwind.dev/peer/peerpb"
)

const (
	// maxHold bounds how long a question of another daemon is held.
	maxHold = time.Second
	// fresherBy is how much later a configuration must have been confirmed to be worth
	// telling by itself.
	fresherBy = 200 * time.Millisecond
)

// Handler returns the twirp service that other daemons call, and its path prefix.
func (m *Manager) Handler() (prefix string, h http.Handler) {
	s := peerpb.NewFeedServer(service{m})
	return s.PathPrefix(), s
}

// service implements peerpb.Feed.
type service struct{ m *Manager }

// Snapshot returns what this daemon believes, with its age. It waits as long as the
// caller asks while it knows nothing newer.
func (s service) Snapshot(ctx context.Context, q *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error) {
	s.m.awaitNews(ctx, q)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	age, known := s.m.storeAge()
	if !known {
		return &peerpb.SnapshotReply{}, nil
	}
	// The age is rounded up: it must never be told younger than it is.
	reply := &peerpb.SnapshotReply{
		Revision: s.m.revision.Load(), AgeMs: age.Milliseconds() + 1, Lost: s.m.lostStore(),
	}
	if left := s.m.table.doubtUntil - s.m.opts.Clock(); left > 0 {
		reply.DoubtMs = left.Milliseconds()
	}
	if q.GetHave() >= max(reply.Revision, s.m.table.entries.newest) {
		return reply, nil
	}
	d := s.m.table.entries.since(q.GetHave())
	reply.Removed, reply.Present, reply.Whole = d.removed, d.present, d.whole
	for _, kv := range d.puts {
		reply.Entries = append(reply.Entries, &peerpb.FeedEntry{Key: kv.Key, Value: kv.Value, Revision: kv.Version})
	}
	return reply, nil
}

// lostStore reports whether this daemon should hear of changes from the store itself and
// does not.
func (m *Manager) lostStore() bool { return m.watches() && !m.reached.Load() }

// awaitNews returns once this daemon can tell more than the caller of q knows, or has lost
// the store, and after the time that q asks for.
func (m *Manager) awaitNews(ctx context.Context, q *peerpb.SnapshotRequest) {
	hold := min(time.Duration(q.GetWaitMs())*time.Millisecond, maxHold)
	if hold <= 0 {
		return
	}
	theirs := m.opts.Clock() - time.Duration(q.GetAgeMs())*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		m.mu.Lock()
		news := m.news
		newer := m.revision.Load() > q.GetHave() || time.Duration(m.confirmed.Load()) > theirs+fresherBy
		m.mu.Unlock()
		if newer || m.lostStore() {
			return
		}
		select {
		case <-news:
		case <-ctx.Done():
			return
		}
	}
}

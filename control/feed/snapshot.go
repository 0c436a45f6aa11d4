package feed

import (
	"context"
	"net/http"
	"time"

	"mallowwind.dev/peer/peerpb"
)

const (
	// maxSnapshotHold bounds how long the request of a peer is held.
	maxSnapshotHold = time.Second
	// minAgeGain is how much more recent the confirmation of the configuration must be to be worth
	// an answer without other changes.
	minAgeGain = 200 * time.Millisecond
)

// Handler returns the twirp service that peers call, and its path prefix.
func (m *Manager) Handler() (prefix string, h http.Handler) {
	s := peerpb.NewFeedServer(feedService{m})
	return s.PathPrefix(), s
}

// feedService implements peerpb.Feed.
type feedService struct{ m *Manager }

// Snapshot returns the state held by this daemon, with its age. While this daemon has nothing newer
// than the caller, Snapshot waits for the time that the caller asks for.
func (s feedService) Snapshot(ctx context.Context, q *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, error) {
	s.m.awaitUpdate(ctx, q)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	age, known := s.m.confirmationAge()
	if !known {
		return &peerpb.SnapshotReply{}, nil
	}
	// The age is rounded up because it must never be reported as less than it is.
	reply := &peerpb.SnapshotReply{
		Revision: s.m.revision.Load(), AgeMs: age.Milliseconds() + 1, Lost: s.m.hasLostStore(),
	}
	if left := s.m.table.recoveryUntil - s.m.opts.Clock(); left > 0 {
		reply.DoubtMs = left.Milliseconds()
	}
	if q.GetHave() >= max(reply.Revision, s.m.table.entries.newestVersion) {
		return reply, nil
	}
	d := s.m.table.entries.since(q.GetHave())
	reply.Removed, reply.Present, reply.Whole = d.removedKeys, d.presentKeys, d.full
	for _, kv := range d.puts {
		reply.Entries = append(reply.Entries, &peerpb.FeedEntry{Key: kv.Key, Value: kv.Value, Revision: kv.Version})
	}
	return reply, nil
}

// hasLostStore reports whether this daemon should watch the store but its last call failed.
func (m *Manager) hasLostStore() bool { return m.shouldWatch() && !m.storeReachable.Load() }

// awaitUpdate waits until this daemon has newer state than the caller of q, has lost the store, or
// the time that q asks for has passed.
func (m *Manager) awaitUpdate(ctx context.Context, q *peerpb.SnapshotRequest) {
	hold := min(time.Duration(q.GetWaitMs())*time.Millisecond, maxSnapshotHold)
	if hold <= 0 {
		return
	}
	callerConfirmedAt := m.opts.Clock() - time.Duration(q.GetAgeMs())*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	for {
		m.mu.Lock()
		updated := m.updated
		newer := m.revision.Load() > q.GetHave() || time.Duration(m.confirmedAt.Load()) > callerConfirmedAt+minAgeGain
		m.mu.Unlock()
		if newer || m.hasLostStore() {
			return
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return
		}
	}
}

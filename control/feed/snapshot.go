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
	// lostStoreTime is how long calls to the store fail before peers are told to turn elsewhere. It
	// exceeds the wait between two calls.
	lostStoreTime = 500 * time.Millisecond
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
	reply, next := s.m.replyTo(q)
	if e := s.m.newerConfig(q); e != nil && reply.Revision != 0 {
		reply.Entries = append(reply.Entries, e)
	}
	if next == nil {
		return reply, nil
	}
	p, err := next()
	if err != nil {
		return nil, err
	}
	reply.Revision, reply.Partial, reply.Known = p.revision, p.partial, p.known
	p.addTo(reply)
	return reply, nil
}

// replyTo returns the reply to a peer without the changes, and a function that encodes these; nil if
// there are none. The function is called without the lock, because compressing takes long.
func (m *Manager) replyTo(q *peerpb.SnapshotRequest) (*peerpb.SnapshotReply, func() (*page, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age, known := m.confirmationAge()
	if !known {
		return &peerpb.SnapshotReply{}, nil
	}
	now, after, removedAfter := m.opts.Clock(), q.GetHave(), q.GetRemovalsAfter()
	if removedAfter == 0 {
		removedAfter = after
	}
	// The ages are rounded up because they must never be reported as less than they are.
	reply := &peerpb.SnapshotReply{
		Source: m.source, Revision: m.revision.Load(), AgeMs: age.Milliseconds() + 1, CompleteAgeMs: (now - m.completeAt).Milliseconds() + 1, Lost: m.hasLostStore(),
	}
	if left := m.table.recoveryUntil - now; left > 0 {
		reply.DoubtMs = left.Milliseconds()
	}
	if min(after, removedAfter) >= max(reply.Revision, m.table.entries.newestVersion) {
		return reply, nil
	}
	m.pages.prune(now)
	if p := m.pages[after]; p != nil {
		return reply, func() (*page, error) { return p, nil }
	}
	d, revision := m.table.entries.since(after, removedAfter, maxPageBytes), reply.Revision
	return reply, func() (*page, error) { return m.encodePage(now, after, d, revision) }
}

// encodePage returns the page of the changes after a revision, and keeps it if it is a full one.
func (m *Manager) encodePage(now time.Duration, after int64, d delta, revision int64) (*page, error) {
	p, err := newPage(d, revision)
	if err == nil && p.partial && p.revision <= p.known {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.pages.put(now, after, p)
	}
	return p, err
}

// hasLostStore reports whether this daemon should watch the store but its calls have failed for a
// while. A single failure is no loss: the store may cut all watches at once, and the whole fleet
// would turn to it.
func (m *Manager) hasLostStore() bool {
	since := m.unreachableSince.Load()
	return since != 0 && m.shouldWatch() && m.opts.Clock()-time.Duration(since) >= lostStoreTime
}

// awaitUpdate waits until this daemon has newer state than the caller of q, has lost the store, or
// the time that q asks for has passed. Changes of servers and VMs are collected for a part of that
// time.
func (m *Manager) awaitUpdate(ctx context.Context, q *peerpb.SnapshotRequest) {
	hold := min(time.Duration(q.GetWaitMs())*time.Millisecond, maxSnapshotHold)
	if hold <= 0 {
		return
	}
	callerConfirmedAt := m.opts.Clock() - time.Duration(q.GetAgeMs())*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	collected := time.NewTimer(time.Duration(q.GetCollectMs()) * time.Millisecond)
	defer collected.Stop()
	for isCollecting := q.GetCollectMs() > 0; ; {
		m.mu.Lock()
		updated := m.updated
		newer := m.revision.Load() > q.GetHave() || time.Duration(m.confirmedAt.Load()) > callerConfirmedAt+minAgeGain
		urgent := m.table.urgentRevision > q.GetHave()
		m.mu.Unlock()
		if urgent || newer && !isCollecting || m.hasLostStore() {
			return
		}
		select {
		case <-updated:
		case <-collected.C:
			isCollecting = false
		case <-ctx.Done():
			return
		}
	}
}

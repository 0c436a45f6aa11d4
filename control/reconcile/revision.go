package reconcile

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// RevisionPrefix is the part of the store that holds, per zone, the newest
// revision of the site text that a holder acted on.
const RevisionPrefix = "reconcile/revision/"

// revisionMark is the zone's mark in the store as last read or written.
type revisionMark struct {
	loaded       bool
	revision     int64
	version      int64 // of the key, 0 if absent
	loggedBehind int64 // revision for which being behind was logged
}

// canActOn reports whether orders may be given for text, and writes the mark
// first when the text is newer than any acted on.
//
// The failure: a holder that is behind on the text takes over from one that
// was not, and undoes in the zone what the newer revision had changed. It
// shows as engines that load the old version again for a while. The mark is
// written before the first order of a revision, so whoever holds the lease
// later reads it and waits until it knows that revision.
func (m *Manager) canActOn(ctx context.Context, text *site.Site) bool {
	if m.actedOn.loaded && m.actedOn.revision == text.Revision {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.OrderTimeout)
	defer cancel()
	if !m.actedOn.loaded && !m.readMark(ctx) {
		return false
	}
	switch {
	case text.Revision == m.actedOn.revision:
		return true
	case text.Revision > m.actedOn.revision:
		return m.writeMark(ctx, text.Revision)
	}
	if m.actedOn.loggedBehind != text.Revision {
		m.actedOn.loggedBehind = text.Revision
		m.deps.Log.Emit(event.PlacementBehind, text.Revision, m.actedOn.revision)
	}
	return false
}

func (m *Manager) readMark(ctx context.Context) bool {
	kv, err := m.deps.Store.Get(ctx, m.markKey())
	if errors.Is(err, store.ErrNotFound) {
		m.actedOn = revisionMark{loaded: true}
		return true
	}
	if err != nil {
		return false
	}
	revision, err := strconv.ParseInt(string(kv.Value), 10, 64)
	if err != nil {
		revision = 0 // not written by a daemon; the next write replaces it
	}
	m.actedOn = revisionMark{loaded: true, revision: revision, version: kv.Version}
	return true
}

// writeMark records revision. After any failure, a lost answer included, the
// mark is read again before anything is concluded.
func (m *Manager) writeMark(ctx context.Context, revision int64) bool {
	value := strconv.FormatInt(revision, 10)
	version, err := m.deps.Store.CompareAndSwap(ctx, m.markKey(), m.actedOn.version, []byte(value), 0)
	if err != nil {
		m.actedOn = revisionMark{}
		return false
	}
	m.actedOn = revisionMark{loaded: true, revision: revision, version: version}
	return true
}

func (m *Manager) markKey() string { return RevisionPrefix + m.deps.Zone }

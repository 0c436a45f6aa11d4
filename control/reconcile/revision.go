package reconcile

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// RevisionPrefix is the prefix of the store keys that hold, per zone, the latest revision of the
// site text that a lease holder acted on.
const RevisionPrefix = "reconcile/revision/"

// revisionMark is the zone's high-water mark of site text revisions, as last read from or written
// to the store.
type revisionMark struct {
	loaded       bool
	revision     int64
	version      int64 // of the store key; 0 if it is absent
	loggedBehind int64 // older revision for which PlacementBehind was logged
}

// canActOn reports whether orders may be sent for text. It first raises the mark if text is newer
// than any revision acted on.
//
// A holder that has an older site text than the previous holder would undo what the newer revision
// had changed in the zone, and engines would load the old version again for a while. The mark is
// written before the first order of a revision, so that any later lease holder reads it and waits
// until it knows that revision.
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

// readMark reads the mark from the store and reports whether it succeeded. An absent mark is a
// success.
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
		revision = 0 // not written by a daemon; the next writeMark replaces it
	}
	m.actedOn = revisionMark{loaded: true, revision: revision, version: kv.Version}
	return true
}

// writeMark writes revision to the store and reports whether it succeeded. After any failure,
// including a lost response, canActOn reads the mark again.
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

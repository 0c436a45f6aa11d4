package inforce

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/site"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// sourceStore is the source of a text that came from the store; a peer is named by its VM ID.
	sourceStore = "store"

	// maxRecentTexts is the number of recent texts kept to make patches against. At 5,200 changes a
	// day there is one every 17 s, so this covers two minutes; a peer that is further behind is sent
	// the whole text.
	maxRecentTexts = 8
)

// Rejection is a text that was not adopted, with the reason.
type Rejection struct {
	Revision   int64     `json:"revision"`
	Source     string    `json:"source"`
	Error      string    `json:"error"`
	RejectedAt time.Time `json:"when"`
}

// adoptFromStore adopts the text of a record read from the store. If the record was made against the
// active revision, the text comes from its patch; otherwise the body is read.
func (m *Manager) adoptFromStore(ctx context.Context, r *record.Record) error {
	if !m.isNewer(r.Revision, r.SHA256, sourceStore) {
		return nil
	}
	text, err := m.applyPatch(r)
	if err != nil {
		text, err = m.readBody(ctx, r)
	}
	if errors.Is(err, store.ErrNotFound) || errors.Is(err, record.ErrCorrupt) {
		m.reject(r, sourceStore, err)
	}
	if err != nil {
		return err
	}
	return m.adopt(r, text, sourceStore)
}

// applyPatch applies the patch in r to the active text and verifies the result.
func (m *Manager) applyPatch(r *record.Record) (string, error) {
	s := m.current.Load()
	if s == nil || r.Patch == nil || s.record.Revision != r.BaseRevision {
		return "", errors.New("record has no patch against the active revision")
	}
	text, err := r.Patch.Apply(s.site.Text)
	if err != nil {
		return "", err
	}
	return text, r.Verify(text)
}

// isNewer reports whether revision is above the active one. It logs a lower revision, or the active
// revision with a different hash; repetitions of the last logged revision are not logged.
//
// Without this check a stale read, a store restored from an older backup or a peer that lags behind
// would bring back a text that operators have replaced, with its replicas, accounts and limits. A
// daemon compares with its own active revision, so no other party can lower it.
func (m *Manager) isNewer(revision int64, hash, source string) bool {
	s := m.current.Load()
	if s == nil || revision > s.record.Revision {
		return true
	}
	if revision == s.record.Revision && (hash == s.record.SHA256 || hash == "") {
		return false
	}
	m.mu.Lock()
	logged := m.lastLowerLogged == revision
	m.lastLowerLogged = revision
	m.mu.Unlock()
	if !logged {
		m.cfg.Log.Emit(event.StaleConfigOffered, revision, s.record.Revision, source)
	}
	return false
}

// adopt makes an accepted text active unless the active one is as new or newer.
func (m *Manager) adopt(r *record.Record, text, source string) error {
	parsed, err := m.parse(r, text)
	if err != nil {
		m.reject(r, source, err)
		return err
	}
	next := &snapshot{site: parsed, record: r, source: source, since: time.Now()}
	m.mu.Lock()
	previous := m.revision()
	if r.Revision <= previous {
		m.mu.Unlock()
		return nil
	}
	m.current.Store(next)
	m.recent = append(m.recent, revisionText{r.Revision, text})
	if len(m.recent) > maxRecentTexts {
		m.recent = append(m.recent[:0:0], m.recent[1:]...)
	}
	m.mu.Unlock()
	m.counters.countAdoption(source)
	m.cfg.Log.Emit(event.ConfigInForce, r.Revision, previous, source, r.Author, r.Comment, next.since.Sub(r.AppliedAt).String())
	m.announce()
	return nil
}

// announce publishes the active revision through gossip. It reads the revision under announceMu: if
// two texts are adopted concurrently, the older revision could otherwise be announced last.
func (m *Manager) announce() {
	m.announceMu.Lock()
	defer m.announceMu.Unlock()
	if m.cfg.Announce != nil {
		m.cfg.Announce(DigestName, m.Digest())
	}
}

// parse verifies and parses a text and checks that it belongs to the site of this daemon.
func (m *Manager) parse(r *record.Record, text string) (*site.Site, error) {
	if err := r.Verify(text); err != nil {
		return nil, err
	}
	parsed, err := site.Parse("site text", []byte(text))
	if err != nil {
		return nil, err
	}
	if parsed.Name != m.cfg.Site {
		return nil, errors.Errorf("text belongs to site %q, but this daemon serves site %q", parsed.Name, m.cfg.Site)
	}
	parsed.Revision = r.Revision
	return parsed, nil
}

// reject records and logs a text that cannot become active. mallowctl validates a text before it
// applies it, so such a text was written by other means or is corrupt.
func (m *Manager) reject(r *record.Record, source string, err error) {
	m.mu.Lock()
	logged := m.rejected != nil && m.rejected.Revision == r.Revision
	m.rejected = &Rejection{Revision: r.Revision, Source: source, Error: err.Error(), RejectedAt: time.Now()}
	m.mu.Unlock()
	if !logged {
		m.cfg.Log.Emit(event.ConfigRefused, r.Revision, source, err.Error())
	}
}

// recentText returns the text of a revision that was active recently, if it is still kept.
func (m *Manager) recentText(revision int64) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.recent {
		if r.revision == revision {
			return r.text, true
		}
	}
	return "", false
}

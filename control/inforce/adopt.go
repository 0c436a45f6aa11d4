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
	// sourceStore names the store as where a text came from; peers are named by VM id.
	sourceStore = "store"

	// keptTexts is how many texts back a peer may be and still be served a
	// difference. At 5,200 changes a day one comes every 17 s, so this covers
	// two minutes; a peer further back is served the whole text.
	keptTexts = 8
)

// Rejection is a text that was not taken over.
type Rejection struct {
	Revision   int64     `json:"revision"`
	Source     string    `json:"source"`
	Error      string    `json:"error"`
	RejectedAt time.Time `json:"when"`
}

// offer takes over what the store says is accepted. A record that continues
// the text in force brings the difference; otherwise the body is read.
func (m *Manager) offer(ctx context.Context, r *record.Record) error {
	if !m.newer(r.Revision, r.SHA256, sourceStore) {
		return nil
	}
	text, err := m.patched(r)
	if err != nil {
		text, err = m.readBody(ctx, r)
	}
	if errors.Is(err, store.ErrNotFound) || errors.Is(err, record.ErrCorrupt) {
		m.refuse(r, sourceStore, err)
	}
	if err != nil {
		return err
	}
	return m.adopt(r, text, sourceStore)
}

// patched applies the difference that r carries to the text in force.
func (m *Manager) patched(r *record.Record) (string, error) {
	s := m.current.Load()
	if s == nil || r.Patch == nil || s.record.Revision != r.BaseRevision {
		return "", errors.New("no base for the difference")
	}
	text, err := r.Patch.Apply(s.site.Text)
	if err != nil {
		return "", err
	}
	return text, r.Verify(text)
}

// newer reports whether revision is above the one in force.
//
// A stale read, a store restored from an older copy or a peer that lags would
// otherwise bring back what operators have replaced: users would see replicas,
// accounts and limits of an hour ago return. A daemon compares with what it
// has itself, so no other party can lower it.
func (m *Manager) newer(revision int64, hash, source string) bool {
	s := m.current.Load()
	if s == nil || revision > s.record.Revision {
		return true
	}
	if revision == s.record.Revision && (hash == s.record.SHA256 || hash == "") {
		return false
	}
	m.mu.Lock()
	known := m.offered == revision
	m.offered = revision
	m.mu.Unlock()
	if !known {
		m.cfg.Log.Emit(event.StaleConfigOffered, revision, s.record.Revision, source)
	}
	return false
}

// adopt puts an accepted text in force unless a newer one is already.
func (m *Manager) adopt(r *record.Record, text, source string) error {
	parsed, err := m.parse(r, text)
	if err != nil {
		m.refuse(r, source, err)
		return err
	}
	next := &state{site: parsed, record: r, source: source, since: time.Now()}
	m.mu.Lock()
	previous := m.revision()
	if r.Revision <= previous {
		m.mu.Unlock()
		return nil
	}
	m.current.Store(next)
	m.recent = append(m.recent, kept{r.Revision, text})
	if len(m.recent) > keptTexts {
		m.recent = append(m.recent[:0:0], m.recent[1:]...)
	}
	m.mu.Unlock()
	m.cost.adopted(source)
	m.cfg.Log.Emit(event.ConfigInForce, r.Revision, previous, source, r.Author, r.Comment, next.since.Sub(r.AppliedAt).String())
	m.announce()
	return nil
}

// announce tells gossip the revision in force. It reads the revision under the
// lock: of two texts adopted together the older would otherwise be told last.
func (m *Manager) announce() {
	m.announceMu.Lock()
	defer m.announceMu.Unlock()
	if m.cfg.Announce != nil {
		m.cfg.Announce(DigestName, m.Digest())
	}
}

func (m *Manager) parse(r *record.Record, text string) (*site.Site, error) {
	if err := r.Verify(text); err != nil {
		return nil, err
	}
	parsed, err := site.Parse("site text", []byte(text))
	if err != nil {
		return nil, err
	}
	if parsed.Name != m.cfg.Site {
		return nil, errors.Errorf("the text is of site %q, this daemon follows %q", parsed.Name, m.cfg.Site)
	}
	parsed.Revision = r.Revision
	return parsed, nil
}

// refuse notes a text that cannot be in force: mallowctl checks before it
// applies, so this is a text written by other means or a damaged one.
func (m *Manager) refuse(r *record.Record, source string, err error) {
	m.mu.Lock()
	known := m.refused != nil && m.refused.Revision == r.Revision
	m.refused = &Rejection{Revision: r.Revision, Source: source, Error: err.Error(), RejectedAt: time.Now()}
	m.mu.Unlock()
	if !known {
		m.cfg.Log.Emit(event.ConfigRefused, r.Revision, source, err.Error())
	}
}

// base returns the text that was in force at revision, if it is still kept.
func (m *Manager) base(revision int64) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.recent {
		if k.revision == revision {
			return k.text, true
		}
	}
	return "", false
}

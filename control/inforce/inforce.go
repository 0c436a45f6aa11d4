// Package inforce keeps the newest accepted site text, the configuration that operators write for a
// site, active at a daemon.
//
// A text is accepted once the platform's store holds it. A few daemons of each zone watch the store;
// the others learn of a new revision through membership gossip and fetch the text from a peer that
// has it. So the number of watches at the store does not grow with the number of daemons, a text that
// has reached one daemon reaches all others even while the store is unavailable, and a daemon that
// starts during a store outage gets the text from its peers.
//
// Invariants: the active revision of a daemon never decreases, whatever the store or a peer reports,
// and a daemon passes on only accepted texts.
package inforce

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Site    string // name of the site in the settings; the text of another site is rejected
	VM      string
	Zone    string
	Store   store.Store
	Members membership.Source
	Dialer  *link.Dialer
	// Announce publishes a new revision to the other daemons, usually through
	// membership.Manager.SetDigest; nil for none. A daemon that receives the revision calls
	// ObserveRevision.
	Announce func(name string, revision uint64)
	Log      *event.Log
	Metrics  prometheus.Registerer // nil for none
	Seed     uint64                // for jitter and the selection of peers
}

// Manager holds the active text. It implements site.Source.
type Manager struct {
	cfg  Config
	keys record.Keys

	current   atomic.Pointer[snapshot]
	fetchWake chan struct{} // wakes fetchLoop: a peer has a newer revision
	counters  counters

	mu              sync.Mutex     // guards the fields below and every change of current
	recent          []revisionText // last active texts, newest last; patches for peers are made against them
	peerRevisions   map[string]ObservedRevision
	lastLowerLogged int64 // last lower revision that was logged
	rejected        *Rejection
	watch           watchState
	outage          outage

	announceMu sync.Mutex // keeps announcements in the order of revisions

	rngMu sync.Mutex
	rng   *rand.Rand
}

// snapshot is an active text with its origin. It is immutable.
type snapshot struct {
	site   *site.Site
	record *record.Record
	source string
	since  time.Time
}

// revisionText is a text without its parsed form, which takes several times as much memory.
type revisionText struct {
	revision int64
	text     string
}

var _ site.Source = (*Manager)(nil)

// New returns a Manager that has no text until Run obtains one.
func New(cfg Config) *Manager {
	m := &Manager{
		cfg:           cfg,
		keys:          record.KeysOf(cfg.Site),
		fetchWake:     make(chan struct{}, 1),
		peerRevisions: map[string]ObservedRevision{},
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	if cfg.Metrics != nil {
		m.registerMetrics(cfg.Metrics)
	}
	return m
}

// Current returns the active site, or nil before the first text.
func (m *Manager) Current() *site.Site {
	if s := m.current.Load(); s != nil {
		return s.site
	}
	return nil
}

// Digest returns the active revision as gossip carries it, 0 for none.
func (m *Manager) Digest() uint64 { return uint64(m.revision()) }

func (m *Manager) revision() int64 {
	if s := m.current.Load(); s != nil {
		return s.record.Revision
	}
	return 0
}

// Run obtains a first text and then follows newer revisions until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){m.bootLoop, m.watchLoop, m.roleLoop, m.pollLoop, m.fetchLoop} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "site text manager")
	}
	return ctx.Err()
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that daemons that start to wait
// at the same time do not continue at the same time.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.rngMu.Lock()
	defer m.rngMu.Unlock()
	return d/2 + time.Duration(m.rng.Int64N(int64(d)))
}

func (m *Manager) shuffle(members []membership.Member) {
	m.rngMu.Lock()
	defer m.rngMu.Unlock()
	m.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// notify wakes the reader of c without blocking. c has a buffer of one, so that a notification is not
// lost while the reader is busy.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

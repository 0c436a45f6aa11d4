// Package inforce keeps the newest accepted site text in force at a daemon.
//
// A text is accepted when the platform's store holds it. Some daemons of each
// zone watch the store; the others hear of a revision by membership gossip and
// fetch the text from whoever has it. So the store sees a constant number of watches, a
// text that reached one daemon reaches all of them while the store is down,
// and a daemon that boots in an outage is served by its peers.
//
// What holds always: the revision in force at a daemon never falls, whatever
// the store or a peer says, and a daemon passes on only what was accepted.
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

// Config holds what a Manager depends on.
type Config struct {
	Site    string // name of the site in settings; a text of another is refused
	VM      string
	Zone    string
	Store   store.Store
	Members membership.Source
	Dialer  *link.Dialer
	// Announce makes a new revision known to others, usually by
	// membership.Manager.SetDigest; nil for none. Whoever hears of it calls Learn.
	Announce func(name string, revision uint64)
	Log      *event.Log
	Metrics  prometheus.Registerer // nil for none
	Seed     uint64                // of jitter and of the choice of peers
}

// Manager keeps the text in force. It implements site.Source.
type Manager struct {
	cfg  Config
	keys record.Keys

	current atomic.Pointer[state]
	wake    chan struct{} // the fetcher: someone has a newer revision
	cost    cost

	mu      sync.Mutex // guards what follows and every change of current
	recent  []kept     // texts lately in force, the newest last, bases of patches
	seen    map[string]ObservedRevision
	offered int64 // last lower revision logged
	refused *Rejection
	watch   watchState
	outage  outage

	announceMu sync.Mutex // makes announcements follow the order of revisions

	rngMu sync.Mutex
	rng   *rand.Rand
}

// state is one text in force. It is immutable.
type state struct {
	site   *site.Site
	record *record.Record
	source string
	since  time.Time
}

// kept is a text without its parsed form, which takes several times the memory.
type kept struct {
	revision int64
	text     string
}

var _ site.Source = (*Manager)(nil)

// New returns a Manager that has no text until Run finds one.
func New(cfg Config) *Manager {
	m := &Manager{
		cfg:  cfg,
		keys: record.KeysOf(cfg.Site),
		wake: make(chan struct{}, 1),
		seen: map[string]ObservedRevision{},
		rng:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	if cfg.Metrics != nil {
		m.register(cfg.Metrics)
	}
	return m
}

// Current returns the site in force, or nil before any text is known.
func (m *Manager) Current() *site.Site {
	if s := m.current.Load(); s != nil {
		return s.site
	}
	return nil
}

// Digest returns the revision in force, 0 for none.
func (m *Manager) Digest() uint64 { return uint64(m.revision()) }

func (m *Manager) revision() int64 {
	if s := m.current.Load(); s != nil {
		return s.record.Revision
	}
	return 0
}

// Run finds a first text and then keeps it the newest until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){m.bootLoop, m.watchLoop, m.roleLoop, m.pollLoop, m.fetchLoop} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "configuration in force")
	}
	return ctx.Err()
}

// jitter spreads d evenly between half and one and a half of itself, so that
// daemons which began to wait together do not go on together.
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

// signal leaves one token in c, which is enough to wake its reader.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

package inforce

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/inforce/patch"
	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// fleet is some daemons' configuration over an in-memory network, with gossip
// reduced to what this package needs of it: random pairs compare revisions.
type fleet struct {
	t      *testing.T
	store  *store.Memory
	view   *membership.View
	nodes  []*node
	rng    *rand.Rand
	log    bytes.Buffer
	logger *logrus.Logger
	number int64 // of texts accepted

	mu  sync.Mutex
	cut map[string]bool // zones without links to the others
}

type node struct {
	*Manager
	member membership.Member
	store  *store.Faulty
	stale  *staleStore
	stop   context.CancelFunc
	floor  int64 // highest revision seen in force in this life
}

func newFleet(t *testing.T, zones, perZone int, seed uint64) *fleet {
	f := &fleet{t: t, store: store.NewMemory(), view: &membership.View{}, cut: map[string]bool{}}
	f.rng = rand.New(rand.NewPCG(seed, 1))
	f.logger = logrus.New()
	f.logger.SetOutput(&f.log)
	for i := range zones * perZone {
		f.view.Members = append(f.view.Members, membership.Member{
			ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Peer: fmt.Sprintf("vm-%d:1", i),
		})
	}
	for _, m := range f.view.Members {
		n := &node{member: m, stale: &staleStore{Store: f.store}}
		n.store = store.NewFaulty(n.stale)
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// staleStore answers reads of single keys from a copy taken when it was frozen.
type staleStore struct {
	store.Store
	mu     sync.Mutex
	frozen map[string]store.KV
}

func (s *staleStore) freeze(ctx context.Context, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if !frozen {
		return
	}
	s.frozen = map[string]store.KV{}
	kvs, _, _ := s.List(ctx, "/")
	for _, kv := range kvs {
		s.frozen[kv.Key] = kv
	}
}

func (s *staleStore) Get(ctx context.Context, key string) (store.KV, error) {
	s.mu.Lock()
	kv, ok := s.frozen[key]
	s.mu.Unlock()
	if ok {
		return kv, nil
	}
	return s.Store.Get(ctx, key)
}

// start gives n a new life without memory.
func (f *fleet) start(n *node) { f.startOn(n, n.store) }

func (f *fleet) startOn(n *node, s store.Store) {
	if n.stop != nil {
		n.stop()
		synctest.Wait()
	}
	n.floor = 0
	m := New(Config{
		Site: "yard", VM: n.member.ID, Zone: n.member.Zone, Store: s,
		Members: membership.Static{View: f.view}, Log: event.New(f.logger, n.member.ID, n.member.Zone),
		Dialer: link.NewDialerWith(&http.Client{Transport: wire{f, n}}), Seed: f.rng.Uint64(),
	})
	f.mu.Lock()
	n.Manager = m
	f.mu.Unlock()
	var ctx context.Context
	ctx, n.stop = context.WithCancel(f.t.Context())
	go func() { _ = m.Run(ctx) }()
}

func (f *fleet) linked(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a == b || !f.cut[a] && !f.cut[b]
}

func (f *fleet) setCut(zone string, cut bool) {
	f.mu.Lock()
	f.cut[zone] = cut
	f.mu.Unlock()
	for _, n := range f.nodes {
		if n.member.Zone == zone {
			n.store.SetDown(cut)
		}
	}
	synctest.Wait()
}

// wire carries calls between daemons; across a cut they hang in silence.
type wire struct {
	*fleet
	from *node
}

func (w wire) RoundTrip(r *http.Request) (*http.Response, error) {
	for _, n := range w.nodes {
		if n.member.Peer != r.URL.Host {
			continue
		}
		if !w.linked(w.from.member.Zone, n.member.Zone) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		w.mu.Lock()
		m := n.Manager
		w.mu.Unlock()
		if m == nil {
			break
		}
		_, h := m.Handler()
		answer := httptest.NewRecorder()
		h.ServeHTTP(answer, r)
		return answer.Result(), nil
	}
	return nil, errors.New("connection refused")
}

// run lets time pass with gossip, and checks that no revision falls.
func (f *fleet) run(d time.Duration) {
	const round = 200 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(round) {
		for _, n := range f.nodes {
			peer := f.nodes[f.rng.IntN(len(f.nodes))]
			if f.linked(n.member.Zone, peer.member.Zone) {
				n.ObserveRevision(peer.member.ID, peer.Digest())
				peer.ObserveRevision(n.member.ID, n.Digest())
			}
		}
		f.check()
	}
}

func (f *fleet) check() {
	for _, n := range f.nodes {
		revision := int64(n.Digest())
		must.GreaterEq(f.t, n.floor, revision, must.Sprintf("revision of %s fell", n.member.ID))
		must.LessEq(f.t, f.number, revision, must.Sprintf("%s has a text that was never accepted", n.member.ID))
		n.floor = revision
	}
}

func text(n int64) string {
	return fmt.Sprintf("[site]\nname = yard\nzones = A\n[limits]\nbody_bytes = %d\n", n)
}

// accept writes text as the next revision the way mallowctl does.
func (f *fleet) accept(text string) {
	keys := record.KeysOf("yard")
	r := &record.Record{
		Revision: f.number + 1, ID: fmt.Sprint("change-", f.number+1), BaseRevision: f.number,
		SHA256: record.Hash(text), Author: "night", AppliedAt: time.Now(),
	}
	ctx := f.t.Context()
	head, err := record.ReadHead(ctx, f.store, keys)
	if err == nil {
		old, err := record.ReadText(ctx, f.store, keys, head.Record)
		must.NoError(f.t, err)
		r.Patch = patch.Make(old, text)
	}
	_, err = f.store.CompareAndSwap(ctx, keys.Body(r.ID), 0, []byte(text), 0)
	must.NoError(f.t, err)
	_, err = f.store.CompareAndSwap(ctx, keys.Head(), head.Version, r.Encode(), 0)
	must.NoError(f.t, err)
	f.number++
}

func (f *fleet) change() { f.accept(text(f.number + 1)) }

func (f *fleet) storeDown(down bool) {
	for _, n := range f.nodes {
		n.store.SetDown(down)
	}
}

// converged asserts that every daemon has the newest text.
func (f *fleet) converged() {
	f.t.Helper()
	for _, n := range f.nodes {
		must.Eq(f.t, f.number, int64(n.Digest()), must.Sprint(n.member.ID))
		must.Eq(f.t, f.number, n.Current().Limits.BodyBytes, must.Sprint(n.member.ID))
	}
}

func (f *fleet) watches() (open int64) {
	for _, n := range f.nodes {
		open += n.store.Counts().Waiting
	}
	return open
}

// play runs one test in virtual time and ends its daemons with it.
func play(t *testing.T, zones, perZone int, seed uint64, story func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, zones, perZone, seed)
		story(f)
		for _, n := range f.nodes {
			n.stop()
		}
		synctest.Wait()
	})
}

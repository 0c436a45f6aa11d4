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

// fleet is a set of Managers on an in-memory network and store. Gossip is reduced to what this
// package needs: random pairs of daemons exchange their revisions.
type fleet struct {
	t            *testing.T
	store        *store.Memory
	view         *membership.View
	nodes        []*node
	rng          *rand.Rand
	log          bytes.Buffer
	logger       *logrus.Logger
	lastAccepted int64 // revision of the last accepted text

	mu       sync.Mutex
	isolated map[string]bool // zones partitioned from the others
}

// node is one daemon of a fleet.
type node struct {
	*Manager
	member          membership.Member
	store           *store.Faulty
	staleReads      *staleStore
	stop            context.CancelFunc
	highestRevision int64 // highest active revision since the last start
}

func newFleet(t *testing.T, zones, perZone int, seed uint64) *fleet {
	f := &fleet{t: t, store: store.NewMemory(), view: &membership.View{}, isolated: map[string]bool{}}
	f.rng = rand.New(rand.NewPCG(seed, 1))
	f.logger = logrus.New()
	f.logger.SetOutput(&f.log)
	for i := range zones * perZone {
		f.view.Members = append(f.view.Members, membership.Member{
			ID: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), PeerAddr: fmt.Sprintf("vm-%d:1", i),
		})
	}
	for _, m := range f.view.Members {
		n := &node{member: m, staleReads: &staleStore{Store: f.store}}
		n.store = store.NewFaulty(n.staleReads)
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// staleStore is a store that, while frozen, answers reads of single keys from a copy taken when it
// was frozen.
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
	list, _ := s.List(ctx, "/")
	for _, kv := range list.KVs {
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

// start starts n, or restarts it without any state.
func (f *fleet) start(n *node) { f.startWithStore(n, n.store) }

func (f *fleet) startWithStore(n *node, s store.Store) {
	if n.stop != nil {
		n.stop()
		synctest.Wait()
	}
	n.highestRevision = 0
	m := New(Config{
		Site: "yard", VM: n.member.ID, Zone: n.member.Zone, Store: s,
		Members: membership.Static{View: f.view}, Log: event.New(f.logger, n.member.ID, n.member.Zone),
		Dialer: link.NewDialerWithClient(&http.Client{Transport: transport{f, n}}), Seed: f.rng.Uint64(),
	})
	f.mu.Lock()
	n.Manager = m
	f.mu.Unlock()
	var ctx context.Context
	ctx, n.stop = context.WithCancel(f.t.Context())
	go func() { _ = m.Run(ctx) }()
}

func (f *fleet) areConnected(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a == b || !f.isolated[a] && !f.isolated[b]
}

// setIsolated cuts the links of a zone to the other zones and to the store, or restores them.
func (f *fleet) setIsolated(zone string, isolated bool) {
	f.mu.Lock()
	f.isolated[zone] = isolated
	f.mu.Unlock()
	for _, n := range f.nodes {
		if n.member.Zone == zone {
			n.store.SetDown(isolated)
		}
	}
	synctest.Wait()
}

// transport carries calls between daemons; a call into or out of an isolated zone hangs until its
// context ends.
type transport struct {
	*fleet
	from *node
}

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for _, n := range t.nodes {
		if n.member.PeerAddr != r.URL.Host {
			continue
		}
		if !t.areConnected(t.from.member.Zone, n.member.Zone) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		t.mu.Lock()
		m := n.Manager
		t.mu.Unlock()
		if m == nil {
			break
		}
		_, h := m.Handler()
		response := httptest.NewRecorder()
		h.ServeHTTP(response, r)
		return response.Result(), nil
	}
	return nil, errors.New("connection refused")
}

// runGossip lets d pass while daemons gossip, and checks the invariants on the way.
func (f *fleet) runGossip(d time.Duration) {
	const round = 200 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(round) {
		for _, n := range f.nodes {
			peer := f.nodes[f.rng.IntN(len(f.nodes))]
			if f.areConnected(n.member.Zone, peer.member.Zone) {
				n.ObserveRevision(peer.member.ID, peer.Digest())
				peer.ObserveRevision(n.member.ID, n.Digest())
			}
		}
		f.checkRevisions()
	}
}

// checkRevisions asserts that no daemon's revision has decreased and that each was accepted.
func (f *fleet) checkRevisions() {
	for _, n := range f.nodes {
		revision := int64(n.Digest())
		must.GreaterEq(f.t, n.highestRevision, revision, must.Sprintf("active revision of %s decreased", n.member.ID))
		must.LessEq(f.t, f.lastAccepted, revision, must.Sprintf("%s has a text that was never accepted", n.member.ID))
		n.highestRevision = revision
	}
}

func siteText(n int64) string {
	return fmt.Sprintf("[site]\nname = yard\nzones = A\n[limits]\nbody_bytes = %d\n", n)
}

// accept writes text to the store as the next revision, the way mallowctl does.
func (f *fleet) accept(text string) {
	keys := record.KeysOf("yard")
	r := &record.Record{
		Revision: f.lastAccepted + 1, ID: fmt.Sprint("change-", f.lastAccepted+1), BaseRevision: f.lastAccepted,
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
	f.lastAccepted++
}

// acceptNext accepts a text that differs from the last one.
func (f *fleet) acceptNext() { f.accept(siteText(f.lastAccepted + 1)) }

func (f *fleet) setStoreDown(down bool) {
	for _, n := range f.nodes {
		n.store.SetDown(down)
	}
}

// assertConverged asserts that the newest text is active at every daemon.
func (f *fleet) assertConverged() {
	f.t.Helper()
	for _, n := range f.nodes {
		must.Eq(f.t, f.lastAccepted, int64(n.Digest()), must.Sprint(n.member.ID))
		must.Eq(f.t, f.lastAccepted, n.Current().Limits.BodyBytes, must.Sprint(n.member.ID))
	}
}

func (f *fleet) openWatches() (open int64) {
	for _, n := range f.nodes {
		open += n.store.Counts().Waiting
	}
	return open
}

// withFleet runs one test in virtual time and stops its daemons afterwards.
func withFleet(t *testing.T, zones, perZone int, seed uint64, test func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, zones, perZone, seed)
		test(f)
		for _, n := range f.nodes {
			n.stop()
		}
		synctest.Wait()
	})
}

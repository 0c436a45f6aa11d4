package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/external/store"
)

// testZone is the daemons of one zone, which share one store. A pause of a daemon is simulated by
// store calls that do not return; its clock goes on, as that of a paused process does.
type testZone struct {
	store    *store.Faulty
	managers []*Manager
	cancels  []context.CancelFunc
	done     []chan struct{}
	views    []*membership.Static
}

func newTestZone(t *testing.T, n int) *testZone {
	w := &testZone{store: store.NewFaulty(store.NewMemory())}
	var members []membership.Member
	for i := range n {
		members = append(members, membership.Member{ID: fmt.Sprintf("vm%03d", i), Zone: "a", Incarnation: 1})
	}
	for i := range n {
		view := &membership.Static{View: &membership.View{Self: members[i], Members: members}}
		m := NewManager(Deps{Store: &stallingStore{Store: w.store}, Members: view})
		w.managers, w.views = append(w.managers, m), append(w.views, view)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		w.cancels, w.done = append(w.cancels, cancel), append(w.done, done)
		go func() { _ = m.Run(ctx); close(done) }()
	}
	t.Cleanup(func() {
		for i := range w.cancels {
			w.storeOf(i).resume()
			w.cancels[i]()
			<-w.done[i]
		}
	})
	return w
}

// stallingStore delays the answers to one daemon's renewals after the store has applied them.
type stallingStore struct {
	store.Store
	mu      sync.Mutex
	stalled chan struct{}
}

func (g *stallingStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	g.mu.Lock()
	stalled := g.stalled
	g.mu.Unlock()
	ttl, err := g.Store.KeepAlive(ctx, id)
	if stalled != nil {
		<-stalled
	}
	return ttl, err
}

func (g *stallingStore) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalled = make(chan struct{})
}

func (g *stallingStore) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stalled != nil {
		close(g.stalled)
		g.stalled = nil
	}
}

func (w *testZone) storeOf(i int) *stallingStore { return w.managers[i].deps.Store.(*stallingStore) }

// holder returns the index of the only daemon with a valid lease, or -1. The test fails if two
// daemons have one.
func (w *testZone) holder(t *testing.T) int {
	t.Helper()
	synctest.Wait()
	holder := -1
	for i, m := range w.managers {
		if m.Current().IsValid(time.Now()) {
			must.Eq(t, -1, holder)
			holder = i
		}
	}
	return holder
}

// The daemons of a zone start together. Exactly one must acquire the lease, and in a zone of 56
// daemons the store must not get calls from 56 contenders.
func TestOneHolderAndFewCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestZone(t, 56)
		time.Sleep(10 * time.Second)
		first := w.holder(t)
		must.NotEq(t, -1, first)
		before := w.store.Counts()
		time.Sleep(10 * time.Minute)
		must.Eq(t, first, w.holder(t))
		after := w.store.Counts()
		calls := float64(after.Reads()+after.Writes()-before.Reads()-before.Writes()) / 600
		t.Logf("store calls per second in a zone of 56 daemons: %.2f", calls)
		must.Less(t, 1.5, calls)
	})
}

// A holder is stopped for an upgrade, then the next one dies. Another daemon must acquire the
// lease: soon after a release, after the expiry otherwise, each time with a higher fencing token.
func TestNextHolderHasHigherFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestZone(t, 3)
		time.Sleep(10 * time.Second)
		first := w.holder(t)
		fence := w.managers[first].Current().FencingToken
		w.cancels[first]()
		time.Sleep(8 * time.Second)
		second := w.holder(t)
		must.NotEq(t, -1, second)
		must.Greater(t, fence, w.managers[second].Current().FencingToken)

		fence = w.managers[second].Current().FencingToken
		w.storeOf(second).stall() // never answers again
		time.Sleep(25 * time.Second)
		third := w.holder(t)
		must.NotEq(t, -1, third)
		must.NotEq(t, second, third)
		must.Greater(t, fence, w.managers[third].Current().FencingToken)
	})
}

// The holder is paused for a minute right after the store renewed its lease. When it resumes, it
// receives that successful answer, although another daemon holds the lease by then. An expiry time
// counted from the arrival of the answer would let both give orders.
func TestPausedHolderResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestZone(t, 3)
		time.Sleep(10 * time.Second)
		first := w.holder(t)
		w.storeOf(first).stall()
		for range 60 {
			time.Sleep(time.Second)
			w.holder(t)
		}
		second := w.holder(t)
		must.NotEq(t, first, second)
		w.storeOf(first).resume()
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, second, w.holder(t))
		}
	})
}

// The store is unreachable for ten minutes. No daemon may consider the lease held for longer than
// its TTL, and one must acquire it soon after the outage.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestZone(t, 3)
		time.Sleep(10 * time.Second)
		fence := w.managers[w.holder(t)].Current().FencingToken
		w.store.SetDown(true)
		time.Sleep(DefaultConfig().TTL)
		must.Eq(t, -1, w.holder(t))
		time.Sleep(10 * time.Minute)
		w.store.SetDown(false)
		time.Sleep(15 * time.Second)
		next := w.holder(t)
		must.NotEq(t, -1, next)
		must.Greater(t, fence, w.managers[next].Current().FencingToken)
	})
}

// Either the answer to the write that acquires the lease is lost, or the write itself. The daemon
// must find out which before it acts as the holder.
func TestLostAnswerOnAcquire(t *testing.T) {
	for _, lose := range []func(*store.Faulty){(*store.Faulty).LoseNextWriteResponse, (*store.Faulty).DropNextWrite} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestZone(t, 3)
			lose(w.store)
			time.Sleep(25 * time.Second)
			holder := w.holder(t)
			must.NotEq(t, -1, holder)
			kv, err := w.store.Get(t.Context(), Prefix+"a")
			must.NoError(t, err)
			must.Eq(t, uint64(kv.Version), w.managers[holder].Current().FencingToken)
			must.Eq(t, w.managers[holder].value, string(kv.Value))
		})
	}
}

// A virtual machine is suspended and resumed: its monotonic clock stood still, its wall clock was
// corrected. The lease must have expired by the wall clock.
func TestLeaseExpiresByWallClock(t *testing.T) {
	now := time.Now()
	h := newLease(1, now, now.Add(9*time.Second))
	must.True(t, h.IsValid(now.Add(8*time.Second)))
	h.expiresAtWall = h.expiresAtWall.Add(-10 * time.Second)
	must.False(t, h.IsValid(now.Add(8*time.Second)))
	must.False(t, Lease{}.IsValid(now))
}

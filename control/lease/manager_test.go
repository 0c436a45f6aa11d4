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

// world is one zone's daemons before one store. A pause keeps a daemon's
// calls from returning; its clock goes on, as that of a paused process does.
type world struct {
	store    *store.Faulty
	managers []*Manager
	cancels  []context.CancelFunc
	done     []chan struct{}
	views    []*membership.Static
}

func newWorld(t *testing.T, n int) *world {
	w := &world{store: store.NewFaulty(store.NewMemory())}
	var members []membership.Member
	for i := range n {
		members = append(members, membership.Member{ID: fmt.Sprintf("vm%03d", i), Zone: "a", Incarnation: 1})
	}
	for i := range n {
		view := &membership.Static{View: &membership.View{Self: members[i], Members: members}}
		m := NewManager(Deps{Store: &gate{Store: w.store}, Members: view})
		w.managers, w.views = append(w.managers, m), append(w.views, view)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		w.cancels, w.done = append(w.cancels, cancel), append(w.done, done)
		go func() { _ = m.Run(ctx); close(done) }()
	}
	t.Cleanup(func() {
		for i := range w.cancels {
			w.gate(i).open()
			w.cancels[i]()
			<-w.done[i]
		}
	})
	return w
}

// gate holds back one daemon's renewals after the store has taken them.
type gate struct {
	store.Store
	mu   sync.Mutex
	held chan struct{}
}

func (g *gate) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	g.mu.Lock()
	shut := g.held
	g.mu.Unlock()
	ttl, err := g.Store.KeepAlive(ctx, id)
	if shut != nil {
		<-shut
	}
	return ttl, err
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held != nil {
		close(g.held)
		g.held = nil
	}
}

func (w *world) gate(i int) *gate { return w.managers[i].deps.Store.(*gate) }

// holder returns the index of the only daemon with a valid hold, or -1; two
// at once fail the test.
func (w *world) holder(t *testing.T) int {
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

// A zone's daemons start together. Exactly one may come to hold the lease, and
// at 56 of them the store must not see 56 contenders.
func TestOneHolderAndFewCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 56)
		time.Sleep(10 * time.Second)
		first := w.holder(t)
		must.NotEq(t, -1, first)
		before := w.store.Counts()
		time.Sleep(10 * time.Minute)
		must.Eq(t, first, w.holder(t))
		after := w.store.Counts()
		calls := float64(after.Reads()+after.Writes()-before.Reads()-before.Writes()) / 600
		t.Logf("store calls a second of a zone of 56 daemons: %.2f", calls)
		must.Less(t, 1.5, calls)
	})
}

// A holder is stopped for an upgrade, then the next one dies. Orders of the
// zone must go on: at once after a release, after the lease's end otherwise,
// each time under a higher fencing number.
func TestNextHolderHasHigherFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		time.Sleep(10 * time.Second)
		first := w.holder(t)
		fence := w.managers[first].Current().FencingToken
		w.cancels[first]()
		time.Sleep(8 * time.Second)
		second := w.holder(t)
		must.NotEq(t, -1, second)
		must.Greater(t, fence, w.managers[second].Current().FencingToken)

		fence = w.managers[second].Current().FencingToken
		w.gate(second).shut() // never answers again
		time.Sleep(25 * time.Second)
		third := w.holder(t)
		must.NotEq(t, -1, third)
		must.NotEq(t, second, third)
		must.Greater(t, fence, w.managers[third].Current().FencingToken)
	})
}

// The holder is paused for a minute right after the store renewed its lease.
// It comes back with that good answer in hand, while another daemon has long
// taken over. A deadline measured from the answer would let both give orders.
func TestPausedHolderComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		time.Sleep(10 * time.Second)
		first := w.holder(t)
		w.gate(first).shut()
		for range 60 {
			time.Sleep(time.Second)
			w.holder(t)
		}
		second := w.holder(t)
		must.NotEq(t, first, second)
		w.gate(first).open()
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, second, w.holder(t))
		}
	})
}

// The store is away for ten minutes. No daemon may believe that it holds the
// lease longer than the lease lasts, and one must hold it again soon after.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
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

// The write that takes the lease takes effect and its answer is lost, or the
// write itself is lost. The daemon must find out which before it acts.
func TestLostAnswerOnTaking(t *testing.T) {
	for _, lose := range []func(*store.Faulty){(*store.Faulty).LoseNextWriteResponse, (*store.Faulty).DropNextWrite} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3)
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

// A virtual machine is frozen and thawed: its monotonic clock stood still,
// its wall clock was set. The hold must be over by the wall clock.
func TestHoldEndsByWallClock(t *testing.T) {
	now := time.Now()
	h := newHold(1, now, now.Add(9*time.Second))
	must.True(t, h.IsValid(now.Add(8*time.Second)))
	h.wall = h.wall.Add(-10 * time.Second)
	must.False(t, h.IsValid(now.Add(8*time.Second)))
	must.False(t, Lease{}.IsValid(now))
}

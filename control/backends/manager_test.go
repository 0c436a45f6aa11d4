package backends

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

// listFake is a VM list whose rows the tests set.
type listFake struct {
	mu    sync.Mutex
	rows  []vmlist.VM
	reads atomic.Int64
}

func (l *listFake) List(context.Context) ([]vmlist.VM, error) {
	l.reads.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]vmlist.VM(nil), l.rows...), nil
}

func (l *listFake) set(rows ...vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows = rows
}

// engineFake implements only Status. While down is set, Status blocks until its context ends.
type engineFake struct {
	engine.Engine
	down  atomic.Bool
	polls atomic.Int64
}

func (e *engineFake) Status(ctx context.Context) (engine.Status, error) {
	e.polls.Add(1)
	if e.down.Load() {
		<-ctx.Done()
		return engine.Status{}, errors.Wrap(engine.ErrBroken, "no answer")
	}
	return engine.Status{Incarnation: "1"}, nil
}

func backend(id string, state vmlist.State) vmlist.VM {
	return vmlist.VM{ID: id, Address: id + ":1", Zone: "a", Role: vmlist.RoleBackend, Pool: "p", State: state}
}

// start runs a Manager over list until the test ends.
func start(t *testing.T, list vmlist.Source, engines map[string]*engineFake) *Manager {
	m := NewManager(Deps{
		Self: "d1", Zone: "a", VMs: list,
		Engine: func(address string) engine.Engine { return engines[address] },
	})
	run(t, m)
	return m
}

// run runs m until the test ends and waits until its first reads and polls are done.
func run(t *testing.T, m *Manager) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
}

func (b *Backend) digest() uint64 { return statusDigest(b.Status, b.Reachable) }

func find(m *Manager, id string) *Backend {
	for _, b := range m.Current().Pools["p"] {
		if b.VM.ID == id {
			return b
		}
	}
	return nil
}

// An operator drains a backend server, and the platform's list shows it as leaving. Requests sent
// to it until it stops would be aborted, so the daemon must show it as leaving within DrainBound.
func TestLeavingIsKnownWithinDrainBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &listFake{}
		list.set(backend("b1", vmlist.Live), backend("b2", vmlist.Live))
		m := start(t, list, map[string]*engineFake{"b1:1": {}, "b2:1": {}})
		must.Eq(t, vmlist.Live, find(m, "b1").VM.State)
		for range 20 {
			list.set(backend("b1", vmlist.Leaving), backend("b2", vmlist.Live))
			time.Sleep(m.cfg.DrainBound())
			synctest.Wait()
			must.Eq(t, vmlist.Leaving, find(m, "b1").VM.State)
			list.set(backend("b1", vmlist.Live), backend("b2", vmlist.Live))
			time.Sleep(m.cfg.DrainBound() + 137*time.Millisecond)
			synctest.Wait()
			must.Eq(t, vmlist.Live, find(m, "b1").VM.State)
		}
		must.LessEq(t, 5*time.Second, m.cfg.DrainBound())
	})
}

// The list no longer contains a VM whose process still answers (a stuck shutdown). New work would
// be aborted when the VM is deleted, but its running generations must stay reachable: it must count
// as leaving for RemovedRetention. An empty list must not have that effect.
func TestRemovedButAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &listFake{}
		b1, b2 := backend("b1", vmlist.Live), backend("b2", vmlist.Live)
		list.set(b1, b2)
		m := start(t, list, map[string]*engineFake{"b1:1": {}, "b2:1": {}})
		list.set()
		time.Sleep(time.Minute)
		synctest.Wait()
		must.Eq(t, vmlist.Live, find(m, "b1").VM.State)

		list.set(b1, b2)
		time.Sleep(3 * time.Second)
		list.set(b2)
		time.Sleep(m.cfg.RemovalBound())
		synctest.Wait()
		must.Eq(t, vmlist.Leaving, find(m, "b1").VM.State)
		time.Sleep(m.cfg.RemovedRetention + m.cfg.DrainBound())
		synctest.Wait()
		must.Nil(t, find(m, "b1"))
		must.NotNil(t, find(m, "b2"))
	})
}

// A backend server crashes while the lagging list still shows it as live. It must become
// unreachable without affecting another server, and reachable again soon after it answers.
func TestListedButNotAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &listFake{}
		list.set(backend("b1", vmlist.Live), backend("b2", vmlist.Live))
		engines := map[string]*engineFake{"b1:1": {}, "b2:1": {}}
		m := start(t, list, engines)
		must.True(t, find(m, "b1").Reachable)
		engines["b1:1"].down.Store(true)
		m.PollSoon("b1")
		time.Sleep(m.cfg.StatusTimeout)
		synctest.Wait()
		must.False(t, find(m, "b1").Reachable)
		must.True(t, find(m, "b2").Reachable)
		engines["b1:1"].down.Store(false)
		time.Sleep(m.cfg.StatusTimeout + m.cfg.maxJittered(m.cfg.MinPollInterval))
		synctest.Wait()
		must.True(t, find(m, "b1").Reachable)
	})
}

// At 390 daemons and 1,900 backend servers, no daemon may know all servers, but each server must be
// known to enough daemons of its zone to receive its share of the work.
func TestSubsetAtScale(t *testing.T) {
	const zones, daemons, replicas, pools = 7, 390, 1900, 15
	var rows []vmlist.VM
	for i := range daemons {
		rows = append(rows, vmlist.VM{ID: fmt.Sprint("d", i), Role: vmlist.RoleEntry, Zone: fmt.Sprint("z", i%zones)})
	}
	for i := range replicas {
		rows = append(rows, vmlist.VM{
			ID: fmt.Sprint("b", i), Role: vmlist.RoleBackend, Pool: fmt.Sprint("p", i%pools), Zone: fmt.Sprint("z", (i/pools)%zones),
		})
	}
	known := make(map[string]int)
	largest := 0
	for i := range daemons {
		m := NewManager(Deps{Self: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%zones)})
		w := m.subsetRows(rows)
		largest = max(largest, len(w))
		for id, vm := range w {
			if vm.Zone == m.deps.Zone {
				known[id]++
			}
		}
	}
	leastKnown := daemons
	for _, vm := range rows[daemons:] {
		leastKnown = min(leastKnown, known[vm.ID])
	}
	t.Logf("largest subset: %d of %d backend servers; each server is known to at least %d daemons of its zone", largest, replicas, leastKnown)
	must.LessEq(t, pools*20, largest)
	must.Greater(t, 8, leastKnown)
}

// The subset must grow to the whole pool in a zone with few daemons, and stay at its minimum in a
// zone with many.
func TestSubsetCoversWithFewDaemons(t *testing.T) {
	must.Eq(t, 36, min(36, localSubsetSize(12, 8, 36, 3)))
	must.Eq(t, 12, localSubsetSize(12, 8, 18, 56))
}

// A daemon that does not read the list learns from another daemon that one backend server is
// leaving and that another one was removed. Both must count as leaving at once, and an older change
// that arrives late must not be applied.
func TestChangesReplaceReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &listFake{}
		b1, b2 := backend("b1", vmlist.Live), backend("b2", vmlist.Live)
		list.set(b1, b2)
		engines := map[string]*engineFake{"b1:1": {}, "b2:1": {}}
		m := NewManager(Deps{
			Self: "d9", Zone: "a", VMs: list, IsReader: func(int) bool { return false },
			Engine: func(address string) engine.Engine { return engines[address] },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = m.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		time.Sleep(time.Minute)
		must.Eq(t, 1, list.reads.Load())

		old := time.Now()
		time.Sleep(time.Second)
		leaving := b1
		leaving.State = vmlist.Leaving
		must.True(t, m.ApplyVMChange(membership.VMChange{VM: leaving, SeenAt: time.Now()}))
		must.Eq(t, vmlist.Leaving, find(m, "b1").VM.State)
		must.False(t, m.ApplyVMChange(membership.VMChange{VM: b1, SeenAt: old}))
		must.Eq(t, vmlist.Leaving, find(m, "b1").VM.State)
		time.Sleep(time.Second)
		must.True(t, m.ApplyVMChange(membership.VMChange{VM: b2, Removed: true, SeenAt: time.Now()}))
		must.Eq(t, vmlist.Leaving, find(m, "b2").VM.State)
	})
}

// A reader must announce changes, but must not announce VMs as removed that only one read lacks.
func TestReaderAnnouncesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &listFake{}
		b1, b2 := backend("b1", vmlist.Live), backend("b2", vmlist.Live)
		list.set(b2, b1)
		m := NewManager(Deps{Self: "d1", Zone: "a", VMs: list, Engine: func(string) engine.Engine { return &engineFake{} }})
		var changes []membership.VMChange
		m.OnVMChange(func(n membership.VMChange) { changes = append(changes, n) })
		read := func(rows ...vmlist.VM) {
			list.set(rows...)
			m.readList(t.Context())
		}
		read(b2, b1)
		read(b1) // truncated
		read(b1, b2)
		must.SliceLen(t, 1, changes)
		must.False(t, changes[0].Removed)
		b1.State = vmlist.Leaving
		read(b1, b2)
		read(b2)
		must.SliceLen(t, 2, changes)
		read(b2)
		must.SliceLen(t, 3, changes)
		must.True(t, changes[2].Removed)
		must.Eq(t, "b1", changes[2].VM.ID)
	})
}

// In a large pool, polling all engines once takes minutes. When another daemon announces that an
// engine no longer answers, this daemon must poll the engine early instead of considering it
// reachable until its next steady poll. It must not poll early if it already knows the announced
// report.
func TestReportChangeTriggersEarlyPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list, engines := &listFake{}, map[string]*engineFake{}
		var rows []vmlist.VM
		for i := range 60 {
			rows = append(rows, backend(fmt.Sprintf("b%02d", i), vmlist.Live))
			engines[rows[i].Address] = &engineFake{}
		}
		list.set(rows...)
		m := start(t, list, engines)
		var announced []string
		m.OnReportChange(func(id string, _ uint64) { announced = append(announced, id) })
		time.Sleep(30 * time.Second)
		engines["b07:1"].down.Store(true)
		must.True(t, find(m, "b07").Reachable)
		before := engines["b07:1"].polls.Load()
		m.HandleReportChange("b07", noAnswerDigest)
		time.Sleep(reportPollSpread + m.cfg.StatusTimeout)
		synctest.Wait()
		must.False(t, find(m, "b07").Reachable)
		must.Eq(t, []string{"b07"}, announced)
		must.Eq(t, before+1, engines["b07:1"].polls.Load())

		pollsOfB09 := engines["b09:1"].polls.Load()
		m.HandleReportChange("b09", find(m, "b09").digest())
		time.Sleep(2 * time.Second)
		must.Eq(t, pollsOfB09, engines["b09:1"].polls.Load())
	})
}

// The rate of steady polls must stay at PollsPerSecond whatever the number of backend servers.
func TestPollRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list, engines := &listFake{}, map[string]*engineFake{}
		var rows []vmlist.VM
		for i := range 60 {
			vm := backend(fmt.Sprintf("b%02d", i), vmlist.Live)
			rows = append(rows, vm)
			engines[vm.Address] = &engineFake{}
		}
		list.set(rows...)
		m := start(t, list, engines)
		time.Sleep(5 * time.Minute)
		total := int64(0)
		for _, e := range engines {
			total += e.polls.Load()
		}
		rate := float64(total) / 300
		t.Logf("polls per second: %.2f", rate)
		must.Less(t, m.cfg.PollsPerSecond*1.3, rate)
		must.Greater(t, m.cfg.PollsPerSecond*0.7, rate)
	})
}

// An entry VM boots during an outage of the store and knows the VM list before the first site text.
// The plain service "desk" must not receive status polls, which it would execute as calls, and must
// become reachable as soon as the site text names the kind of its pool.
func TestListKnownBeforeSiteText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &listFake{}
		list.set(backend("desk", vmlist.Live))
		desk := &engineFake{}
		var kind atomic.Uint32
		kind.Store(uint32(KindUnknown))
		m := NewManager(Deps{
			Self: "d1", Zone: "a", VMs: list,
			Engine:   func(string) engine.Engine { return desk },
			PoolKind: func(string) Kind { return Kind(kind.Load()) },
		})
		run(t, m)
		time.Sleep(10 * time.Second)
		must.False(t, find(m, "desk").Reachable)
		kind.Store(uint32(KindPlain))
		time.Sleep(2 * m.cfg.ListInterval)
		must.True(t, find(m, "desk").Reachable)
		must.Nil(t, find(m, "desk").Engine)
		must.Eq(t, 0, desk.polls.Load())
	})
}

// A new version is ready on one of four engines. The requests for it must be divided between the
// versions in proportion to the engines, and a leaving engine must not count.
func TestVersionsShareRequestsInProportionToEngines(t *testing.T) {
	ref := func(v string) engine.ModelRef { return engine.ModelRef{Model: "m", Version: v} }
	holding := func(state vmlist.State, models ...engine.LoadedModel) *Backend {
		return &Backend{VM: vmlist.VM{State: state}, Reachable: true, Status: engine.Status{Models: models}}
	}
	old := engine.LoadedModel{Ref: ref("1"), State: engine.Ready}
	s := &Snapshot{Pools: map[string][]*Backend{"p": {
		holding(vmlist.Live, old),
		holding(vmlist.Live, old, engine.LoadedModel{Ref: ref("2"), State: engine.Ready}),
		holding(vmlist.Live, old, engine.LoadedModel{Ref: ref("2"), State: engine.Loading}),
		holding(vmlist.Live, old),
		holding(vmlist.Leaving, engine.LoadedModel{Ref: ref("2"), State: engine.Ready}),
	}}}
	chosen := make(map[string]int)
	for pick := range uint64(400) {
		chosen[s.ChooseVersion("p", ref("2"), pick).Version]++
	}
	must.Eq(t, map[string]int{"1": 300, "2": 100}, chosen)
	must.Eq(t, ref("9"), s.ChooseVersion("other", ref("9"), 3))
}

package roster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

var (
	vm1 = slot.Member{ID: "vm1", Incarnation: 1, Zone: "z1", PeerAddr: "10.0.0.1:1"}
	vm2 = slot.Member{ID: "vm2", Incarnation: 1, Zone: "z2", PeerAddr: "10.0.0.2:1"}
)

func newManager(s store.Store) *Manager {
	view := membership.Static{View: &membership.View{}}
	return NewManager(s, view, event.Discard())
}

func first(change string, owner slot.Member) []slot.Assignment {
	return []slot.Assignment{{Slot: 5, Term: 1, Owner: owner, Witness: vm2, ChangeID: change}}
}

func TestCommitReadsBackALostConfirmation(t *testing.T) {
	// The store takes the write and the answer is lost. The daemon must find out
	// that it owns the slot, or the slot would stand still with its owner alive.
	synctest.Test(t, func(t *testing.T) {
		faulty := store.NewFaulty(store.NewMemory())
		m := newManager(faulty)
		faulty.LoseNextWriteResponse()
		won, err := m.Commit(t.Context(), first("a", vm1))
		must.NoError(t, err)
		must.Len(t, 1, won)
		must.EqOp(t, vm1, m.Slot(5).Owner)
	})
}

func TestCommitRepeatsAWriteThatWasDropped(t *testing.T) {
	// The answer is lost and so was the write: the read back shows nothing.
	synctest.Test(t, func(t *testing.T) {
		faulty := store.NewFaulty(store.NewMemory())
		m := newManager(faulty)
		faulty.DropNextWrite()
		won, err := m.Commit(t.Context(), first("a", vm1))
		must.NoError(t, err)
		must.Len(t, 1, won)
	})
}

func TestOneOfTwoRacingDaemonsWins(t *testing.T) {
	// Two daemons believe that they should own one slot, and each writes.
	synctest.Test(t, func(t *testing.T) {
		shared := store.NewMemory()
		a, b := newManager(shared), newManager(shared)
		var wg sync.WaitGroup
		var byA, byB []slot.Assignment
		wg.Go(func() { byA, _ = a.Commit(t.Context(), first("a", vm1)) })
		wg.Go(func() { byB, _ = b.Commit(t.Context(), first("b", vm2)) })
		wg.Wait()
		must.EqOp(t, 1, len(byA)+len(byB))
		time.Sleep(time.Second)
		must.NoError(t, a.Refresh(t.Context()))
		must.NoError(t, b.Refresh(t.Context()))
		must.EqOp(t, a.Slot(5), b.Slot(5))
	})
}

func TestLearnNeverGoesBack(t *testing.T) {
	// A peer that lags passes an old assignment on after a newer one is known.
	m := newManager(store.NewMemory())
	m.MergeAssignment(slot.Assignment{Slot: 5, Term: 3, Owner: vm1, ChangeID: "c"})
	m.MergeAssignment(slot.Assignment{Slot: 5, Term: 2, Owner: vm2, ChangeID: "b"})
	must.EqOp(t, vm1, m.Slot(5).Owner)
	var violated int
	m.OnViolation(func(string, string) { violated++ })
	m.MergeAssignment(slot.Assignment{Slot: 5, Term: 3, Owner: vm2, ChangeID: "x"})
	must.EqOp(t, 1, violated)
	must.EqOp(t, vm1, m.Slot(5).Owner)
}

func TestLostRosterIsNotWrittenBack(t *testing.T) {
	// Somebody deletes the roster. A daemon whose copy is old must not write it:
	// the pairs it names may have been replaced since.
	synctest.Test(t, func(t *testing.T) {
		shared := store.NewMemory()
		m := newManager(shared)
		_, err := m.Commit(t.Context(), first("a", vm1))
		must.NoError(t, err)
		kv, err := shared.Get(t.Context(), Key)
		must.NoError(t, err)
		must.NoError(t, shared.Delete(t.Context(), Key, kv.Version))
		next := first("b", vm2)
		next[0].Term = 2
		_, err = m.Commit(t.Context(), next)
		must.ErrorIs(t, err, errMissing)
	})
}

func TestEncodeDecode(t *testing.T) {
	table := empty()
	table[7] = slot.Assignment{Slot: 7, Term: 9, Owner: vm1, Witness: vm2, ChangeID: "x"}
	table[8] = slot.Assignment{Slot: 8, Term: 1, Owner: vm2, ChangeID: "y"}
	b, err := encode(table)
	must.NoError(t, err)
	back, err := decode(b)
	must.NoError(t, err)
	must.EqOp(t, *table, *back)
}

// FuzzDecode: whatever the store holds, decode neither panics nor returns a
// table that encodes differently.
func FuzzDecode(f *testing.F) {
	b, _ := encode(empty())
	f.Add(b)
	f.Add([]byte(`{"slots":[[1,0,-1,0]]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		table, err := decode(b)
		if err != nil {
			return
		}
		again, err := encode(table)
		must.NoError(t, err)
		back, err := decode(again)
		must.NoError(t, err)
		must.EqOp(t, *table, *back)
	})
}

// BenchmarkRoster measures one change of the roster at full size: 390 daemons.
func BenchmarkRoster(b *testing.B) {
	table := empty()
	members := make([]slot.Member, 390)
	for i := range members {
		members[i] = slot.Member{ID: fmt.Sprintf("entry-%04d", i), Incarnation: 1764700000000000000, Zone: "zone-1", PeerAddr: "10.11.12.13:7443"}
	}
	for i := range table {
		table[i] = slot.Assignment{
			Slot: i, Term: 40, Owner: members[i%390], Witness: members[(i*7+1)%390],
			ChangeID: fmt.Sprintf("7f9c2ba4-e88f-427d-8b5c-%012d", i/3),
		}
	}
	m := newManager(store.NewMemory())
	ctx := context.Background()
	won, err := m.Commit(ctx, table[:])
	if err != nil || len(won) != 0 {
		b.Fatal("term 40 must not be accepted after term 0", err)
	}
	size := 0
	for b.Loop() {
		value, _ := encode(table)
		if _, err := decode(value); err != nil {
			b.Fatal(err)
		}
		size = len(value)
	}
	b.ReportMetric(float64(size), "value-bytes")
}

func TestProposalsShareOneWrite(t *testing.T) {
	// A daemon is lost and twenty others propose new pairs within a moment. Each
	// alone would make the others' writes fail; together they are one write.
	synctest.Test(t, func(t *testing.T) {
		faulty := store.NewFaulty(store.NewMemory())
		m := newManager(faulty)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				a := slot.Assignment{Slot: i, Term: 1, Owner: vm1, Witness: vm2, ChangeID: fmt.Sprint("c", i)}
				must.NoError(t, m.CommitBatched(t.Context(), []slot.Assignment{a}))
				must.EqOp(t, a, m.Slot(i))
			})
		}
		wg.Wait()
		must.EqOp(t, 1, faulty.Counts().Writes())
		time.Sleep(time.Second)
	})
}

func TestGatheredRivalsForASlotDoNotBothWin(t *testing.T) {
	// Two daemons propose themselves for one slot, and their proposals meet in
	// one group. Written one over the other, both would serve the slot's keys.
	synctest.Test(t, func(t *testing.T) {
		shared := store.NewMemory()
		m := newManager(shared)
		m.OnViolation(func(subject, detail string) { t.Errorf("%s: %s", subject, detail) })
		var wg sync.WaitGroup
		for _, p := range [][]slot.Assignment{first("a", vm1), first("b", vm2)} {
			wg.Go(func() { must.NoError(t, m.CommitBatched(t.Context(), p)) })
		}
		wg.Wait()
		other := newManager(shared)
		must.NoError(t, other.Refresh(t.Context()))
		must.EqOp(t, m.Slot(5), other.Slot(5))
		must.EqOp(t, 1, other.Slot(5).Term)
		time.Sleep(time.Second)
	})
}

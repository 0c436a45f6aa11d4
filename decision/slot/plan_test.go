package slot

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func members(n int) []MemberStatus {
	out := make([]MemberStatus, n)
	for i := range out {
		out[i] = MemberStatus{Member: Member{ID: fmt.Sprint("vm", i), Incarnation: 1, Zone: fmt.Sprint("z", i%3)}}
	}
	return out
}

func snapshot(self MemberStatus, all []MemberStatus, slots []Assignment) Snapshot {
	return Snapshot{
		Self: self.Member, Members: all, Slots: slots, Rebalance: true,
		IsSealed: func(int) bool { return false }, IsStable: func(int) bool { return true },
	}
}

// settle applies every daemon's moves to fresh slots until nobody moves.
func settle(t *testing.T, all []MemberStatus, slots []Assignment) []Assignment {
	slots = append([]Assignment(nil), slots...)
	for range 5 {
		moved := 0
		for _, self := range all {
			if self.Leaving {
				continue
			}
			for _, m := range Plan(snapshot(self, all, slots)) {
				slots[m.From.Slot] = Assignment{Slot: m.From.Slot, Term: m.From.Term + 1, Owner: self.Member, Witness: m.Witness}
				moved++
			}
		}
		if moved == 0 {
			return slots
		}
	}
	t.Fatal("slots never settle")
	return nil
}

func fresh() []Assignment {
	slots := make([]Assignment, Count)
	for i := range slots {
		slots[i].Slot = i
	}
	return slots
}

func TestEverySlotSettlesOnAPairInTwoZones(t *testing.T) {
	all := members(7)
	owned := map[string]int{}
	for _, a := range settle(t, all, fresh()) {
		must.NotEqOp(t, a.Owner.Zone, a.Witness.Zone)
		owned[a.Owner.ID]++
	}
	for _, m := range all {
		must.Between(t, Count/7/2, owned[m.ID], Count/7*2)
	}
}

func TestLossMovesOnlySlotsOfTheLostMember(t *testing.T) {
	// One entry VM dies. Slots it had nothing to do with stay where they are,
	// or their calls would stall for nothing.
	all := members(7)
	before := settle(t, all, fresh())
	s := snapshot(all[0], all[:6], before)
	s.Rebalance = false
	for _, self := range all[:6] {
		s.Self = self.Member
		for _, m := range Plan(s) {
			must.True(t, m.From.Includes(all[6].Member))
			must.NotEqOp(t, all[6].ID, m.Witness.ID)
		}
	}
	for _, a := range settle(t, all[:6], before) {
		must.False(t, a.Includes(all[6].Member))
	}
}

func TestEachRepairFallsToExactlyOneDaemon(t *testing.T) {
	// Two entry VMs die at once; every slot of theirs is repaired by one daemon.
	all := members(7)
	before := settle(t, all, fresh())
	alive := all[2:]
	by := map[int]string{}
	for _, self := range alive {
		s := snapshot(self, alive, before)
		s.Rebalance = false
		for _, m := range Plan(s) {
			must.MapNotContainsKey(t, by, m.From.Slot)
			by[m.From.Slot] = self.ID
		}
	}
	for _, a := range before {
		if a.Includes(all[0].Member) || a.Includes(all[1].Member) {
			must.MapContainsKey(t, by, a.Slot)
		}
	}
}

func TestLeavingMemberGivesUpEverySlotAndTakesNone(t *testing.T) {
	all := members(6)
	before := settle(t, all, fresh())
	all[3].Leaving = true
	s := snapshot(all[3], all, before)
	s.Leaving = true
	must.SliceEmpty(t, Plan(s))
	for _, a := range settle(t, all, before) {
		must.False(t, a.Includes(all[3].Member))
	}
}

func TestRestartedProcessIsAnotherMember(t *testing.T) {
	// A VM restarts its daemon between two looks of the others. Its new process
	// has none of the keys, so the slot counts as having lost it.
	all := members(3)
	slots := settle(t, all, fresh())
	all[1].Incarnation++
	for _, a := range settle(t, all, slots) {
		must.True(t, a.Owner.Incarnation == all[1].Incarnation || a.Owner.ID != all[1].ID)
	}
}

func TestRepairsComeBeforeRebalancing(t *testing.T) {
	all := members(6)
	before := settle(t, all[1:], fresh())
	s := snapshot(all[0], all, before)
	s.Slots = append([]Assignment(nil), before...)
	for i := range 10 {
		s.Slots[i] = Assignment{Slot: i, Term: 1, Owner: all[0].Member}
	}
	for _, m := range Plan(s)[:10] {
		must.EqOp(t, WitnessLost, m.Reason)
	}
}

func TestKeysOfDifferentCallersDiffer(t *testing.T) {
	must.NotEqOp(t, KeyOf("ab", "c", "k"), KeyOf("a", "bc", "k"))
	must.NotEqOp(t, KeyOf("a", "c", "k"), KeyOf("b", "c", "k"))
	must.EqOp(t, KeyOf("a", "c", "k"), KeyOf("a", "c", "k"))
}

func BenchmarkPlan(b *testing.B) {
	all := members(390)
	slots := make([]Assignment, Count)
	r := newRanker(nil)
	for _, m := range all {
		r.members = append(r.members, m.Member)
	}
	r = newRanker(r.members)
	for i := range slots {
		o := r.owner(i)
		slots[i] = Assignment{Slot: i, Term: 1, Owner: o, Witness: r.witness(i, o, nil)}
	}
	for _, rebalance := range []bool{false, true} {
		b.Run(fmt.Sprint("rebalance=", rebalance), func(b *testing.B) {
			s := snapshot(all[0], all, slots)
			s.Rebalance = rebalance
			for b.Loop() {
				if len(Plan(s)) != 0 {
					b.Fatal("settled slots move")
				}
			}
		})
	}
}

package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/slot"
	pb "mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// maintenanceInterval is the average time between two checks of the slots. The wait for the
	// next check adds at most 1.25 times this to the time that membership takes to detect a
	// death.
	maintenanceInterval = 200 * time.Millisecond
	// maxMovesPerRound bounds the slots moved by one write to the store, and thereby how long
	// the first of them stays sealed.
	maxMovesPerRound = 128
	// sealGrace gives a daemon that sealed a slot the time to take it before the slot's owner
	// starts the next term itself.
	sealGrace = 3 * time.Second
	// stableAfter is how long a slot's assignment must be unchanged before the slot is
	// rebalanced. Otherwise daemons with different views of the members could pass a slot back
	// and forth.
	stableAfter = 30 * time.Second
	// transferTimeout bounds one transfer of keys and one read of the platform's VM list.
	transferTimeout = 2 * time.Second
	commitTimeout   = 5 * time.Second
	// rebalanceDelayAfterFailure keeps rebalancing, which is not urgent, from sealing slots
	// while the store does not accept writes.
	rebalanceDelayAfterFailure = 30 * time.Second
	// ticksPerSweep is the number of ticks in which the expired keys of every slot are removed.
	ticksPerSweep     = 16
	rebalanceInterval = 2 * time.Second
	leavePollInterval = 200 * time.Millisecond
)

// Run repairs and rebalances slots until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var lastFailure, lastRebalance time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(maintenanceInterval*3/4 + rand.N(maintenanceInterval/2)):
		}
		now := time.Now()
		s.cleanUp(now)
		s.broadcastRefusals()
		s.deathProofs.refreshVMList(ctx, s.VMs, now)
		rebalance := now.Sub(lastFailure) > rebalanceDelayAfterFailure && now.Sub(lastRebalance) > rebalanceInterval
		if rebalance {
			lastRebalance = now
		}
		if err := s.repair(ctx, rebalance); err != nil {
			lastFailure = time.Now()
		}
	}
}

// repair carries out the moves for which this daemon is responsible.
func (s *Service) repair(ctx context.Context, rebalance bool) error {
	if !rebalance && s.idleInputs == s.planInputs() {
		return nil
	}
	if _, known := s.Roster.All(); known {
		moves := s.planMoves(rebalance)
		if len(moves) == 0 {
			s.idleInputs = s.planInputs()
		}
		if len(s.backoff.due(moves, maxMovesPerRound, time.Now())) == 0 {
			return nil
		}
	}
	// Plan on the store's current state. This also keeps a daemon from sealing slots while it
	// can't reach the store, since those slots keep serving without the store.
	if err := s.Roster.Refresh(ctx); err != nil {
		return err
	}
	ready := s.prepare(ctx, s.backoff.due(s.planMoves(rebalance), maxMovesPerRound, time.Now()))
	if len(ready) == 0 {
		return nil
	}
	return s.commit(ctx, ready)
}

// planInputs holds what a plan without rebalancing depends on. While it equals the inputs of
// the last empty plan, there is nothing to do.
type planInputs struct {
	slots               *slot.Assignment
	view                *membership.View
	unresponsiveChanges int
	stuckSlots          int
}

func (s *Service) planInputs() planInputs {
	slots, _ := s.Roster.All()
	_, changes := s.unresponsive.ids(time.Now())
	return planInputs{slots: &slots[0], view: s.Members.Current(), unresponsiveChanges: changes, stuckSlots: s.history.stuckCount}
}

func (s *Service) planMoves(rebalance bool) []slot.Move {
	view := s.Members.Current()
	members := make([]slot.MemberStatus, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, slot.MemberStatus{Member: toMember(m), Leaving: m.State == membership.Leaving})
	}
	slots, known := s.Roster.All()
	if !known {
		return nil
	}
	avoid, _ := s.unresponsive.ids(time.Now())
	return slot.Plan(slot.Snapshot{
		Self: s.self, Leaving: s.leaving.Load() || view.Self.State == membership.Leaving,
		Members: members, Slots: slots, AvoidWitnesses: avoid,
		Rebalance: rebalance,
		IsSealed:  func(i int) bool { return s.history.isStuck(i) },
		IsStable:  func(i int) bool { return s.history.isStable(i) },
	})
}

func toMember(m membership.Member) slot.Member {
	return slot.Member{ID: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, PeerAddr: m.PeerAddr}
}

// peers returns the other members.
func (s *Service) peers() []slot.Member {
	var out []slot.Member
	for _, m := range s.Members.Current().Members {
		if m.ID != s.self.ID {
			out = append(out, toMember(m))
		}
	}
	return out
}

// commit proposes the new assignments to the store and announces those that were accepted.
func (s *Service) commit(ctx context.Context, ready []*slotChange) error {
	proposals := make([]slot.Assignment, len(ready))
	bySlot := make(map[int]*slotChange, len(ready))
	for i, c := range ready {
		proposals[i], bySlot[c.next.Slot] = c.next, c
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	won, err := s.propose(ctx, proposals)
	taken := make([]*slotChange, len(won))
	for i, a := range won {
		c := bySlot[a.Slot]
		taken[i] = c
		s.metrics.countMove(c.move.Reason, "taken")
		s.backoff.reset(c.next.Slot)
		s.Log.Emit(event.SlotTaken, a.Slot, a.Term, a.Witness.ID, c.move.Reason.String(), s.tables[a.Slot].keyCount())
	}
	s.background(func() { s.announce(taken) })
	return err
}

// announce sends new assignments to the previous owners and witnesses, so that they redirect
// callers, and to the new witnesses.
func (s *Service) announce(taken []*slotChange) {
	ctx, cancel := context.WithTimeout(context.Background(), rpcTimeout)
	defer cancel()
	byMember := make(map[slot.Member][]*pb.SlotAssignment)
	for _, c := range taken {
		for _, m := range []slot.Member{c.move.From.Owner, c.move.From.Witness, c.next.Witness} {
			byMember[m] = append(byMember[m], assignmentToWire(c.next))
		}
	}
	var wg sync.WaitGroup
	for m, assignments := range byMember {
		if !m.IsNone() && !m.IsSameProcess(s.self) {
			wg.Go(func() { _, _ = s.client(m).Learn(ctx, &pb.SlotAssignments{Assignments: assignments}) })
		}
	}
	wg.Wait()
}

// markWitnessUnresponsive has a witness replaced that does not answer or keeps refusing, if
// term is still the slot's term.
func (s *Service) markWitnessUnresponsive(i int, term uint64) {
	a := s.Roster.Slot(i)
	if a.Term != term {
		return
	}
	if s.unresponsive.add(a.Witness.ID, time.Now()) {
		s.Log.Emit(event.WitnessSilent, i, term, a.Witness.ID)
	}
}

// cleanUp removes tables of slots that other daemons hold now, and expired keys.
func (s *Service) cleanUp(now time.Time) {
	slots, _ := s.Roster.All()
	owned, keys, stuck := 0, 0, 0
	for i, a := range slots {
		own := a.Owner.IsSameProcess(s.self)
		s.history.observe(i, a.Term, !own || s.tables[i].isServing(a.Term), now)
		if own {
			owned++
		}
		if s.history.isStuck(i) {
			stuck++
		}
		if a.Term > 0 && !a.Includes(s.self) {
			s.tables[i].dropUpTo(a.Term)
		}
	}
	s.history.stuckCount = stuck
	limits := s.limits()
	for n := range slot.Count / ticksPerSweep {
		i := (s.nextSweep + n) % slot.Count
		s.keyCounts[i] = s.tables[i].sweep(now, limits.KeyTTL-limits.AnswerTTL)
	}
	s.nextSweep = (s.nextSweep + slot.Count/ticksPerSweep) % slot.Count
	for _, n := range s.keyCounts {
		keys += n
	}
	s.metrics.setSizes(owned, keys)
}

// Leave waits until this daemon is no slot's owner or witness and no call it dispatched is
// running, or until ctx ends. If there are no other members, it only waits for the calls.
// Membership must show the daemon as leaving, so that others take its slots. Run must keep
// running in the meantime.
func (s *Service) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	for {
		_ = s.Roster.Refresh(ctx)
		if s.inFlightCount.Load() == 0 && (s.heldSlots() == 0 || len(s.peers()) == 0) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "still leaving with %d slots held and %d calls in flight", s.heldSlots(), s.inFlightCount.Load())
		case <-time.After(leavePollInterval):
		}
	}
}

// heldSlots counts the slots of which this daemon is owner or witness.
func (s *Service) heldSlots() int {
	n := 0
	for i := range s.tables {
		if s.Roster.Slot(i).Includes(s.self) {
			n++
		}
	}
	return n
}

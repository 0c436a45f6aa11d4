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
	// tick is how often a daemon looks at its slots. Repair adds at most this
	// to the time that membership takes to notice a death.
	tick = 200 * time.Millisecond
	// batch bounds the slots moved by one write to the store, and with it how
	// long the first of them stands sealed.
	batch = 128
	// sealGrace leaves whoever sealed a slot the time to take it before its
	// owner starts the next term itself.
	sealGrace = 3 * time.Second
	// calmBefore is how long a slot stays put before it is rebalanced. Daemons
	// that see the members differently could pass it back and forth otherwise.
	calmBefore = 30 * time.Second
	// transferTimeout bounds one transfer of a slot's keys.
	transferTimeout = 2 * time.Second
	commitTimeout   = 5 * time.Second
	// calmAfterTrouble keeps rebalancing, which can wait, from sealing slots
	// while the store does not take writes.
	calmAfterTrouble = 30 * time.Second
	// sweepRounds ticks go by until expired keys of every slot are removed.
	sweepRounds    = 16
	rebalanceEvery = 2 * time.Second
	leavePoll      = 200 * time.Millisecond
)

// Run repairs and rebalances slots until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var trouble, balanced time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(tick*3/4 + rand.N(tick/2)):
		}
		now := time.Now()
		s.tidy(now)
		s.spread()
		s.deaths.observe(ctx, s.VMs, now)
		rebalance := now.Sub(trouble) > calmAfterTrouble && now.Sub(balanced) > rebalanceEvery
		if rebalance {
			balanced = now
		}
		if err := s.repair(ctx, rebalance); err != nil {
			trouble = time.Now()
		}
	}
}

// repair makes the moves that fall to this daemon.
func (s *Service) repair(ctx context.Context, rebalance bool) error {
	if !rebalance && s.idle == s.situation() {
		return nil
	}
	if _, known := s.Roster.All(); known {
		moves := s.plan(rebalance)
		if len(moves) == 0 {
			s.idle = s.situation()
		}
		if len(s.postponed.due(moves, batch, time.Now())) == 0 {
			return nil
		}
	}
	// Plan on what the store says now. This also keeps a daemon from sealing
	// slots, which go on without the store, while it can't be reached.
	if err := s.Roster.Refresh(ctx); err != nil {
		return err
	}
	ready := s.prepare(ctx, s.postponed.due(s.plan(rebalance), batch, time.Now()))
	if len(ready) == 0 {
		return nil
	}
	return s.commit(ctx, ready)
}

// situation is what a plan without rebalancing depends on. While it stays the
// same as when nothing was to do, nothing is to do.
type situation struct {
	slots  *slot.Assignment
	view   *membership.View
	silent int
	stuck  int
}

func (s *Service) situation() situation {
	slots, _ := s.Roster.All()
	_, changes := s.silent.ids(time.Now())
	return situation{slots: &slots[0], view: s.Members.Current(), silent: changes, stuck: s.history.stuckOwned}
}

func (s *Service) plan(rebalance bool) []slot.Move {
	view := s.Members.Current()
	peers := make([]slot.MemberStatus, 0, len(view.Members))
	for _, m := range view.Members {
		peers = append(peers, slot.MemberStatus{Member: toMember(m), Leaving: m.State == membership.Leaving})
	}
	slots, known := s.Roster.All()
	if !known {
		return nil
	}
	avoid, _ := s.silent.ids(time.Now())
	return slot.Plan(slot.Snapshot{
		Self: s.self, Leaving: s.leaving.Load() || view.Self.State == membership.Leaving,
		Members: peers, Slots: slots, AvoidWitnesses: avoid,
		Rebalance: rebalance,
		IsSealed:  func(i int) bool { return s.history.stuck(i) },
		IsStable:  func(i int) bool { return s.history.calm(i) },
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

// commit asks the store's consent and tells the old pairs of their successors.
func (s *Service) commit(ctx context.Context, ready []*change) error {
	proposals := make([]slot.Assignment, len(ready))
	by := make(map[int]*change, len(ready))
	for i, c := range ready {
		proposals[i], by[c.next.Slot] = c.next, c
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	won, err := s.propose(ctx, proposals)
	taken := make([]*change, len(won))
	for i, a := range won {
		c := by[a.Slot]
		taken[i] = c
		s.metrics.moved(c.move.Reason, "taken")
		s.postponed.forget(c.next.Slot)
		s.Log.Emit(event.SlotTaken, a.Slot, a.Term, a.Witness.ID, c.move.Reason.String(), s.tables[a.Slot].size())
	}
	s.background(func() { s.tell(taken) })
	return err
}

// tell passes new assignments to the pairs before them, so that they send
// callers on, and to the new witnesses.
func (s *Service) tell(taken []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), sliceGrace)
	defer cancel()
	news := make(map[slot.Member][]*pb.SlotAssignment)
	for _, c := range taken {
		for _, m := range []slot.Member{c.move.From.Owner, c.move.From.Witness, c.next.Witness} {
			news[m] = append(news[m], assignmentToWire(c.next))
		}
	}
	var wg sync.WaitGroup
	for m, assignments := range news {
		if !m.IsNone() && !m.IsSameProcess(s.self) {
			wg.Go(func() { _, _ = s.client(m).Learn(ctx, &pb.SlotAssignments{Assignments: assignments}) })
		}
	}
	wg.Wait()
}

// witnessSilent has a witness that did not answer replaced.
func (s *Service) witnessSilent(i int, term uint64) {
	a := s.Roster.Slot(i)
	if a.Term != term {
		return
	}
	if s.silent.add(a.Witness.ID, time.Now()) {
		s.Log.Emit(event.WitnessSilent, i, term, a.Witness.ID)
	}
}

// tidy drops tables that belong to others now, and expired keys.
func (s *Service) tidy(now time.Time) {
	slots, _ := s.Roster.All()
	owned, keys, stuck := 0, 0, 0
	for i, a := range slots {
		own := a.Owner.IsSameProcess(s.self)
		s.history.observe(i, a.Term, !own || s.tables[i].active(a.Term), now)
		if own {
			owned++
		}
		if s.history.stuck(i) {
			stuck++
		}
		if a.Term > 0 && !a.Includes(s.self) {
			s.tables[i].drop(a.Term)
		}
	}
	s.history.stuckOwned = stuck
	limits := s.limits()
	for n := range slot.Count / sweepRounds {
		i := (s.swept + n) % slot.Count
		s.counts[i] = s.tables[i].sweep(now, limits.KeyTTL-limits.AnswerTTL)
	}
	s.swept = (s.swept + slot.Count/sweepRounds) % slot.Count
	for _, n := range s.counts {
		keys += n
	}
	s.metrics.size(owned, keys)
}

// Leave waits until no slot needs this daemon and no call it dispatched is
// still running, or until ctx ends. Membership must show the daemon as leaving,
// so that others take its slots; Run must go on meanwhile.
func (s *Service) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	for {
		_ = s.Roster.Refresh(ctx)
		if s.working.Load() == 0 && (s.holds() == 0 || len(s.peers()) == 0) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "leaving with %d slots and %d calls", s.holds(), s.working.Load())
		case <-time.After(leavePoll):
		}
	}
}

// holds counts the slots whose pair includes this daemon.
func (s *Service) holds() int {
	n := 0
	for i := range s.tables {
		if s.Roster.Slot(i).Includes(s.self) {
			n++
		}
	}
	return n
}

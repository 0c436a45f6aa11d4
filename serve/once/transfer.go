package once

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"mallowwind.dev/decision/slot"
	pb "mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

var (
	errNoSource         = errors.New("neither the owner nor the witness returned the slot's keys")
	errConcurrentChange = errors.New("another change of the slot is in progress at this daemon")
	errWitnessRefused   = errors.New("the witness refused the slot's keys")
)

// slotChange is the transfer of one slot to this daemon.
type slotChange struct {
	move     slot.Move
	next     slot.Assignment
	gathered bool // this daemon's table is complete for the next term
	err      error
}

func (c *slotChange) needsKeys() bool { return c.err == nil && !c.gathered }

// prepare ends the old terms of slots, copies their keys to this daemon and installs them at
// the new witnesses. It returns the changes that only need to be accepted by the store.
func (s *Service) prepare(ctx context.Context, moves []slot.Move) []*slotChange {
	changes := make([]*slotChange, len(moves))
	id := uuid.NewString()
	for i, m := range moves {
		changes[i] = &slotChange{move: m, next: slot.Assignment{
			Slot: m.From.Slot, Term: m.From.Term + 1,
			Owner: s.self, Witness: m.Witness, ChangeID: id,
		}}
	}
	s.gatherKeys(ctx, changes)
	s.installAll(ctx, changes)
	var ready []*slotChange
	for _, c := range changes {
		if c.err == nil {
			ready = append(ready, c)
			continue
		}
		s.metrics.countMove(c.move.Reason, "failed")
		if !s.backoff.recordFailure(c.move, time.Now()) {
			continue
		}
		s.Log.Emit(event.SlotTakeFailed, c.next.Slot, c.next.Term, c.move.Reason.String(), c.err.Error())
	}
	return ready
}

// gatherKeys makes this daemon's tables complete for the next terms: from its own table, else
// from the member of the old pair that seems alive, else from the other one, else, if neither
// can bind keys any more, as empty tables.
func (s *Service) gatherKeys(ctx context.Context, changes []*slotChange) {
	for _, c := range changes {
		s.gatherLocal(c)
	}
	s.gatherRemote(ctx, changes, s.preferredSource)
	s.gatherRemote(ctx, changes, func(a slot.Assignment) slot.Member {
		if s.preferredSource(a).IsSameProcess(a.Owner) {
			return a.Witness
		}
		return a.Owner
	})
	for _, c := range changes {
		if c.needsKeys() {
			s.startEmpty(c)
		}
	}
}

func (s *Service) preferredSource(a slot.Assignment) slot.Member {
	if s.isAlive(a.Owner) || !s.isAlive(a.Witness) {
		return a.Owner
	}
	return a.Witness
}

// gatherLocal uses this daemon's own table if the slot was never assigned or this daemon is one
// of its pair.
func (s *Service) gatherLocal(c *slotChange) {
	t, from := &s.tables[c.next.Slot], c.move.From
	if from.Term > 0 {
		if !from.Includes(s.self) {
			return
		}
		if complete, _, _ := t.seal(from.Term); !complete {
			return
		}
	}
	c.setGathered(t.advanceTerm(c.next.Term))
}

func (c *slotChange) setGathered(ok bool) {
	c.gathered = ok
	if !ok {
		c.err = errConcurrentChange
	}
}

// gatherRemote seals slots at the members that pick returns and copies their keys.
func (s *Service) gatherRemote(ctx context.Context, changes []*slotChange, pick func(slot.Assignment) slot.Member) {
	s.forEachMember(changes, (*slotChange).needsKeys, func(c *slotChange) slot.Member { return pick(c.move.From) },
		func(from slot.Member, group []*slotChange) { s.fetchKeys(ctx, from, group) })
}

// forEachMember groups the changes that satisfy when by the member that pick returns, and calls
// f concurrently for each member other than this daemon.
func (s *Service) forEachMember(changes []*slotChange, when func(*slotChange) bool, pick func(*slotChange) slot.Member, f func(slot.Member, []*slotChange)) {
	groups := make(map[slot.Member][]*slotChange)
	for _, c := range changes {
		if m := pick(c); when(c) && !m.IsNone() && !m.IsSameProcess(s.self) {
			groups[m] = append(groups[m], c)
		}
	}
	var wg sync.WaitGroup
	for m, group := range groups {
		wg.Go(func() { f(m, group) })
	}
	wg.Wait()
}

// fetchKeys seals a group of slots at one member and installs their keys here. Slots of which
// the member does not hold all keys are left for the next source.
func (s *Service) fetchKeys(ctx context.Context, from slot.Member, group []*slotChange) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	w := &pb.SealRequest{}
	for _, c := range group {
		w.Slots = append(w.Slots, &pb.SlotTerm{Slot: uint32(c.next.Slot), Term: c.move.From.Term})
	}
	reply, err := s.client(from).Seal(ctx, w)
	if err != nil || len(reply.GetSlots()) != len(group) {
		s.Dialer.CloseIdleConnections()
		return
	}
	now := time.Now()
	for i, sealed := range reply.GetSlots() {
		records, ok := recordsFromWire(sealed.GetRecords(), now)
		if !ok || !sealed.GetComplete() {
			continue
		}
		c := group[i]
		undecidedUntil := now.Add(time.Duration(sealed.GetUndecidedMs()) * time.Millisecond)
		c.setGathered(s.tables[c.next.Slot].install(c.next.Term, records, undecidedUntil))
	}
}

// startEmpty starts a slot whose history is lost without keys, if it is certain that the old
// pair can't bind keys any more. Any key may be among those that the pair had bound, so unknown
// keys are not dispatched until the retention of the last one has passed.
func (s *Service) startEmpty(c *slotChange) {
	if !s.deathProofs.hasDeadMember(s.Members.Current(), c.move.From) {
		c.err = errNoSource
		return
	}
	ttl := s.limits().KeyTTL
	s.Log.Emit(event.SlotHistoryLost, c.next.Slot, c.next.Term, ttl.String())
	c.setGathered(s.tables[c.next.Slot].install(c.next.Term, nil, time.Now().Add(ttl)))
}

// installAll gives the slots' keys to the new witnesses.
func (s *Service) installAll(ctx context.Context, changes []*slotChange) {
	s.forEachMember(changes, func(c *slotChange) bool { return c.gathered }, func(c *slotChange) slot.Member { return c.next.Witness },
		func(witness slot.Member, group []*slotChange) { s.installAt(ctx, witness, group) })
}

func (s *Service) installAt(ctx context.Context, witness slot.Member, group []*slotChange) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	now := time.Now()
	w := &pb.InstallRequest{}
	for _, c := range group {
		records, undecidedUntil := s.tables[c.next.Slot].snapshot()
		w.Slots = append(w.Slots, &pb.SlotInstall{
			Slot: uint32(c.next.Slot), Term: c.next.Term,
			Records: recordsToWire(records, now), UndecidedMs: max(undecidedUntil.Sub(now), 0).Milliseconds(),
		})
	}
	reply, err := s.client(witness).Install(ctx, w)
	if err == nil && len(reply.GetAccepted()) != len(group) {
		err = errWitnessRefused
	}
	if err != nil {
		s.Dialer.CloseIdleConnections()
		s.unresponsive.add(witness.ID, now)
	} else {
		s.unresponsive.clear(witness.ID)
	}
	for i, c := range group {
		switch {
		case err != nil:
			c.err = errors.Wrap(err, "installing the slot's keys at the witness")
		case !reply.GetAccepted()[i]:
			// The witness already serves this term for another daemon, or a later term.
			s.unresponsive.add(witness.ID, now)
			c.err = errWitnessRefused
		}
	}
}

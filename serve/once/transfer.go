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
	errNoSource = errors.New("neither of the slot's pair gave its keys")
	errRace     = errors.New("another change of the slot is under way here")
	errRefused  = errors.New("the witness refused the slot")
)

// change is one slot on its way to this daemon.
type change struct {
	move     slot.Move
	next     slot.Assignment
	gathered bool // this daemon's table is complete for the next term
	err      error
}

func (c *change) open() bool { return c.err == nil && !c.gathered }

// prepare ends the old terms of slots, brings their keys here and gives them to
// the new witnesses. It returns the changes for which only the store's consent
// is missing.
func (s *Service) prepare(ctx context.Context, moves []slot.Move) []*change {
	changes := make([]*change, len(moves))
	id := uuid.NewString()
	for i, m := range moves {
		changes[i] = &change{move: m, next: slot.Assignment{
			Slot: m.From.Slot, Term: m.From.Term + 1,
			Owner: s.self, Witness: m.Witness, ChangeID: id,
		}}
	}
	s.gather(ctx, changes)
	s.installAll(ctx, changes)
	var ready []*change
	for _, c := range changes {
		if c.err == nil {
			ready = append(ready, c)
			continue
		}
		s.metrics.moved(c.move.Reason, "failed")
		if !s.postponed.add(c.move, time.Now()) {
			continue
		}
		s.Log.Emit(event.SlotTakeFailed, c.next.Slot, c.next.Term, c.move.Reason.String(), c.err.Error())
	}
	return ready
}

// gather makes this daemon's tables complete for the next terms: from what is
// here, else from the member of the old pair that seems alive, else from the
// other, else, when neither can bind keys any more, as tables without history.
func (s *Service) gather(ctx context.Context, changes []*change) {
	for _, c := range changes {
		s.gatherHere(c)
	}
	s.gatherFrom(ctx, changes, s.likelySource)
	s.gatherFrom(ctx, changes, func(a slot.Assignment) slot.Member {
		if s.likelySource(a).IsSameProcess(a.Owner) {
			return a.Witness
		}
		return a.Owner
	})
	for _, c := range changes {
		if c.open() {
			s.startOver(c)
		}
	}
}

func (s *Service) likelySource(a slot.Assignment) slot.Member {
	if s.alive(a.Owner) || !s.alive(a.Witness) {
		return a.Owner
	}
	return a.Witness
}

// gatherHere uses the table of this daemon if it is fresh or one of the pair.
func (s *Service) gatherHere(c *change) {
	t, from := &s.tables[c.next.Slot], c.move.From
	if from.Term > 0 {
		if !from.Includes(s.self) {
			return
		}
		if complete, _, _ := t.seal(from.Term); !complete {
			return
		}
	}
	c.done(t.advance(c.next.Term))
}

func (c *change) done(ok bool) {
	c.gathered = ok
	if !ok {
		c.err = errRace
	}
}

// gatherFrom seals slots at the members that pick names and copies their keys.
func (s *Service) gatherFrom(ctx context.Context, changes []*change, pick func(slot.Assignment) slot.Member) {
	s.each(changes, (*change).open, func(c *change) slot.Member { return pick(c.move.From) },
		func(from slot.Member, group []*change) { s.fetch(ctx, from, group) })
}

// each calls f at once for every other member that pick names, with its changes.
func (s *Service) each(changes []*change, when func(*change) bool, pick func(*change) slot.Member, f func(slot.Member, []*change)) {
	groups := make(map[slot.Member][]*change)
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

// fetch seals a group of slots at one member and installs its keys here. What
// the member does not hold whole stays open.
func (s *Service) fetch(ctx context.Context, from slot.Member, group []*change) {
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
		undecided := now.Add(time.Duration(sealed.GetUndecidedMs()) * time.Millisecond)
		c.done(s.tables[c.next.Slot].install(c.next.Term, records, undecided))
	}
}

// startOver begins a slot whose history is lost, if that is certain. Neither of
// the pair can bind keys any more then, but any key may be among those they
// bound, so none is dispatched until the retention of the last is over.
func (s *Service) startOver(c *change) {
	if !s.deaths.ended(s.Members.Current(), c.move.From) {
		c.err = errNoSource
		return
	}
	ttl := s.limits().KeyTTL
	s.Log.Emit(event.SlotHistoryLost, c.next.Slot, c.next.Term, ttl.String())
	c.done(s.tables[c.next.Slot].install(c.next.Term, nil, time.Now().Add(ttl)))
}

// installAll gives the new witnesses the slots' keys.
func (s *Service) installAll(ctx context.Context, changes []*change) {
	s.each(changes, func(c *change) bool { return c.gathered }, func(c *change) slot.Member { return c.next.Witness },
		func(witness slot.Member, group []*change) { s.install(ctx, witness, group) })
}

func (s *Service) install(ctx context.Context, witness slot.Member, group []*change) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	now := time.Now()
	w := &pb.InstallRequest{}
	for _, c := range group {
		records, undecided := s.tables[c.next.Slot].all()
		w.Slots = append(w.Slots, &pb.SlotInstall{
			Slot: uint32(c.next.Slot), Term: c.next.Term,
			Records: recordsToWire(records, now), UndecidedMs: max(undecided.Sub(now), 0).Milliseconds(),
		})
	}
	reply, err := s.client(witness).Install(ctx, w)
	if err == nil && len(reply.GetAccepted()) != len(group) {
		err = errRefused
	}
	if err != nil {
		s.Dialer.CloseIdleConnections()
		s.silent.add(witness.ID, now)
	} else {
		s.silent.clear(witness.ID)
	}
	for i, c := range group {
		switch {
		case err != nil:
			c.err = errors.Wrap(err, "installing at the witness")
		case !reply.GetAccepted()[i]:
			// It serves this term for another daemon already, or a later one.
			s.silent.add(witness.ID, now)
			c.err = errRefused
		}
	}
}

package once

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
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
	rebalanceEvery   = 2 * time.Second
	leavePoll        = 200 * time.Millisecond
)

var errNoSource = errors.New("neither of the slot's pair gave its keys")

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
	if _, known := s.Roster.All(); known && len(s.plan(rebalance)) == 0 {
		return nil
	}
	// Plan on what the store says now. This also keeps a daemon from sealing
	// slots, which go on without the store, while it can't be reached.
	if err := s.Roster.Refresh(ctx); err != nil {
		return err
	}
	moves := s.plan(rebalance)
	var proposals []slot.Assignment
	reasons := make(map[int]slot.Reason, len(moves))
	for _, m := range moves {
		a, err := s.prepare(ctx, m)
		if err != nil {
			s.metrics.moved(m.Reason, "failed")
			s.Log.Emit(event.SlotTakeFailed, m.From.Slot, m.From.Term+1, m.Reason.String(), err.Error())
			continue
		}
		proposals = append(proposals, a)
		reasons[a.Slot] = m.Reason
	}
	if len(proposals) == 0 {
		return nil
	}
	return s.commit(ctx, proposals, reasons)
}

func (s *Service) plan(rebalance bool) []slot.Move {
	view := s.Members.Current()
	peers := make([]slot.Peer, 0, len(view.Members))
	for _, m := range view.Members {
		peers = append(peers, slot.Peer{Member: toMember(m), Leaving: m.State == membership.Leaving})
	}
	slots, known := s.Roster.All()
	if !known {
		return nil
	}
	return slot.Plan(slot.Snapshot{
		Self: s.self, Leaving: s.leaving.Load() || view.Self.State == membership.Leaving,
		Members: peers, Slots: slots, Avoid: s.silent.ids(time.Now()),
		Rebalance: rebalance,
		Sealed:    func(i int) bool { return s.history.stuck(i) },
		Calm:      func(i int) bool { return s.history.calm(i) },
	}, batch)
}

func toMember(m membership.Member) slot.Member {
	return slot.Member{ID: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, Peer: m.Peer}
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

// prepare ends the old term of a slot, brings its keys here and gives them to
// the new witness. Afterwards only the store's consent is missing.
func (s *Service) prepare(ctx context.Context, m slot.Move) (slot.Assignment, error) {
	a := slot.Assignment{
		Slot: m.From.Slot, Term: m.From.Term + 1,
		Owner: s.self, Witness: m.Witness, Change: uuid.NewString(),
	}
	if err := s.gather(ctx, m, a); err != nil {
		return a, err
	}
	if a.Witness.None() {
		return a, nil
	}
	if err := s.install(ctx, a); err != nil {
		s.silent.add(a.Witness.ID, time.Now())
		return a, err
	}
	return a, nil
}

// gather makes this daemon's table complete for the term of a.
func (s *Service) gather(ctx context.Context, m slot.Move, a slot.Assignment) error {
	t := &s.tables[a.Slot]
	if m.From.Term == 0 {
		return refusedUnless(t.advance(a.Term, a.Change))
	}
	if m.From.Has(s.self) {
		if complete, _, _ := t.seal(m.From.Term); complete {
			return refusedUnless(t.advance(a.Term, a.Change))
		}
	}
	for _, source := range []slot.Member{m.From.Owner, m.From.Witness} {
		if source.None() || source.Same(s.self) {
			continue
		}
		records, undecided, err := s.fetch(ctx, source, m.From)
		if err == nil {
			return refusedUnless(t.install(a.Term, a.Change, records, undecided))
		}
	}
	if !s.deaths.ended(s.Members.Current(), m.From) {
		return errNoSource
	}
	// Neither of the pair can bind keys any more, and what they bound is lost.
	// Every key may have been among it until the retention of the last is over.
	ttl := s.limits().KeyTTL
	s.Log.Emit(event.SlotHistoryLost, a.Slot, a.Term, ttl.String())
	return refusedUnless(t.install(a.Term, a.Change, nil, time.Now().Add(ttl)))
}

func refusedUnless(ok bool) error {
	if ok {
		return nil
	}
	return errors.New("another change of this slot is under way here")
}

// fetch seals a slot at a member of its pair and returns the member's keys.
func (s *Service) fetch(ctx context.Context, from slot.Member, a slot.Assignment) ([]record, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	w, err := s.client(from).Seal(ctx, &pb.SealRequest{Slot: uint32(a.Slot), Term: a.Term})
	if err != nil {
		s.Dialer.DropIdle()
		return nil, time.Time{}, errors.Wrap(err, "sealing")
	}
	now := time.Now()
	records, ok := recordsFromWire(w.GetRecords(), now)
	if !ok || !w.GetComplete() {
		return nil, time.Time{}, errNoSource
	}
	return records, now.Add(time.Duration(w.GetUndecidedMs()) * time.Millisecond), nil
}

// install gives the new witness the slot's keys.
func (s *Service) install(ctx context.Context, a slot.Assignment) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	records, undecided := s.tables[a.Slot].all()
	now := time.Now()
	w, err := s.client(a.Witness).Install(ctx, &pb.InstallRequest{
		Slot: uint32(a.Slot), Term: a.Term, Change: a.Change, Records: recordsToWire(records, now),
		UndecidedMs: max(undecided.Sub(now), 0).Milliseconds(),
	})
	if err != nil {
		s.Dialer.DropIdle()
		return errors.Wrap(err, "installing at the witness")
	}
	if !w.GetAccepted() {
		return errors.New("the witness refused the slot")
	}
	return nil
}

// commit asks the store's consent and tells the old pairs of their successors.
func (s *Service) commit(ctx context.Context, proposals []slot.Assignment, reasons map[int]slot.Reason) error {
	before := make(map[int]slot.Assignment, len(proposals))
	for _, p := range proposals {
		before[p.Slot] = s.Roster.Slot(p.Slot)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	won, err := s.Roster.Commit(ctx, proposals)
	for _, a := range won {
		s.metrics.moved(reasons[a.Slot], "taken")
		keys, _ := s.tables[a.Slot].all()
		s.Log.Emit(event.SlotTaken, a.Slot, a.Term, a.Witness.ID, reasons[a.Slot].String(), len(keys))
		s.background(func() { s.tell(before[a.Slot], a) })
	}
	return err
}

// tell passes a new assignment to the pair before it, so that they send callers on.
func (s *Service) tell(before, a slot.Assignment) {
	ctx, cancel := context.WithTimeout(context.Background(), sliceGrace)
	defer cancel()
	for _, m := range []slot.Member{before.Owner, before.Witness, a.Witness} {
		if !m.None() && !m.Same(s.self) {
			_, _ = s.client(m).Learn(ctx, assignmentToWire(a))
		}
	}
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
	limits := s.limits()
	owned, keys := 0, 0
	for i := range s.tables {
		t, a := &s.tables[i], s.Roster.Slot(i)
		s.history.observe(i, a.Term, t.active(a.Term), now)
		if a.Owner.Same(s.self) {
			owned++
		}
		if a.Term > 0 && !a.Has(s.self) {
			t.drop(a.Term)
		}
		keys += t.sweep(now, limits.KeyTTL-limits.AnswerTTL)
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
		if s.Roster.Slot(i).Has(s.self) {
			n++
		}
	}
	return n
}

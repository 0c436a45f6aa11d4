package once

import (
	"context"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// awaitPollInterval is how often a copy polls for the outcome of a call that another daemon
// dispatched before this one took the slot.
const awaitPollInterval = 25 * time.Millisecond

// execute handles one copy at the owner. The first copy of a key starts the call, which
// continues when ctx ends. All copies wait for its outcome until ctx ends.
func (s *Service) execute(ctx context.Context, e executeRequest) executeReply {
	a := s.Roster.Slot(e.slot)
	if !a.Owner.IsSameProcess(s.self) {
		return executeReply{outcome: outcome{moved: true}}
	}
	account, service := s.lookupService(e)
	if service == nil {
		return executeReply{outcome: outcome{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnknownService,
			"the owner of this key knows no such account and service yet").WithRetryAfter(defaultRetryAfter)}}
	}
	t := &s.tables[e.slot]
	c := &inFlightCall{slot: e.slot, key: e.key, req: e, done: make(chan struct{})}
	now := time.Now()
	r, result := t.claim(now, c, s.self, a.Term, s.limits().KeyTTL)
	switch result {
	case claimNew:
		s.background(func() { s.runAttempt(c, r, account, service) })
		return s.awaitOutcome(ctx, t, c.key)
	case claimKnown:
		return s.awaitOutcome(ctx, t, c.key)
	case claimStale:
		return executeReply{outcome: outcome{err: errStale()}}
	case claimKeyReused:
		return executeReply{outcome: outcome{err: errReused()}}
	case claimUndecided:
		return executeReply{outcome: outcome{err: errUndecided(
			"the entry VMs that knew this key's slot are lost", t.undecidedFor(now))}}
	case claimFull:
		return executeReply{outcome: outcome{err: errUndecided("no room for another key", defaultRetryAfter)}}
	default:
		return executeReply{outcome: outcome{moved: true}}
	}
}

// lookupService finds the account and the service of e in this daemon's current site text.
func (s *Service) lookupService(e executeRequest) (*site.Account, *site.Service) {
	current := s.Site.Current()
	if current == nil || current.Accounts[e.account] == nil {
		return nil, nil
	}
	return current.Accounts[e.account], current.Services[e.service]
}

// awaitOutcome waits for the outcome of a known key.
func (s *Service) awaitOutcome(ctx context.Context, t *table, key slot.Key) executeReply {
	for {
		r, ok := t.lookup(key)
		switch {
		case !ok:
			return executeReply{outcome: outcome{moved: true}}
		case r.state != stateBound:
			return executeReply{outcome: r.out}
		case r.call != nil:
			select {
			case <-r.call.done:
				return executeReply{outcome: r.call.out}
			case <-ctx.Done():
				return executeReply{running: true}
			}
		case r.dispatcher.IsSameProcess(s.self) || !s.isAlive(r.dispatcher):
			return executeReply{outcome: outcome{err: errNoOutcome()}}
		}
		select {
		case <-ctx.Done():
			return executeReply{running: true}
		case <-time.After(awaitPollInterval):
		}
	}
}

// runAttempt binds, dispatches and finishes one attempt.
func (s *Service) runAttempt(c *inFlightCall, r record, account *site.Account, service *site.Service) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline(service))
	defer cancel()
	if result := s.bind(ctx, c, r); result != bindDone {
		s.abandon(c, result)
		return
	}
	s.Log.Emit(event.CallBound, c.slot, c.attempt>>termShift, keyString(c.key), account.Name, service.Name)
	end := s.dispatch(ctx, c, account, service)
	s.finishAttempt(c, end)
}

// abandon ends an attempt that was never dispatched and never will be. Another copy of the key
// may run elsewhere, so the verdict is not not_run.
func (s *Service) abandon(c *inFlightCall, result bindResult) {
	s.tables[c.slot].unbind(c.key, c.attempt)
	out := outcome{moved: true}
	if result == bindTimedOut {
		out = outcome{err: errUndecided("the witness of this key's slot did not answer", defaultRetryAfter)}
	}
	c.complete(out)
	// The next owner may have received the key as bound.
	if a := s.Roster.Slot(c.slot); !a.Owner.IsSameProcess(s.self) {
		s.reportToOwner(record{key: c.key, attempt: c.attempt, state: stateAbandoned}, c.slot)
	}
}

// finishAttempt records how a dispatched attempt ended and completes it for its waiting callers
// first, then reports it to the witness, or to the new owner if the slot moved in the meantime.
func (s *Service) finishAttempt(c *inFlightCall, end record) {
	t, term := &s.tables[c.slot], s.ownedTerm(c.slot)
	result := t.finish(end, term, 0)
	if result == finishConflict {
		s.reportViolation("one_end_per_key", keyString(c.key), end.state.String())
		c.complete(outcome{err: verdict.New(verdict.MayHaveRun, verdict.CodeInvariantViolation, "this call's key has two ends")})
		return
	}
	c.complete(end.out)
	t.releaseCall(c)
	if result == finishApplied && t.isServing(term) {
		s.noteRefusal(c.slot, end.state)
		s.reportToWitness(c.slot, c.key)
		return
	}
	s.reportToOwner(end, c.slot)
}

func (s *Service) noteRefusal(i int, st state) {
	if st == stateRefused {
		s.refusedSlots.add(i)
	}
}

// ownedTerm returns the term at which this daemon owns slot i according to its roster, or 0.
func (s *Service) ownedTerm(i int) uint64 {
	if a := s.Roster.Slot(i); a.Owner.IsSameProcess(s.self) {
		return a.Term
	}
	return 0
}

// isAlive reports whether a process is a member in this daemon's view.
func (s *Service) isAlive(m slot.Member) bool {
	have, ok := s.Members.Current().Find(m.ID)
	return ok && have.Incarnation == m.Incarnation
}

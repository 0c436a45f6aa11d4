package once

import (
	"context"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// awaitPoll is how often a copy looks for the outcome of a call that another
// daemon dispatched before this one took the slot.
const awaitPoll = 25 * time.Millisecond

// execute takes one copy at the owner: the first of its key starts the call,
// which goes on when ctx ends, and all wait for its outcome until ctx ends.
func (s *Service) execute(ctx context.Context, e execution) reply {
	a := s.Roster.Slot(e.slot)
	if !a.Owner.IsSameProcess(s.self) {
		return reply{outcome: outcome{moved: true}}
	}
	account, service := s.resolve(e)
	if service == nil {
		return reply{outcome: outcome{err: verdict.New(verdict.MayHaveRun, verdict.CodeUnknownService,
			"the owner of this key knows no such account and service yet").WithRetryAfter(retrySoon)}}
	}
	t := &s.tables[e.slot]
	c := &call{slot: e.slot, key: e.key, req: e, done: make(chan struct{})}
	now := time.Now()
	r, result := t.claim(now, c, s.self, a.Term, s.limits().KeyTTL)
	switch result {
	case claimNew:
		s.background(func() { s.run(c, r, account, service) })
		return s.await(ctx, t, c.key)
	case claimKnown:
		return s.await(ctx, t, c.key)
	case claimStale:
		return reply{outcome: outcome{err: errStale()}}
	case claimReused:
		return reply{outcome: outcome{err: errReused()}}
	case claimUndecided:
		return reply{outcome: outcome{err: errUndecided(
			"the entry VMs that knew this key's slot are lost", t.undecidedFor(now))}}
	case claimFull:
		return reply{outcome: outcome{err: errUndecided("no room for another key", retrySoon)}}
	default:
		return reply{outcome: outcome{moved: true}}
	}
}

// resolve finds account and service in the site text in force here.
func (s *Service) resolve(e execution) (*site.Account, *site.Service) {
	current := s.Site.Current()
	if current == nil || current.Accounts[e.account] == nil {
		return nil, nil
	}
	return current.Accounts[e.account], current.Services[e.service]
}

// await waits for the outcome of a known key.
func (s *Service) await(ctx context.Context, t *table, key slot.Key) reply {
	for {
		r, ok := t.look(key)
		switch {
		case !ok:
			return reply{outcome: outcome{moved: true}}
		case r.state != bound:
			return reply{outcome: r.out}
		case r.call != nil:
			select {
			case <-r.call.done:
				return reply{outcome: r.call.out}
			case <-ctx.Done():
				return reply{running: true}
			}
		case r.dispatcher.IsSameProcess(s.self) || !s.alive(r.dispatcher):
			return reply{outcome: outcome{err: errNoOutcome()}}
		}
		select {
		case <-ctx.Done():
			return reply{running: true}
		case <-time.After(awaitPoll):
		}
	}
}

// run works on one attempt to its end.
func (s *Service) run(c *call, r record, account *site.Account, service *site.Service) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline(service))
	defer cancel()
	if result := s.bind(ctx, c, r); result != bindDone {
		s.abandon(c, result)
		return
	}
	s.Log.Emit(event.CallBound, c.slot, c.attempt>>termShift, keyString(c.key), account.Name, service.Name)
	end := s.dispatch(ctx, c, account, service)
	s.conclude(c, end)
}

// abandon ends an attempt that was never dispatched and never will be. Another
// copy of the key may run elsewhere, so this is no not_run.
func (s *Service) abandon(c *call, result bindResult) {
	s.tables[c.slot].forget(c.key, c.attempt)
	out := outcome{moved: true}
	if result == bindGaveUp {
		out = outcome{err: errUndecided("the witness of this key's slot did not answer", retrySoon)}
	}
	c.end(out)
	// The next owner may have received the key as bound.
	if a := s.Roster.Slot(c.slot); !a.Owner.IsSameProcess(s.self) {
		s.reportToOwner(record{key: c.key, attempt: c.attempt, state: abandoned}, c.slot)
	}
}

// conclude records how a dispatched attempt ended and tells its callers first,
// then the witness, or the new owner if the slot moved meanwhile.
func (s *Service) conclude(c *call, end record) {
	t, term := &s.tables[c.slot], s.ownTerm(c.slot)
	result := t.finish(end, term, 0)
	if result == finishClash {
		s.violated("one_end_per_key", keyString(c.key), end.state.String())
		c.end(outcome{err: verdict.New(verdict.MayHaveRun, verdict.CodeInvariantViolation, "this call's key has two ends")})
		return
	}
	c.end(end.out)
	t.release(c)
	if result == finishApplied && t.active(term) {
		s.noteRefusal(c.slot, end.state)
		s.reportToWitness(c.slot, c.key)
		return
	}
	s.reportToOwner(end, c.slot)
}

func (s *Service) noteRefusal(i int, st state) {
	if st == refused {
		s.refusals.add(i)
	}
}

// ownTerm is the term at which this daemon owns the slot as far as it knows,
// or 0.
func (s *Service) ownTerm(i int) uint64 {
	if a := s.Roster.Slot(i); a.Owner.IsSameProcess(s.self) {
		return a.Term
	}
	return 0
}

// alive reports whether a process is a member in this daemon's view.
func (s *Service) alive(m slot.Member) bool {
	have, ok := s.Members.Current().Find(m.ID)
	return ok && have.Incarnation == m.Incarnation
}

package once

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
	pb "mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

const (
	// maxSends bounds the backend servers tried for one call. Another is tried
	// only while nothing was sent (or, for repeatable calls, regardless).
	maxSends = 3
	// bindTimeout is far above a round trip between zones and regions.
	bindTimeout = 500 * time.Millisecond
	// bindPatience covers the replacement of a lost witness.
	bindPatience = 5 * time.Second
	bindPause    = 25 * time.Millisecond
	// refusalPatience is how long a witness may withhold its consent before it
	// is replaced. A daemon that died while it took the slot leaves the witness
	// sealed, and nothing but the refusals shows it.
	refusalPatience = time.Second
)

// bindResult says how binding a key ended.
type bindResult uint8

const (
	bindDone   bindResult = iota // the call may be dispatched
	bindMoved                    // the slot is another daemon's now
	bindGaveUp                   // no witness answered in time
)

// bind has the witness record the key. It goes on while this daemon owns the
// slot, also over a change of witness.
func (s *Service) bind(ctx context.Context, c *call, r record) bindResult {
	ctx, cancel := context.WithTimeout(ctx, bindPatience)
	defer cancel()
	defer s.metrics.timeBind(time.Now())
	var asked slot.Assignment
	var since time.Time
	for {
		a := s.Roster.Slot(c.slot)
		if !a.Owner.IsSameProcess(s.self) {
			return bindMoved
		}
		if a != asked {
			asked, since = a, time.Now()
		}
		if time.Since(since) > refusalPatience {
			s.witnessSilent(c.slot, a.Term)
		}
		if s.consent(ctx, c, r, a) {
			return s.stillHeld(c)
		}
		select {
		case <-ctx.Done():
			return bindGaveUp
		case <-time.After(bindPause):
		}
	}
}

// consent asks the witness of a, if there is one.
func (s *Service) consent(ctx context.Context, c *call, r record, a slot.Assignment) bool {
	if a.Witness.IsNone() {
		return s.tables[c.slot].active(a.Term)
	}
	return s.askWitness(ctx, c.slot, r, a.Witness.PeerAddr, a.Term)
}

// stillHeld guards against a slot that went to another daemon and came back
// while the witness was asked: the table was replaced, the key is not in it, and
// a later copy would be taken for the first. Only a key in this daemon's table
// and the witness's is known to whoever takes the slot next.
func (s *Service) stillHeld(c *call) bindResult {
	r, ok := s.tables[c.slot].look(c.key)
	if ok && r.attempt == c.attempt && r.state == bound {
		return bindDone
	}
	return bindMoved
}

func (s *Service) askWitness(ctx context.Context, i int, r record, peer string, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, bindTimeout)
	defer cancel()
	client := pb.NewOnceProtobufClient(s.Dialer.URL(peer), s.Dialer.Client)
	reply, err := client.Bind(ctx, &pb.BindRequest{Slot: uint32(i), Term: term, Record: recordToWire(&r, time.Now())})
	if err != nil {
		s.Dialer.CloseIdleConnections()
		s.witnessSilent(i, term)
		return false
	}
	return reply.GetAccepted()
}

// dispatch sends a bound call. Its result is decided by what was sent: refused
// only if nothing was.
func (s *Service) dispatch(ctx context.Context, c *call, account *site.Account, service *site.Service) record {
	end := record{key: c.key, attempt: c.attempt, state: refused}
	var exclude []string
	for range maxSends {
		grant, err := s.Flow.Acquire(ctx, newAsk(keyString(c.key), account, service, exclude))
		if err != nil {
			end.out.err = notRun(err)
			break
		}
		backend := grant.Backend()
		end.state, end.out = s.send(ctx, c, backend.Address)
		grant.Done(flow.Outcome{Err: end.out.cause()})
		if end.state != refused {
			s.logEnd(c, end, backend.ID)
			return end
		}
		exclude = append(exclude, backend.ID)
	}
	s.logEnd(c, end, "")
	return end
}

// send hands a bound call to one backend server.
func (s *Service) send(ctx context.Context, c *call, address string) (state, outcome) {
	if !s.maySend(c) {
		return unknown, outcome{err: verdict.New(verdict.MayHaveRun, verdict.CodeInvariantViolation,
			"the call was stopped before it could run twice")}
	}
	answer, err := s.Caller.Do(ctx, address, c.req.call)
	switch {
	case err == nil:
		return ran, outcome{answer: &answer}
	case errors.Is(err, plain.ErrNotSent):
		return refused, outcome{err: errNotSent(err)}
	default:
		return unknown, outcome{err: errNoAnswer(err)}
	}
}

// maySend asserts the invariant of this package just before bytes leave: the
// attempt still holds its key, and the key has not ended. A table that moved to
// other daemons meanwhile is no violation, since they received the key as bound.
func (s *Service) maySend(c *call) bool {
	r, ok := s.tables[c.slot].look(c.key)
	if !ok || (r.attempt == c.attempt && r.state == bound) {
		return true
	}
	s.violated("one_run_per_key", keyString(c.key), r.state.String())
	return false
}

func newAsk(id string, account *site.Account, service *site.Service, exclude []string) flow.Request {
	return flow.Request{
		RequestID: id, Account: account, Service: service, CostTokens: 1, Exclude: exclude,
		Deadline: time.Now().Add(callDeadline(service)),
	}
}

// repeatable runs a call whose repetition does no harm: no key is bound, and
// another backend server is tried whatever became of the first.
func (s *Service) repeatable(ctx context.Context, req Request) (plain.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callDeadline(req.Service))
	defer cancel()
	var exclude []string
	var last *verdict.Error
	sent := false
	for range maxSends {
		grant, err := s.Flow.Acquire(ctx, newAsk(req.Key, req.Account, req.Service, exclude))
		if err != nil {
			last = verdict.FromError(err)
			break
		}
		answer, err := s.Caller.Do(ctx, grant.Backend().Address, req.Call)
		grant.Done(flow.Outcome{Err: err, Cancelled: ctx.Err() != nil})
		if err == nil {
			return answer, nil
		}
		exclude = append(exclude, grant.Backend().ID)
		if errors.Is(err, plain.ErrNotSent) {
			last = errNotSent(err)
			continue
		}
		sent, last = true, errNoAnswer(err)
	}
	if sent {
		// A later refusal does not undo what an earlier attempt sent.
		last = verdict.New(verdict.MayHaveRun, last.Code, "%s", last.Message).WithRetryAfter(last.RetryAfter)
	}
	return plain.Response{}, last
}

// logEnd writes the one line that each dispatched call has.
func (s *Service) logEnd(c *call, end record, backend string) {
	code := verdict.Code("")
	if end.out.err != nil {
		code = end.out.err.Code
	}
	key := keyString(c.key)
	if end.state == refused {
		s.Log.Emit(event.CallRefused, c.slot, key, c.req.account, c.req.service, code)
		return
	}
	s.Log.Emit(event.CallEnded, c.slot, key, c.req.account, c.req.service, backend, end.state.String(), code)
}

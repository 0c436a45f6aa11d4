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
	// maxBackendsTried bounds the backend servers tried for one call. Another one is tried only
	// if nothing was sent, or if the call is repeatable.
	maxBackendsTried = 3
	// bindRPCTimeout is far above a round trip between zones and regions.
	bindRPCTimeout = 500 * time.Millisecond
	// bindTotalTimeout is long enough to replace a lost witness.
	bindTotalTimeout  = 5 * time.Second
	bindRetryInterval = 25 * time.Millisecond
	// witnessRefusalTimeout is how long a witness may withhold its consent before it is
	// replaced. A daemon that died while it was taking the slot leaves the witness sealed, and
	// only the refusals reveal it.
	witnessRefusalTimeout = time.Second
)

// bindResult is the result of binding a key.
type bindResult uint8

const (
	bindDone     bindResult = iota // the call may be dispatched
	bindMoved                      // another daemon owns the slot now
	bindTimedOut                   // no witness consented in time
)

// bind has the witness record the key. It keeps trying while this daemon owns the slot, also if
// the witness is replaced.
func (s *Service) bind(ctx context.Context, c *inFlightCall, r record) bindResult {
	ctx, cancel := context.WithTimeout(ctx, bindTotalTimeout)
	defer cancel()
	defer s.metrics.observeBind(time.Now())
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
		if time.Since(since) > witnessRefusalTimeout {
			s.markWitnessUnresponsive(c.slot, a.Term)
		}
		if s.bindAtWitness(ctx, c, r, a) {
			return s.checkStillBound(c)
		}
		select {
		case <-ctx.Done():
			return bindTimedOut
		case <-time.After(bindRetryInterval):
		}
	}
}

// bindAtWitness asks the witness of a for consent. Without a witness, the key is bound if this
// daemon serves the slot.
func (s *Service) bindAtWitness(ctx context.Context, c *inFlightCall, r record, a slot.Assignment) bool {
	if a.Witness.IsNone() {
		return s.tables[c.slot].isServing(a.Term)
	}
	return s.sendBind(ctx, c.slot, r, a.Witness.PeerAddr, a.Term)
}

// checkStillBound guards against a slot that went to another daemon and came back while the
// witness was asked. The table was replaced then, the key is not in it, and a later copy would
// be taken for the first. Only a key in both this daemon's and the witness's table is known to
// whichever daemon takes the slot next.
func (s *Service) checkStillBound(c *inFlightCall) bindResult {
	r, ok := s.tables[c.slot].lookup(c.key)
	if ok && r.attempt == c.attempt && r.state == stateBound {
		return bindDone
	}
	return bindMoved
}

func (s *Service) sendBind(ctx context.Context, i int, r record, peer string, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, bindRPCTimeout)
	defer cancel()
	client := pb.NewOnceProtobufClient(s.Dialer.URL(peer), s.Dialer.Client)
	reply, err := client.Bind(ctx, &pb.BindRequest{Slot: uint32(i), Term: term, Record: recordToWire(&r, time.Now())})
	if err != nil {
		s.Dialer.CloseIdleConnections()
		s.markWitnessUnresponsive(i, term)
		return false
	}
	return reply.GetAccepted()
}

// dispatch sends a bound call. The result depends on what was sent: refused only if nothing
// was.
func (s *Service) dispatch(ctx context.Context, c *inFlightCall, account *site.Account, service *site.Service) record {
	end := record{key: c.key, attempt: c.attempt, state: stateRefused}
	var exclude []string
	for range maxBackendsTried {
		grant, err := s.Flow.Acquire(ctx, newFlowAsk(keyString(c.key), account, service, exclude))
		if err != nil {
			end.out.err = asNotRun(err)
			break
		}
		backend := grant.Backend()
		end.state, end.out = s.send(ctx, c, backend.Address)
		grant.Done(flow.Outcome{Err: end.out.asError()})
		if end.state != stateRefused {
			s.logOutcome(c, end, backend.ID)
			return end
		}
		exclude = append(exclude, backend.ID)
	}
	s.logOutcome(c, end, "")
	return end
}

// send sends a bound call to one backend server.
func (s *Service) send(ctx context.Context, c *inFlightCall, address string) (state, outcome) {
	if !s.canSend(c) {
		return stateUnknown, outcome{err: verdict.New(verdict.MayHaveRun, verdict.CodeInvariantViolation,
			"the call was stopped before it could run twice")}
	}
	answer, err := s.Caller.Do(ctx, address, c.req.call)
	switch {
	case err == nil:
		return stateRan, outcome{answer: &answer}
	case errors.Is(err, plain.ErrNotSent):
		return stateRefused, outcome{err: errNotSent(err)}
	default:
		return stateUnknown, outcome{err: errNoAnswer(err)}
	}
}

// canSend checks the invariant of this package immediately before the call is sent: the attempt
// still holds its key, and no outcome is recorded for the key. A table that moved to other
// daemons in the meantime is no violation, since they received the key as bound.
func (s *Service) canSend(c *inFlightCall) bool {
	r, ok := s.tables[c.slot].lookup(c.key)
	if !ok || (r.attempt == c.attempt && r.state == stateBound) {
		return true
	}
	s.reportViolation("one_run_per_key", keyString(c.key), r.state.String())
	return false
}

func newFlowAsk(id string, account *site.Account, service *site.Service, exclude []string) flow.Request {
	return flow.Request{
		RequestID: id, Account: account, Service: service, CostTokens: 1, Exclude: exclude,
		Deadline: time.Now().Add(callDeadline(service)),
	}
}

// handleRepeatable runs a call that may be repeated safely: no key is bound, and after any
// failed send another backend server is tried.
func (s *Service) handleRepeatable(ctx context.Context, req Request) (plain.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callDeadline(req.Service))
	defer cancel()
	var exclude []string
	var last *verdict.Error
	sent := false
	for range maxBackendsTried {
		grant, err := s.Flow.Acquire(ctx, newFlowAsk(req.Key, req.Account, req.Service, exclude))
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

// logOutcome logs the outcome of a bound call, in one line for each call.
func (s *Service) logOutcome(c *inFlightCall, end record, backend string) {
	code := verdict.Code("")
	if end.out.err != nil {
		code = end.out.err.Code
	}
	key := keyString(c.key)
	if end.state == stateRefused {
		s.Log.Emit(event.CallRefused, c.slot, key, c.req.account, c.req.service, code)
		return
	}
	s.Log.Emit(event.CallEnded, c.slot, key, c.req.account, c.req.service, backend, end.state.String(), code)
}

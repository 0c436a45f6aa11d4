package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/outage"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

const (
	// hedgeDelayRatio is the part of a route's latency objective after which an idempotent
	// request without a response is hedged, that is sent to a second server as well. The rest
	// is enough for the second server to respond within the objective.
	hedgeDelayRatio = 0.6
	// maxRejections bounds the servers that may reject one request before the caller is refused:
	// with that many rejections the whole service is full, not a single server.
	maxRejections = 3
)

// outcome is the result of one exchange.
type outcome struct {
	choice     choice
	sendNumber int // position among the sends of the request, from 1
	reply      Reply
	err        error // why there is no complete, authentic response
	// notRun is set if the request did not run at the server and will not.
	notRun bool
	// rejected is set if the server itself rejected the request, and full if it did so for lack
	// of capacity.
	rejected, full bool
	status         int
	header         http.Header
	body           []byte
	bodyRest       io.ReadCloser // what follows body; nil if body is complete
}

// hasResponse reports whether there is a response that can be forwarded.
func (o *outcome) hasResponse() bool { return o.err == nil && !o.notRun }

// isFinal reports whether the response is forwarded at once: it is not a server error, which
// another server might avoid.
func (o *outcome) isFinal() bool { return o.hasResponse() && o.status < http.StatusInternalServerError }

// exchanges runs the sends of one request. Results arrive in the order in which they complete.
type exchanges struct {
	h       *Handler
	in      *inbound
	service string
	results chan *outcome
	pending int
	// possibleRuns counts the sends that may have run, sends those that reached a server,
	// rejected those that a server rejected, and rejectedFull the rejections for lack of
	// capacity.
	possibleRuns, sends, rejected, rejectedFull int
	tried                                       []routing.Incarnation
	// silent are the servers whose connections timed out.
	silent []routing.Incarnation
	// unconnected are the sends whose connections timed out. connected is set once a connection
	// to another server was made, or failed in another way than by a timeout.
	unconnected []*outcome
	connected   bool
}

// forwardPlain forwards a plain request, whose response is a single message.
func (h *Handler) forwardPlain(ctx context.Context, w http.ResponseWriter, in *inbound, service string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels hedged sends that are still in progress
	now := time.Now()
	if err := h.allPausedError(service, verdict.NotRun); err != nil {
		return err
	}
	if overloadedFor, refused := h.pressure.throttle(now, service); refused {
		retryAfter := retryafter.AfterOverload(overloadedFor, in.route.Objective, rand.Float64())
		h.metrics.overloadRefusals.WithLabelValues(reasonTurnedAway).Inc()
		h.opts.Log.Emit(event.CallThrottled, in.call.ID, service, overloadedFor)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the backend servers turn requests away").WithRetryAfter(retryAfter)
	}
	x := &exchanges{h: h, in: in, service: service, results: make(chan *outcome, 8)}
	last, err := x.run(ctx)
	if x.rejectedFull > 0 || x.possibleRuns > 0 {
		h.pressure.recordCall(time.Now(), service, x.possibleRuns > 0)
	}
	if err != nil {
		return err
	}
	if x.pending == 0 {
		in.releaseBody()
	}
	return h.forwardResponse(ctx, w, in, last)
}

// run sends the request until a response is final or no further send is permitted. It returns the
// response to forward.
func (x *exchanges) run(ctx context.Context) (*outcome, error) {
	if !x.sendToNext(ctx) && !x.awaitRoom(ctx) {
		return nil, x.noServerError()
	}
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	var best *outcome
	for {
		select {
		case o := <-x.results:
			x.pending--
			x.record(ctx, o)
			if o.isFinal() {
				return o, nil
			}
			if o.hasResponse() {
				best = o
			}
			if x.canRetry(o) && x.sendToNext(ctx) || x.sendToSilent(ctx, o) {
				continue
			}
			if x.pending == 0 {
				return x.finalOutcome(best, o)
			}
		case <-hedge.C:
			if x.in.route.Kind == routing.Idempotent && x.possibleRuns < x.in.route.MaxAttempts && !x.isOverloaded() {
				x.sendToNext(ctx)
			}
		case <-ctx.Done():
			return nil, x.deadlineError(ctx)
		}
	}
}

// hedgeDelay returns the time after which the request is hedged. An hour stands for never.
func (x *exchanges) hedgeDelay() time.Duration {
	if x.in.route.Kind != routing.Idempotent || x.in.route.Objective <= 0 {
		return time.Hour
	}
	return time.Duration(hedgeDelayRatio * float64(x.in.route.Objective))
}

// sendToNext sends the request to one more server and reports whether there is one and the retry
// budget permits it.
func (x *exchanges) sendToNext(ctx context.Context) bool {
	now, view := time.Now(), x.h.opts.Feed.View()
	var c choice
	ok := false
	if len(x.tried) == 0 {
		c, ok = x.h.chooseCanary(ctx, view, x.service, x.in.routeName())
	}
	if !ok {
		c, ok = x.h.choosePlainWithPermit(ctx, view, x.service, x.tried)
	}
	if !ok {
		return false
	}
	if x.sends > 0 && !x.h.pool.tryTakeRetry(now, x.service, false) {
		x.h.recordRetryDenied(x.in, x.sends)
		x.h.pool.release(c)
		return false
	}
	x.tried = append(x.tried, c.server.Incarnation())
	x.sends++
	x.possibleRuns++
	x.pending++
	send := x.sends
	go func() {
		o := x.h.exchange(ctx, x.in, c, send)
		x.h.pool.release(c)
		x.results <- o
	}()
	return true
}

// recordRetryDenied records that the retry budget does not permit one more send of a request.
func (h *Handler) recordRetryDenied(in *inbound, sends int) {
	h.metrics.retriesDenied.Inc()
	h.opts.Log.Emit(event.RetryDenied, in.call.ID, in.route.Name, sends)
}

// record removes an exchange that did not run from the counts, and marks servers that failed as
// suspect. A server whose connection timed out is marked only once another server was reached for
// the same request. Otherwise the daemon's own link may be stalled, and all servers of the service
// would be suspect for seconds although they work.
func (x *exchanges) record(ctx context.Context, o *outcome) {
	switch {
	case o.err != nil && o.notRun && sent.IsTimeout(o.err):
		x.unconnected = append(x.unconnected, o)
		x.silent = append(x.silent, o.choice.server.Incarnation())
	case o.err != nil:
		x.h.markSuspect(ctx, x.in, o.choice, o.err)
		x.connected = true
	default:
		x.connected = true
	}
	if x.connected {
		for _, late := range x.unconnected {
			x.h.markSuspect(ctx, x.in, late.choice, late.err)
		}
		x.unconnected = nil
	}
	if o.notRun {
		x.possibleRuns--
		if !o.rejected {
			x.sends-- // no byte reached a server
		}
	}
	if o.rejected {
		x.rejected++
	}
	if o.full {
		x.rejectedFull++
	}
}

// canRetry reports whether the request may be sent to another server after o.
func (x *exchanges) canRetry(o *outcome) bool {
	if o.full && x.isOverloaded() {
		return false // the other servers are full as well
	}
	if o.notRun {
		return x.rejected < maxRejections && len(x.tried) < 2*maxRejections
	}
	return x.in.route.Kind == routing.Idempotent && x.possibleRuns < x.in.route.MaxAttempts
}

// sendToSilent sends the request, after o and once no other server is left, to a server whose connection
// has timed out before, and reports whether it was sent. It gives up once the response would be late.
//
// It guards against refusals while sound servers are silent: all connections time out within a few times
// dialTimeout, and the servers go on a second later.
func (x *exchanges) sendToSilent(ctx context.Context, o *outcome) bool {
	if x.pending > 0 || !o.notRun || len(x.silent) == 0 || !time.Now().Before(x.h.silentUntil(x.in)) {
		return false
	}
	if !pause.For(ctx, recoveryPollInterval) {
		return false
	}
	x.tried = slices.DeleteFunc(x.tried, func(tried routing.Incarnation) bool { return slices.Contains(x.silent, tried) })
	x.silent, x.unconnected = nil, nil
	return x.canRetry(o) && x.sendToNext(ctx)
}

// silentUntil returns until when a plain request is sent again to silent servers. A daemon that shuts
// down leaves itself the time to refuse the request.
func (h *Handler) silentUntil(in *inbound) time.Time {
	until := in.arrived.Add(outage.MaxSilence(in.route.Objective))
	if s := h.shutdown.Load(); s != nil && until.After(s.ExitAt.Add(-2*dialTimeout)) {
		return s.ExitAt.Add(-2 * dialTimeout)
	}
	return until
}

// isOverloaded reports whether the servers reject requests for lack of capacity. A retry or a
// hedged send would then displace another request.
func (x *exchanges) isOverloaded() bool { return x.h.pressure.isRejecting(time.Now(), x.service) }

// finalOutcome returns the response to forward, or the error, when no further send is possible.
func (x *exchanges) finalOutcome(best, last *outcome) (*outcome, error) {
	if best != nil {
		return best, nil
	}
	if x.possibleRuns == 0 {
		return nil, x.noServerError()
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the backend server gave no whole answer").WithCause(last.err)
}

// noServerError is the refusal of a request that no server took.
func (x *exchanges) noServerError() error {
	if err := x.h.allPausedError(x.service, verdict.NotRun); err != nil {
		return err
	}
	if wait, limited := x.h.limits.permitWait(x.service); limited && len(x.tried) == 0 {
		return x.h.rateLimitedError(x.in, x.service, verdict.NotRun, wait)
	}
	if len(x.tried) == 0 && x.h.brittle.isBrittle(time.Now(), x.service) {
		return x.h.noRoomError(x.in, x.service, verdict.NotRun)
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoBackend, "no backend server takes the request").WithRetryAfter(x.h.pool.retryAfter(x.service))
}

// rateLimitedError is the refusal of a request because the rate limits that the servers of its
// service state are reached. Its Retry-After is when a permit may be available.
func (h *Handler) rateLimitedError(in *inbound, service string, v verdict.Verdict, wait time.Duration) error {
	overloadedFor, _ := h.pressure.recordRefusal(time.Now(), service)
	retryAfter := max(wait, retryafter.AfterOverload(overloadedFor, in.route.Objective, rand.Float64()))
	h.metrics.overloadRefusals.WithLabelValues(reasonRateLimited).Inc()
	return verdict.New(v, verdict.CodeOverloaded, "the backend servers take no more requests now").WithRetryAfter(retryAfter)
}

// deadlineError is the error of a request whose context ended without a response.
func (x *exchanges) deadlineError(ctx context.Context) error {
	if x.possibleRuns == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "no backend server took the request in time")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "no answer in time").WithCause(ctx.Err())
}

// exchange sends the request to one server and reads its response.
func (h *Handler) exchange(ctx context.Context, in *inbound, c choice, sendNumber int) *outcome {
	o := &outcome{choice: c, sendNumber: sendNumber}
	started := time.Now()
	trial := h.versions.StartTrial(c.server, in.routeName(), rollout.ResponseTime)
	defer func() {
		if result, ok := o.trialOutcome(ctx); ok {
			trial.Done(result)
		} else {
			trial.Discard()
		}
	}()
	defer func() { h.logExchange(ctx, in, o, time.Since(started)) }()
	resp, reply, err := h.send(ctx, in, UpstreamRequest{
		ID: in.call.ID, Server: c.server, Timeout: time.Until(in.deadline), Account: in.accountName(),
		Priority: in.route.EffectivePriority(in.account), LastEventID: in.call.LastEventID,
	})
	if err != nil {
		o.err, o.notRun = err, errors.Is(err, errNotSent)
		h.inspectBroken(ctx, in, o, started)
		return o
	}
	o.status, o.header, o.reply = resp.StatusCode, resp.Header, reply
	o.notRun, o.rejected = reply.NotRun, reply.NotRun
	o.full = reply.NotRun && !reply.Misdirected
	if !reply.NotRun && resp.StatusCode < http.StatusMultipleChoices && !reply.Authentic {
		resp.Body.Close()
		o.err = errNotAuthentic
	} else {
		o.body, o.bodyRest, o.err = readResponse(resp, in.overhead)
	}
	if o.err != nil {
		h.inspectBroken(ctx, in, o, started)
		return o
	}
	h.pool.recordSuccess(c)
	if o.hasResponse() {
		h.poisonRegistry.recordCompletion(in)
		h.poisonParts.recordSurvival(in, c.server.Service, started)
	}
	return o
}

// inspectBroken finds out in a goroutine whether the server of a failed exchange crashed.
func (h *Handler) inspectBroken(ctx context.Context, in *inbound, o *outcome, started time.Time) {
	if ctx.Err() == nil && !o.notRun {
		go h.checkForCrash(brokenSend{in: in, at: o.choice, sentAt: started, err: o.err})
	}
}

// markSuspect marks a server as suspect unless the exchange ended because its context did, or was not
// started because the server pauses.
func (h *Handler) markSuspect(ctx context.Context, in *inbound, c choice, err error) {
	if ctx.Err() != nil || errors.Is(err, errServerPaused) {
		return
	}
	h.pool.recordFailure(time.Now(), c.server)
	h.opts.Log.Emit(event.BackendSuspected, in.call.ID, c.server.ID, err, minSuspicion)
}

func (h *Handler) logExchange(ctx context.Context, in *inbound, o *outcome, took time.Duration) {
	h.metrics.countSend(o)
	h.opts.Log.Emit(event.ExchangeEnded, in.call.ID, in.route.Name, in.accountName(), in.configVersion, o.choice.server.ID, o.choice.reason, o.sendNumber,
		o.reply.RateLimit, o.reply.Leaving, o.reply.RetryAfter, o.status, o.notRun, took, o.err)
}

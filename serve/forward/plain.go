package forward

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

const (
	// hedgeDelayRatio is the part of a route's objective after which an idempotent
	// request that has no answer is sent to a second server as well. What is left
	// is enough for the second to answer within the objective.
	hedgeDelayRatio = 0.6
	// maxRejections bounds the servers that may turn one request away before the
	// caller hears of it: beyond it the service is full, not one server.
	maxRejections = 3
	// bufferedResponseBytes is how much of an answer is read before any of it is passed
	// on, so that one which breaks off can be asked for again.
	bufferedResponseBytes = 256 << 10
)

// outcome is what came of one exchange.
type outcome struct {
	choice     choice
	sendNumber int    // which of the request's sends it was, from 1
	rateLimit  string // that the server named
	err        error  // without a whole, proven answer
	// notRun says that the request did not run there and will not.
	notRun bool
	// rejected says that the server itself turned the request away, and full that it
	// did so for want of room.
	rejected, full bool
	status         int
	header         http.Header
	body           []byte
	bodyRest       io.ReadCloser // what follows body, nil if that is all
}

// hasResponse reports whether the server gave an answer that can be passed on.
func (o *outcome) hasResponse() bool { return o.err == nil && !o.notRun }

// isFinal reports whether no other server could do better.
func (o *outcome) isFinal() bool { return o.hasResponse() && o.status < http.StatusInternalServerError }

// exchanges runs the sends of one request; results arrive in the order they end.
type exchanges struct {
	h       *Handler
	in      *inbound
	service string
	results chan *outcome
	pending int
	// possibleRuns counts sends that may have run, sends all that reached a server; rejected
	// those that were turned away, and full those of them for want of room.
	possibleRuns, sends, rejected, rejectedFull int
	tried                                       []routing.Incarnation
	// unconnected are those to which no connection was made in time, reached says that one
	// was made to another.
	unconnected []*outcome
	connected   bool
}

// forwardPlain forwards a request whose answer is passed on whole.
func (h *Handler) forwardPlain(ctx context.Context, w http.ResponseWriter, in *inbound, service string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the sends that lost
	now := time.Now()
	if lasted, refused := h.pressure.throttle(now, service); refused {
		back := retryafter.AfterOverload(lasted, in.route.Objective, rand.Float64())
		h.metrics.overloadRefusals.WithLabelValues(reasonTurnedAway).Inc()
		h.opts.Log.Emit(event.CallThrottled, in.call.ID, service, lasted)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the backend servers turn requests away").WithRetryAfter(back)
	}
	x := &exchanges{h: h, in: in, service: service, results: make(chan *outcome, 8)}
	last, err := x.run(ctx)
	if x.rejectedFull > 0 || x.possibleRuns > 0 {
		h.pressure.recordCall(time.Now(), service, x.possibleRuns > 0)
	}
	if err != nil {
		return err
	}
	return h.forwardResponse(w, in, last)
}

// run sends until one answer is good or nothing more may be tried. It returns
// the answer to pass on.
func (x *exchanges) run(ctx context.Context) (*outcome, error) {
	if !x.sendToNext(ctx) {
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
			if x.canRetry(o) && x.sendToNext(ctx) {
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

// hedgeDelay is an hour for requests that are sent once only.
func (x *exchanges) hedgeDelay() time.Duration {
	if x.in.route.Kind != routing.Idempotent || x.in.route.Objective <= 0 {
		return time.Hour
	}
	return time.Duration(hedgeDelayRatio * float64(x.in.route.Objective))
}

// sendToNext sends the request to one more server, if there is one and the budget
// affords it.
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
	if x.sends > 0 && !x.h.pool.tryTakeRetry(now, x.service) {
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

// recordRetryDenied records that the budget does not afford one more send of a request.
func (h *Handler) recordRetryDenied(in *inbound, sends int) {
	h.metrics.retriesDenied.Inc()
	h.opts.Log.Emit(event.RetryDenied, in.call.ID, in.route.Name, sends)
}

// record takes back what an exchange that did not run was counted for, and makes servers
// suspect that failed. One to which no connection was made in time is suspect only where a
// connection to another was made for the same request: else the link from here is held up,
// and all servers of the service would be suspect for seconds that are as good as before.
func (x *exchanges) record(ctx context.Context, o *outcome) {
	switch {
	case o.err != nil && o.notRun && isTimeout(o.err):
		x.unconnected = append(x.unconnected, o)
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

// canRetry reports whether another server may be tried after o.
func (x *exchanges) canRetry(o *outcome) bool {
	if o.full && x.isOverloaded() {
		return false // the others are as full
	}
	if o.notRun {
		return x.rejected < maxRejections && len(x.tried) < 2*maxRejections
	}
	return x.in.route.Kind == routing.Idempotent && x.possibleRuns < x.in.route.MaxAttempts
}

// isOverloaded reports whether the servers turn requests away, so that what is sent a
// second time takes the place of another.
func (x *exchanges) isOverloaded() bool { return x.h.pressure.isRejecting(time.Now(), x.service) }

// finalOutcome is the answer when nothing more can be tried.
func (x *exchanges) finalOutcome(best, last *outcome) (*outcome, error) {
	if best != nil {
		return best, nil
	}
	if x.possibleRuns == 0 {
		return nil, x.noServerError()
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the backend server gave no whole answer").WithCause(last.err)
}

// noServerError says that the request ran nowhere.
func (x *exchanges) noServerError() error {
	if wait, limited := x.h.limits.permitWait(x.service); limited && len(x.tried) == 0 {
		return x.h.rateLimitedError(x.in, x.service, verdict.NotRun, wait)
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoBackend, "no backend server takes the request").WithRetryAfter(x.h.pool.retryAfter(x.service))
}

// rateLimitedError refuses a request because the servers of its service take no more now, by the limits
// that they name. The caller comes back when there may be room.
func (h *Handler) rateLimitedError(in *inbound, service string, v verdict.Verdict, wait time.Duration) error {
	lasted, _ := h.pressure.recordRefusal(time.Now(), service)
	back := max(wait, retryafter.AfterOverload(lasted, in.route.Objective, rand.Float64()))
	h.metrics.overloadRefusals.WithLabelValues(reasonRateLimited).Inc()
	return verdict.New(v, verdict.CodeOverloaded, "the backend servers take no more requests now").WithRetryAfter(back)
}

func (x *exchanges) deadlineError(ctx context.Context) error {
	if x.possibleRuns == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "no backend server took the request in time")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "no answer in time").WithCause(ctx.Err())
}

// exchange sends the request to one server and reads the answer.
func (h *Handler) exchange(ctx context.Context, in *inbound, c choice, send int) *outcome {
	o := &outcome{choice: c, sendNumber: send}
	started := time.Now()
	trial := h.versions.Try(c.server, in.routeName(), rollout.ResponseTime)
	defer func() {
		if result, ok := o.trialOutcome(ctx); ok {
			trial.Done(result)
		} else {
			trial.Drop()
		}
	}()
	defer func() { h.logExchange(ctx, in, o, time.Since(started)) }()
	resp, reply, err := h.send(ctx, in, UpstreamRequest{
		ID: in.call.ID, Server: c.server, Timeout: time.Until(in.deadline), Account: in.accountName(),
		Priority: in.priority(), LastEventID: in.call.LastEventID,
	})
	if err != nil {
		o.err, o.notRun = err, errors.Is(err, errNotSent)
		h.inspectBroken(ctx, in, o, started)
		return o
	}
	o.status, o.header, o.rateLimit = resp.StatusCode, resp.Header, reply.RateLimit
	h.recordLimit(c.server, started, reply)
	o.notRun, o.rejected = reply.NotRun, reply.NotRun
	o.full = reply.NotRun && !reply.Misdirected
	o.body, o.bodyRest, o.err = readResponse(resp)
	if o.err == nil && resp.StatusCode < http.StatusMultipleChoices && !reply.Authentic {
		o.err = errors.New("a success without proof")
	}
	if o.err != nil {
		h.inspectBroken(ctx, in, o, started)
		return o
	}
	h.pool.recordSuccess(c)
	if o.hasResponse() {
		h.poisoned.recordCompletion(in)
	}
	return o
}

// inspectBroken has it found out whether a server ended that broke off an exchange.
func (h *Handler) inspectBroken(ctx context.Context, in *inbound, o *outcome, started time.Time) {
	if ctx.Err() == nil && !o.notRun {
		go h.checkForCrash(brokenSend{in: in, at: o.choice, sentAt: started, err: o.err})
	}
}

// markSuspect makes a server suspect unless the exchange was ended from here.
func (h *Handler) markSuspect(ctx context.Context, in *inbound, c choice, err error) {
	if ctx.Err() != nil {
		return
	}
	h.pool.recordFailure(time.Now(), c.server)
	h.opts.Log.Emit(event.BackendSuspected, in.call.ID, c.server.ID, err, minSuspicion)
}

// readResponse reads an answer to its end, or its beginning if it is long.
func readResponse(resp *http.Response) ([]byte, io.ReadCloser, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(min(resp.ContentLength, bufferedResponseBytes)))
	}
	n, err := io.CopyN(&buf, resp.Body, bufferedResponseBytes)
	if err == nil && n == bufferedResponseBytes {
		return buf.Bytes(), resp.Body, nil
	}
	resp.Body.Close()
	if err == io.EOF {
		err = nil
	}
	return buf.Bytes(), nil, err
}

// notRunStatuses are the statuses by which a server must not speak for the system:
// each says that the request has not run, which only a server's own word shows.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// forwardResponse gives the caller a server's answer.
func (h *Handler) forwardResponse(w http.ResponseWriter, in *inbound, o *outcome) error {
	if notRunStatuses[o.status] {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the backend server answered %d and may have run the request", o.status)
	}
	defer h.metrics.countAnswer(in, o.status, sourceServer)
	copyHeader(w.Header(), o.header)
	if o.bodyRest == nil && len(o.body) > 0 {
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(o.body))}
	} else if length := o.header["Content-Length"]; length != nil {
		w.Header()["Content-Length"] = length // of an answer to HEAD too
	}
	w.WriteHeader(o.status)
	if _, err := w.Write(o.body); err != nil {
		return errors.Wrapf(errTruncated, "%v", err)
	}
	if o.bodyRest == nil {
		return nil
	}
	defer o.bodyRest.Close()
	if _, err := io.Copy(w, o.bodyRest); err != nil {
		return errors.Wrapf(errTruncated, "%v", err)
	}
	return nil
}

// copyHeader gives the caller the server's headers but for those that concern
// the server's connection.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		if name != "Content-Length" {
			to[name] = values
		}
	}
}

func (h *Handler) logExchange(ctx context.Context, in *inbound, o *outcome, took time.Duration) {
	h.metrics.countSend(o)
	h.opts.Log.Emit(event.ExchangeEnded, in.call.ID, in.route.Name, in.accountName(), in.configVersion, o.choice.server.ID, o.choice.reason, o.sendNumber, o.rateLimit, o.status, o.notRun, took, o.err)
}

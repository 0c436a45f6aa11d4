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
	// hedgeShare is the part of a route's objective after which an idempotent
	// request that has no answer is sent to a second server as well. What is left
	// is enough for the second to answer within the objective.
	hedgeShare = 0.6
	// maxRejected bounds the servers that may turn one request away before the
	// caller hears of it: beyond it the service is full, not one server.
	maxRejected = 3
	// bufferedAnswer is how much of an answer is read before any of it is passed
	// on, so that one which breaks off can be asked for again.
	bufferedAnswer = 256 << 10
)

// outcome is what came of one exchange.
type outcome struct {
	choice choice
	send   int    // which of the request's sends it was, from 1
	limit  string // that the server named
	err    error  // without a whole, proven answer
	// notRun says that the request did not run there and will not.
	notRun bool
	// rejected says that the server itself turned the request away, and full that it
	// did so for want of room.
	rejected, full bool
	status         int
	header         http.Header
	body           []byte
	rest           io.ReadCloser // what follows body, nil if that is all
}

// answered reports whether the server gave an answer that can be passed on.
func (o *outcome) answered() bool { return o.err == nil && !o.notRun }

// good reports whether no other server could do better.
func (o *outcome) good() bool { return o.answered() && o.status < http.StatusInternalServerError }

// exchanges runs the sends of one request; results arrive in the order they end.
type exchanges struct {
	h       *Handler
	in      *inbound
	service string
	results chan *outcome
	pending int
	// sent counts sends that may have run, sends all that reached a server; rejected
	// those that were turned away, and full those of them for want of room.
	sent, sends, rejected, full int
	tried                       []routing.Life
	// unreached are those to which no connection was made in time, reached says that one
	// was made to another.
	unreached []*outcome
	reached   bool
}

// plain forwards a request whose answer is passed on whole.
func (h *Handler) plain(ctx context.Context, w http.ResponseWriter, in *inbound, service string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the sends that lost
	now := time.Now()
	if lasted, refused := h.pressure.throttled(now, service); refused {
		back := retryafter.AfterOverload(lasted, in.route.Objective, rand.Float64())
		h.metrics.crowded.WithLabelValues(turnedAway).Inc()
		h.opts.Log.Emit(event.CallThrottled, in.call.ID, service, lasted)
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the backend servers turn requests away").After(back)
	}
	x := &exchanges{h: h, in: in, service: service, results: make(chan *outcome, 8)}
	last, err := x.run(ctx)
	if x.full > 0 || x.sent > 0 {
		h.pressure.fate(time.Now(), service, x.sent > 0)
	}
	if err != nil {
		return err
	}
	return h.passOn(w, in, last)
}

// run sends until one answer is good or nothing more may be tried. It returns
// the answer to pass on.
func (x *exchanges) run(ctx context.Context) (*outcome, error) {
	if !x.start(ctx) {
		return nil, x.none()
	}
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	var best *outcome
	for {
		select {
		case o := <-x.results:
			x.pending--
			x.note(ctx, o)
			if o.good() {
				return o, nil
			}
			if o.answered() {
				best = o
			}
			if x.again(o) && x.start(ctx) {
				continue
			}
			if x.pending == 0 {
				return x.conclude(best, o)
			}
		case <-hedge.C:
			if x.in.route.Kind == routing.Idempotent && x.sent < x.in.route.Attempts && !x.crowded() {
				x.start(ctx)
			}
		case <-ctx.Done():
			return nil, x.expired(ctx)
		}
	}
}

// hedgeAfter is an hour for requests that are sent once only.
func (x *exchanges) hedgeAfter() time.Duration {
	if x.in.route.Kind != routing.Idempotent || x.in.route.Objective <= 0 {
		return time.Hour
	}
	return time.Duration(hedgeShare * float64(x.in.route.Objective))
}

// start sends the request to one more server, if there is one and the budget
// affords it.
func (x *exchanges) start(ctx context.Context) bool {
	now, view := time.Now(), x.h.opts.Feed.View()
	var c choice
	ok := false
	if len(x.tried) == 0 {
		c, ok = x.h.drawnCall(ctx, view, x.service, x.in.routeName())
	}
	if !ok {
		c, ok = x.h.plainPermitted(ctx, view, x.service, x.tried)
	}
	if !ok {
		return false
	}
	if x.sends > 0 && !x.h.pool.repeat(now, x.service) {
		x.h.denied(x.in, x.sends)
		x.h.pool.release(c)
		return false
	}
	x.tried = append(x.tried, c.server.Life())
	x.sends++
	x.sent++
	x.pending++
	send := x.sends
	go func() {
		o := x.h.exchange(ctx, x.in, c, send)
		x.h.pool.release(c)
		x.results <- o
	}()
	return true
}

// denied records that the budget does not afford one more send of a request.
func (h *Handler) denied(in *inbound, sends int) {
	h.metrics.denied.Inc()
	h.opts.Log.Emit(event.RepeatDenied, in.call.ID, in.route.Name, sends)
}

// note takes back what an exchange that did not run was counted for, and makes servers
// suspect that failed. One to which no connection was made in time is suspect only where a
// connection to another was made for the same request: else the link from here is held up,
// and all servers of the service would be suspect for seconds that are as good as before.
func (x *exchanges) note(ctx context.Context, o *outcome) {
	switch {
	case o.err != nil && o.notRun && timedOut(o.err):
		x.unreached = append(x.unreached, o)
	case o.err != nil:
		x.h.blame(ctx, x.in, o.choice, o.err)
		x.reached = true
	default:
		x.reached = true
	}
	if x.reached {
		for _, late := range x.unreached {
			x.h.blame(ctx, x.in, late.choice, late.err)
		}
		x.unreached = nil
	}
	if o.notRun {
		x.sent--
		if !o.rejected {
			x.sends-- // no byte reached a server
		}
	}
	if o.rejected {
		x.rejected++
	}
	if o.full {
		x.full++
	}
}

// again reports whether another server may be tried after o.
func (x *exchanges) again(o *outcome) bool {
	if o.full && x.crowded() {
		return false // the others are as full
	}
	if o.notRun {
		return x.rejected < maxRejected && len(x.tried) < 2*maxRejected
	}
	return x.in.route.Kind == routing.Idempotent && x.sent < x.in.route.Attempts
}

// crowded reports whether the servers turn requests away, so that what is sent a
// second time takes the place of another.
func (x *exchanges) crowded() bool { return x.h.pressure.turnsAway(time.Now(), x.service) }

// conclude is the answer when nothing more can be tried.
func (x *exchanges) conclude(best, last *outcome) (*outcome, error) {
	if best != nil {
		return best, nil
	}
	if x.sent == 0 {
		return nil, x.none()
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the backend server gave no whole answer").Because(last.err)
}

// none says that the request ran nowhere.
func (x *exchanges) none() error {
	if wait, limited := x.h.limits.full(x.service); limited && len(x.tried) == 0 {
		return x.h.rationed(x.in, x.service, verdict.NotRun, wait)
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoBackend, "no backend server takes the request").After(x.h.pool.back(x.service))
}

// rationed refuses a request because the servers of its service take no more now, by the limits
// that they name. The caller comes back when there may be room.
func (h *Handler) rationed(in *inbound, service string, v verdict.Verdict, wait time.Duration) error {
	lasted, _ := h.pressure.refused(time.Now(), service)
	back := max(wait, retryafter.AfterOverload(lasted, in.route.Objective, rand.Float64()))
	h.metrics.crowded.WithLabelValues(rateReached).Inc()
	return verdict.New(v, verdict.CodeOverloaded, "the backend servers take no more requests now").After(back)
}

func (x *exchanges) expired(ctx context.Context) error {
	if x.sent == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "no backend server took the request in time")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no answer in time").Because(ctx.Err())
}

// exchange sends the request to one server and reads the answer.
func (h *Handler) exchange(ctx context.Context, in *inbound, c choice, send int) *outcome {
	o := &outcome{choice: c, send: send}
	started := time.Now()
	trial := h.versions.Try(c.server, in.routeName(), rollout.ResponseTime)
	defer func() {
		if result, ok := o.trial(ctx); ok {
			trial.Done(result)
		} else {
			trial.Drop()
		}
	}()
	defer func() { h.logExchange(ctx, in, o, time.Since(started)) }()
	resp, reply, err := h.send(ctx, in, Errand{
		ID: in.call.ID, Server: c.server, Left: time.Until(in.until), Account: in.accountName(),
		Priority: in.priority(), After: in.call.After,
	})
	if err != nil {
		o.err, o.notRun = err, errors.Is(err, errNotSent)
		h.broke(ctx, in, o, started)
		return o
	}
	o.status, o.header, o.limit = resp.StatusCode, resp.Header, reply.Limit
	h.heardLimit(c.server, started, reply)
	o.notRun, o.rejected = reply.NotRun, reply.NotRun
	o.full = reply.NotRun && !reply.Misdirected
	o.body, o.rest, o.err = readAnswer(resp)
	if o.err == nil && resp.StatusCode < http.StatusMultipleChoices && !reply.Proven {
		o.err = errors.New("a success without proof")
	}
	if o.err != nil {
		h.broke(ctx, in, o, started)
		return o
	}
	h.pool.worked(c)
	if o.answered() {
		h.poisoned.whole(in)
	}
	return o
}

// broke has it found out whether a server ended that broke off an exchange.
func (h *Handler) broke(ctx context.Context, in *inbound, o *outcome, started time.Time) {
	if ctx.Err() == nil && !o.notRun {
		go h.inspect(ending{in: in, at: o.choice, sent: started, err: o.err})
	}
}

// blame makes a server suspect unless the exchange was ended from here.
func (h *Handler) blame(ctx context.Context, in *inbound, c choice, err error) {
	if ctx.Err() != nil {
		return
	}
	h.pool.failed(time.Now(), c.server)
	h.opts.Log.Emit(event.BackendSuspected, in.call.ID, c.server.ID, err, suspicion)
}

// readAnswer reads an answer to its end, or its beginning if it is long.
func readAnswer(resp *http.Response) ([]byte, io.ReadCloser, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(min(resp.ContentLength, bufferedAnswer)))
	}
	n, err := io.CopyN(&buf, resp.Body, bufferedAnswer)
	if err == nil && n == bufferedAnswer {
		return buf.Bytes(), resp.Body, nil
	}
	resp.Body.Close()
	if err == io.EOF {
		err = nil
	}
	return buf.Bytes(), nil, err
}

// promises are the statuses by which a server must not speak for the system:
// each says that the request has not run, which only a server's own word shows.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// passOn gives the caller a server's answer.
func (h *Handler) passOn(w http.ResponseWriter, in *inbound, o *outcome) error {
	if promises[o.status] {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the backend server answered %d and may have run the request", o.status)
	}
	defer h.metrics.answered(in, o.status, sourceServer)
	copyHeader(w.Header(), o.header)
	if o.rest == nil && len(o.body) > 0 {
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(o.body))}
	} else if length := o.header["Content-Length"]; length != nil {
		w.Header()["Content-Length"] = length // of an answer to HEAD too
	}
	w.WriteHeader(o.status)
	if _, err := w.Write(o.body); err != nil {
		return errors.Wrapf(errCut, "%v", err)
	}
	if o.rest == nil {
		return nil
	}
	defer o.rest.Close()
	if _, err := io.Copy(w, o.rest); err != nil {
		return errors.Wrapf(errCut, "%v", err)
	}
	return nil
}

// copyHeader gives the caller the server's headers but for those that concern
// the server's connection.
func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		if name != "Content-Length" {
			to[name] = values
		}
	}
}

func (h *Handler) logExchange(ctx context.Context, in *inbound, o *outcome, took time.Duration) {
	h.metrics.sent(o)
	h.opts.Log.Emit(event.Exchanged, in.call.ID, in.route.Name, in.accountName(), in.version, o.choice.server.ID, o.choice.reason, o.send, o.limit, o.status, o.notRun, took, o.err)
}

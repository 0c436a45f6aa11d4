package process

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

// callKind says whether and how a request may be repeated.
type callKind uint8

const (
	callResumable  callKind = iota // a long streamed response that may be resumed
	callAtMostOnce                 // must not run twice
	callIdempotent                 // may be retried freely
	callLessUrgent                 // resumable, of lower priority; only in scenarios with priorities
	callKindCount
)

// Route prefix and caller timeout of each kind of request.
var (
	routePrefixes = [callKindCount]string{"/review/", "/once/", "/again/", "/bulk/"}
	callTimeouts  = [callKindCount]time.Duration{10 * time.Second, 2 * time.Second, 2 * time.Second, 10 * time.Second}
)

// isStream reports whether the response is a stream of events that may be resumed.
func (k callKind) isStream() bool { return k == callResumable || k == callLessUrgent }

// kindNames are used in reports.
var kindNames = [callKindCount]string{"resumable", "at most once", "idempotent", "less urgent"}

// baseKinds are the kinds of requests in scenarios without priorities.
var baseKinds = []callKind{callResumable, callAtMostOnce, callIdempotent}

// result is the outcome of one attempt of a request.
type result struct {
	status     int
	signature  string
	body       string
	retryAfter string        // value of the Retry-After header
	err        error         // no response, or an incomplete one
	abandoned  bool          // the caller cancelled the request, or it timed out
	timedOut   bool          // the request reached its timeout
	headerTime time.Duration // from sending the request to the headers of the response
}

// isServed reports whether the caller received a complete response with status 200.
func (r result) isServed() bool { return r.err == nil && r.status == http.StatusOK }

// caller resolves addresses through the directory, reuses the result and its connections, and
// retries failed requests.
type caller struct {
	harness     *harness
	number      int
	sent        int
	http        *http.Client
	addresses   []string // daemons to connect to
	resolvedAt  time.Time
	kinds       []callKind // of its requests
	requestName string     // used in the path and body of all requests; "" if each has its own
	poisonPart  string     // shared part of all prompts, on which servers crash; "" if there is none
	callerProfile
}

// callerProfile describes how the callers of a scenario behave.
type callerProfile struct {
	resumableRatio float64       // probability of a resumable request in place of a random kind
	abandonRatio   float64       // share of requests that the caller leaves early
	halfCloseRatio float64       // share of these at which it closes its sending side and reads on
	abandonWithin  time.Duration // latest cancellation, from the start of the request
	maxAttempts    int           // per request
}

func (h *harness) newCaller(n int) *caller {
	return &caller{harness: h, number: n, callerProfile: h.opts.Scenario.callerProfile(), kinds: h.opts.Scenario.callerKinds(n), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := c.kinds[rand.IntN(len(c.kinds))]
		if rand.Float64() < c.resumableRatio {
			kind = callResumable
		}
		if c.harness.opts.Scenario.requiresWholeAnswers() {
			c.request(context.WithoutCancel(ctx), kind) // runs to its end, so that the whole response is checked
		} else {
			c.request(ctx, kind)
		}
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	}
	c.http.CloseIdleConnections()
}

// request sends one request, retries it after a failure that allows a retry, and checks every
// response. It reports whether the caller was served.
func (c *caller) request(ctx context.Context, kind callKind) bool {
	c.sent++
	c.harness.recorder.count("asked")
	part := fmt.Sprintf("p%d-%d", c.number, c.sent)
	c.harness.recorder.countKind(kind, "asked")
	var lastEventID int64
	for try := range c.maxAttempts {
		id := fmt.Sprintf("r%d-%d-%d", c.number, c.sent, try)
		got := c.send(ctx, kind, id, part, lastEventID)
		if sent := c.harness.recorder.sentRequestOf(id); try == 0 && !got.abandoned {
			c.harness.recordFirstAttempt(sent.daemon, sent.sentAt, got.isServed())
		}
		lastEventID = c.checkResponse(kind, id, part, lastEventID, got)
		if got.isServed() {
			c.harness.recorder.count("served")
			c.harness.recorder.recordServed(kind, got.headerTime)
			return true
		}
		c.addresses = nil // resolve again before the next attempt
		promised := got.err == nil && notRunStatuses[got.status]
		if kind == callAtMostOnce && !promised {
			break
		}
		if got.retryAfter != "" {
			time.Sleep(min(parseRetryAfter(got.retryAfter), callTimeouts[kind]/3))
		}
	}
	c.harness.recorder.count("failed")
	return false
}

func parseRetryAfter(text string) time.Duration {
	d, err := time.ParseDuration(text + "s")
	if err != nil {
		return 0
	}
	return d
}

// notRunStatuses are the statuses that promise that a request has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

func (c *caller) send(ctx context.Context, kind callKind, id, part string, lastEventID int64) (got result) {
	ctx, cancel := context.WithTimeout(ctx, callTimeouts[kind])
	defer cancel()
	leave := &departure{cancel: cancel}
	defer func() {
		got.abandoned, got.timedOut = ctx.Err() != nil || leave.halfClosed.Load(), errors.Is(ctx.Err(), context.DeadlineExceeded)
	}()
	if rand.Float64() < c.abandonRatio {
		leave.halfCloses = rand.Float64() < c.halfCloseRatio
		ctx = leave.schedule(ctx, rand.N(c.abandonWithin))
	}
	address, err := c.address(ctx)
	if err != nil {
		return result{err: err}
	}
	account, key := c.harness.requestKey(rand.IntN(accountCount))
	name := id
	if c.requestName != "" {
		name = c.requestName
		account, key = c.harness.requestKey(0)
	}
	parts := ""
	tokens := c.harness.opts.Scenario.promptTokens(c.sent)
	if kind.isStream() {
		parts = c.promptParts(part, tokens)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+routePrefixes[kind]+name, bytes.NewReader([]byte(name)))
	if err != nil {
		return result{err: errors.Wrap(err, "request")}
	}
	req.GetBody = nil // the HTTP client must not retry by itself
	req.Host = host
	req.Close = leave.halfCloses
	req.Header = wire.CallerHeaders(forward.Call{ID: id, Timeout: callTimeouts[kind], Key: key, LastEventID: lastEventID, PromptTokens: tokens}, parts)
	c.harness.recorder.recordSent(id, sentRequest{account: account, key: key, pathSuffix: name, kind: kind, promptTokens: tokens, sentAt: time.Now(), daemon: address})
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return result{err: errors.Wrap(err, "send")}
	}
	defer resp.Body.Close()
	headerTime := time.Since(began)
	if (wire.Codec{}).Reply(resp.StatusCode, resp.Header).Leaving {
		c.harness.recordLeavingPassedOn(resp.Header.Get(wire.SignatureHeader), address)
	}
	body, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, signature: resp.Header.Get(wire.SignatureHeader), retryAfter: resp.Header.Get("Retry-After"), body: string(body), err: err, headerTime: headerTime,
	}
}

// commonPart is a part that the prompts of all callers share.
const commonPart = "common"

// promptParts lists the parts of a prompt, the last of which is its own.
func (c *caller) promptParts(own string, tokens int) string {
	shared := commonPart + ":1,"
	if c.poisonPart != "" {
		shared += c.poisonPart + ":1,"
	}
	return fmt.Sprintf("%s%s:%d", shared, own, tokens)
}

// address returns the proxy in front of one of the daemons that the directory lists.
func (c *caller) address(ctx context.Context) (string, error) {
	if len(c.addresses) == 0 || time.Since(c.resolvedAt) > 2*time.Second {
		known, err := c.resolve(ctx)
		if err != nil && len(c.addresses) == 0 {
			return "", err
		}
		if err == nil {
			c.addresses, c.resolvedAt = known, time.Now()
		}
	}
	return c.harness.callerProxy(c.addresses[rand.IntN(len(c.addresses))]), nil
}

func (c *caller) resolve(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	d := c.harness.daemons[rand.IntN(len(c.harness.daemons))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.directoryProxy.address()+wire.DirectoryRequestURI(host, "a"), nil)
	if err != nil {
		return nil, errors.Wrap(err, "resolve")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "resolve")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("resolve: status %d, %v", resp.StatusCode, err)
	}
	list, err := wire.ParseDirectoryResponse(raw)
	if err == nil && len(list) == 0 {
		err = errors.New("resolve: no addresses")
	}
	return list, err
}

// checkResponse compares a response with the executions at the servers, and returns the ID of
// the last event that the caller holds.
func (c *caller) checkResponse(kind callKind, id, part string, lastEventID int64, got result) int64 {
	rec := c.harness.recorder
	if c.harness.opts.Scenario.requiresWholeAnswers() && rec.executionCount(id) > 0 {
		c.checkNotCut(kind, id, got)
	}
	if c.harness.opts.Scenario.hasSilentServers() && !kind.isStream() && rec.executionCount(id) > 0 {
		c.checkCallNotLost(id, got)
	}
	if c.harness.opts.Scenario.answersAllRequests() && c.harness.opts.Timed && rec.executionCount(id) == 0 {
		c.checkAnswered(id, got)
	}
	if kind.isStream() && got.status == http.StatusOK {
		return c.checkStream(id, part, lastEventID, got)
	}
	if got.err != nil {
		return lastEventID
	}
	if got.signature == "" {
		if got.status < 300 {
			rec.recordViolation("%s: status %d without a signature", id, got.status)
		}
		if notRunStatuses[got.status] {
			c.harness.checkRefusal(id, got.body)
		}
		if c.requestName == "" && c.poisonPart == "" && strings.Contains(got.body, string(verdict.CodePoison)) {
			rec.recordViolation("%s crashes no server, but was refused as if it did", id)
		}
		return lastEventID
	}
	r, ok := rec.executionBySignature(got.signature)
	switch {
	case !ok || !strings.Contains(got.signature, "."+id+"."):
		rec.recordViolation("%s: signature %q belongs to no execution of the request", id, got.signature)
	case r.status != got.status || r.body != got.body:
		rec.recordViolation("%s: the caller got %d %q, the server sent %d %q", id, got.status, got.body, r.status, r.body)
	}
	return lastEventID
}

// checkNotCut checks that the response of a request that has started to run is not cut short.
func (c *caller) checkNotCut(kind callKind, id string, got result) {
	rec, o := c.harness.recorder, c.harness.opts
	switch {
	case o.Timed && got.timedOut && kind.isStream() && c.couldComplete(id):
		rec.recordViolation("%s ran, but its response was not complete within %v", id, callTimeouts[kind])
	case got.abandoned:
	case got.err != nil:
		rec.recordViolation("%s ran, but its response was cut although no server failed: %v", id, got.err)
	case kind.isStream() && got.status != http.StatusOK:
		rec.recordViolation("%s ran, but its caller got status %d although no server failed", id, got.status)
	}
}

// checkAnswered checks that a request that waits and has not run is answered, also if its daemon stops.
// Only a request that was sent just before may be lost, with a connection that its daemon closed.
func (c *caller) checkAnswered(id string, got result) {
	waited := time.Since(c.harness.recorder.sentRequestOf(id).sentAt)
	switch {
	case got.timedOut && c.harness.recorder.sentRequestOf(id).kind.isStream():
		c.harness.recorder.recordViolation("%s neither ran nor was refused until its caller's timeout", id)
	case got.err != nil && !got.abandoned && waited > maxConnectionRace && waited < time.Hour:
		c.harness.recorder.recordViolation("%s waited for %v and was neither served nor refused: %v", id, waited, got.err)
	}
}

// checkStream checks that the received events follow lastEventID without gaps, and that they
// are complete unless the stream ended with an error.
func (c *caller) checkStream(id, part string, lastEventID int64, got result) int64 {
	want := eventsAfter(part, lastEventID)
	switch {
	case got.err == nil && got.body != want:
		c.harness.recorder.recordViolation("%s: the response after event %d ended normally but is wrong: %d of %d bytes", id, lastEventID, len(got.body), len(want))
	case !strings.HasPrefix(want, got.body):
		c.harness.recorder.recordViolation("%s: after event %d an event is missing, duplicated or of another response: ...%q", id, lastEventID, tail(got.body))
	}
	return lastEventID + int64(strings.Count(got.body, "\n\n"))
}

func tail(s string) string { return s[max(0, len(s)-80):] }

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

	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

// callKind is what may be done with a request.
type callKind uint8

const (
	callReview callKind = iota // a long answer that may be resumed
	callOnce                   // at most once
	callAgain                  // idempotent
	callKinds
)

// prefixes of the routes, and how long callers of each wait.
var (
	prefixes = [callKinds]string{"/review/", "/once/", "/again/"}
	patience = [callKinds]time.Duration{10 * time.Second, 2 * time.Second, 2 * time.Second}
)

// result is what a caller got for one request.
type result struct {
	status int
	proof  string
	body   string
	after  string // Retry-After
	err    error  // the answer did not come, or not whole
	left   bool   // the caller left, or its time was over
	late   bool   // its time was over
}

// served reports whether the caller has what it asked for.
func (r result) served() bool { return r.err == nil && r.status == http.StatusOK }

// caller asks the directory where to connect, keeps the answer and its connections,
// and repeats a request once.
type caller struct {
	world *world
	n     int
	sent  int
	http  *http.Client
	known []string // addresses to connect to
	asked time.Time
	name  string // of all requests, in path and body; "" where each has its own
	habits
}

// habits are what callers of one sort of run do.
type habits struct {
	reviews float64       // share of long answers beside their part of the other kinds
	leaves  float64       // share of requests given up early
	within  time.Duration // of their start
	tries   int           // of one request at most
}

func (w *world) newCaller(n int) *caller {
	return &caller{world: w, n: n, habits: w.opts.Sort.habits(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		kind := callKind(rand.IntN(int(callKinds)))
		if rand.Float64() < c.reviews {
			kind = callReview
		}
		if c.world.opts.Sort.cutsNothing() {
			c.request(context.WithoutCancel(ctx), kind) // to its end, which is judged too
		} else {
			c.request(ctx, kind)
		}
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
	}
	c.http.CloseIdleConnections()
}

// request sends one request, once more after a failure that allows it, and judges
// both answers. It reports whether the caller was served.
func (c *caller) request(ctx context.Context, kind callKind) bool {
	c.sent++
	c.world.ledger.count("asked")
	part := fmt.Sprintf("p%d-%d", c.n, c.sent)
	var held int64
	for try := range c.tries {
		id := fmt.Sprintf("r%d-%d-%d", c.n, c.sent, try)
		got := c.send(ctx, kind, id, part, held)
		held = c.judge(kind, id, part, held, got)
		if got.served() {
			c.world.ledger.count("served")
			return true
		}
		c.known = nil // another address next time
		promised := got.err == nil && promises[got.status]
		if kind == callOnce && !promised {
			break
		}
		if got.after != "" {
			time.Sleep(min(retryAfter(got.after), patience[kind]/3))
		}
	}
	c.world.ledger.count("failed")
	return false
}

func retryAfter(text string) time.Duration {
	d, err := time.ParseDuration(text + "s")
	if err != nil {
		return 0
	}
	return d
}

// promises are the statuses that say that a request has not run and never will.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

func (c *caller) send(ctx context.Context, kind callKind, id, part string, held int64) (got result) {
	ctx, cancel := context.WithTimeout(ctx, patience[kind])
	defer cancel()
	defer func() { got.left, got.late = ctx.Err() != nil, errors.Is(ctx.Err(), context.DeadlineExceeded) }()
	if rand.Float64() < c.leaves {
		time.AfterFunc(rand.N(c.within), cancel)
	}
	address, err := c.address(ctx)
	if err != nil {
		return result{err: err}
	}
	account, key := c.world.key(rand.IntN(accounts))
	name := id
	if c.name != "" {
		name = c.name
		account, key = c.world.key(0)
	}
	parts := ""
	if kind == callReview {
		parts = part + ":800"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+prefixes[kind]+name, bytes.NewReader([]byte(name)))
	if err != nil {
		return result{err: errors.Wrap(err, "request")}
	}
	req.GetBody = nil // the client library must not repeat by itself
	req.Host = host
	req.Header = wire.CallerHeaders(forward.Call{ID: id, Timeout: patience[kind], Key: key, LastEventID: held, PromptTokens: 800}, parts)
	c.world.ledger.send(id, sentCall{account: account, key: key, name: name, kind: kind, at: time.Now()})
	resp, err := c.http.Do(req)
	if err != nil {
		return result{err: errors.Wrap(err, "send")}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, proof: resp.Header.Get(wire.SignatureHeader), after: resp.Header.Get("Retry-After"), body: string(body), err: err,
	}
}

// address is one of those that the directory names, by way of the proxy before it.
func (c *caller) address(ctx context.Context) (string, error) {
	if len(c.known) == 0 || time.Since(c.asked) > 2*time.Second {
		known, err := c.resolve(ctx)
		if err != nil && len(c.known) == 0 {
			return "", err
		}
		if err == nil {
			c.known, c.asked = known, time.Now()
		}
	}
	return c.world.front(c.known[rand.IntN(len(c.known))]), nil
}

func (c *caller) resolve(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	d := c.world.daemons[rand.IntN(len(c.world.daemons))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.askers.address()+wire.DirectoryRequestURI(host, "a"), nil)
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

// judge checks one answer against what the servers did, and returns the id of the
// last event that the caller holds.
func (c *caller) judge(kind callKind, id, part string, held int64, got result) int64 {
	l := c.world.ledger
	if c.world.opts.Sort.cutsNothing() && l.timesRun(id) > 0 {
		c.judgeUncut(kind, id, got)
	}
	if kind == callReview && got.status == http.StatusOK {
		return c.judgeStream(id, part, held, got)
	}
	if got.err != nil {
		return held
	}
	if got.proof == "" {
		if got.status < 300 {
			l.violate("%s: a success %d without proof", id, got.status)
		}
		if promises[got.status] {
			c.world.refused(id)
		}
		return held
	}
	r, ok := l.proven(got.proof)
	switch {
	case !ok || !strings.Contains(got.proof, "."+id+"."):
		l.violate("%s: the proof %q is of no run of it", id, got.proof)
	case r.status != got.status || r.body != got.body:
		l.violate("%s: %d %q, and the server gave %d %q", id, got.status, got.body, r.status, r.body)
	}
	return held
}

// judgeUncut checks that an answer of which a server has begun to make something is not
// given up.
func (c *caller) judgeUncut(kind callKind, id string, got result) {
	l, o := c.world.ledger, c.world.opts
	switch {
	case o.Timed && got.late && kind == callReview:
		l.violate("%s ran, and its answer was not whole in %v", id, patience[kind])
	case got.left:
	case got.err != nil:
		l.violate("%s ran, and its answer was cut although no server failed: %v", id, got.err)
	case kind == callReview && got.status != http.StatusOK:
		l.violate("%s ran, and its caller got %d although no server failed", id, got.status)
	}
}

// judgeStream checks that what came is the answer from held on, and whole unless
// it visibly broke off.
func (c *caller) judgeStream(id, part string, held int64, got result) int64 {
	want := wholeAnswer(part, held)
	switch {
	case got.err == nil && got.body != want:
		c.world.ledger.violate("%s: an answer that looks whole after event %d is not: %d of %d bytes", id, held, len(got.body), len(want))
	case !strings.HasPrefix(want, got.body):
		c.world.ledger.violate("%s: after event %d a piece is missing, twice or another's: ...%q", id, held, tail(got.body))
	}
	return held + int64(strings.Count(got.body, "\n\n"))
}

func tail(s string) string { return s[max(0, len(s)-80):] }

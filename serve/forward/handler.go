package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/repeats"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/versions"
	"mallowwind.dev/telemetry/event"
)

const (
	// keyMargin is kept below the age after which a removed key must not work any
	// more, for the clocks that count it do not run quite alike.
	keyMargin = 300 * time.Millisecond
	// unknownRetry is when a caller comes back to a daemon that has no
	// configuration: about what reading it takes.
	unknownRetry = 300 * time.Millisecond
	// firstConfigWait is above what the last of a fleet takes whose daemons all read the
	// store at once after all were killed.
	firstConfigWait = 650 * time.Millisecond
	// firstConfigShare is the part of its caller's time that a request waits at most, so
	// that one with little can still go elsewhere.
	firstConfigShare = 0.25
	// leavingRetry is when a caller comes back that this daemon turned away while
	// stopping: at once, at another address.
	leavingRetry = 50 * time.Millisecond
)

// lateWrite is how long an answer may still be written after the caller's time
// is over: what is ready is delivered, also late.
const lateWrite = 5 * time.Second

// bound ends the writing to a caller that stops reading. Without it a write to
// a full connection waits as long as the caller keeps it open, and the request
// holds its memory and, for a stream, an engine.
func (h *Handler) bound(w http.ResponseWriter, until time.Time) {
	// A connection without deadlines only lacks the bound.
	_ = http.NewResponseController(w).SetWriteDeadline(until.Add(lateWrite))
}

// Options configure a Handler.
type Options struct {
	Feed  *feed.Manager
	Codec Codec
	Log   *event.Log
	Self  routing.VM
	// KeyAge is how old the configuration may be for an account key to be trusted.
	KeyAge time.Duration
	// Repeats bounds the sends beyond the first of the whole fleet.
	Repeats repeats.Policy
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
	// Dial opens connections to servers; nil means TCP.
	Dial sent.DialFunc
	// Dialer connects to other daemons; nil where none is asked for anything.
	Dialer *link.Dialer
	// Versions says which servers of a service may serve; nil where nobody else asks it.
	Versions *versions.Manager
}

// started is the beginning of monotonic.
var started = time.Now()

func monotonic() time.Duration { return time.Since(started) }

// Handler forwards requests.
type Handler struct {
	opts       Options
	dial       sent.DialFunc
	transport  http.RoundTripper
	pool       *pool
	pressure   *pressure
	keepers    *keepers
	locator    *locator
	borrower   *borrower
	neighbours *neighbours
	poisoned   *poisoned
	limits     *limits
	versions   *versions.Manager
	metrics    *metrics
	running    atomic.Int64
	keyAge     atomic.Int64
	stop       atomic.Pointer[Stop] // nil while the daemon serves
}

// New returns a handler. Until o.Feed knows a configuration its requests wait for that a
// little and are then refused.
func New(o Options) *Handler {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Versions == nil {
		o.Versions = versions.New(versions.Options{Feed: o.Feed, Clock: monotonic, Log: o.Log, Self: o.Self, Dialer: o.Dialer})
	}
	h := &Handler{
		opts: o, dial: o.Dial, transport: newTransport(o.Dial), pool: newPool(o.Self, o.Repeats, o.Versions), pressure: newPressure(),
		borrower: newBorrower(o), neighbours: newNeighbours(o), versions: o.Versions,
	}
	h.versions.CountUnderWay(h.pool.underWay)
	h.locator, h.keepers, h.poisoned = newLocator(h), newKeepers(h), newPoisoned(h)
	h.limits = newLimits(h)
	h.pool.changed, h.pool.limits = h.keepers.changed, h.limits
	h.SetBounds(o.KeyAge, o.Repeats)
	h.metrics = newMetrics(o.Registerer, h.Running)
	return h
}

// SetBounds changes how old the configuration may be for account keys, and the
// fleet's budget of repeats.
func (h *Handler) SetBounds(keyAge time.Duration, rule repeats.Policy) {
	h.keyAge.Store(int64(keyAge))
	h.pool.setRule(rule)
}

// Running is the number of requests in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// Stop says what is still taken while the daemon stops.
type Stop struct {
	// Streams is until when new streams are taken: later ones would outlast the process.
	Streams time.Time
	// All is until when other requests are taken whatever time they have. Later
	// ones are taken only if their time runs out before End, so that none that was
	// taken is cut.
	All time.Time
	// End is when the process ends.
	End time.Time
}

// takes reports whether a request is still taken.
func (s *Stop) takes(in *inbound) bool {
	switch {
	case in.route.Kind == routing.Stream:
		return in.arrived.Before(s.Streams)
	case in.arrived.Before(s.All):
		return true
	}
	return in.until.Before(s.End)
}

// Leave begins the stop. Every answer ends its connection from now on, so that
// callers go elsewhere.
func (h *Handler) Leave(s Stop) { h.stop.Store(&s) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	h.bound(w, time.Now().Add(defaultPatience))
	in, err := h.accept(w, r)
	if err != nil {
		h.refuse(w, in, err)
		return
	}
	h.bound(w, in.until)
	ctx, cancel := context.WithDeadline(r.Context(), in.until)
	defer cancel()
	ctx, leave, err := h.poisoned.enter(ctx, in)
	if err != nil {
		h.refuse(w, in, err)
		return
	}
	defer leave()
	service := in.route.Target(rand.Float64())
	h.pool.request(in.arrived, service)
	if in.route.Kind == routing.Stream {
		err = h.stream(ctx, w, in, service)
	} else {
		err = h.plain(ctx, w, in, service)
	}
	if err == nil || r.Context().Err() != nil {
		return
	}
	var refused *verdict.Error
	if errors.As(context.Cause(ctx), &refused) && !errors.Is(err, errCut) {
		err = refused
	}
	h.refuse(w, in, err)
}

// Run tells and learns what daemons hold of requests that end their servers, until ctx ends.
func (h *Handler) Run(ctx context.Context) { h.poisoned.run(ctx) }

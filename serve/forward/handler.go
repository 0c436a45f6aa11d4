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
	// keyAgeMargin is kept below the age after which a removed key must not work any
	// more, for the clocks that count it do not run quite alike.
	keyAgeMargin = 300 * time.Millisecond
	// unconfiguredRetryAfter is when a caller comes back to a daemon that has no
	// configuration: about what reading it takes.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// maxFirstConfigWait is above what the last of a fleet takes whose daemons all read the
	// store at once after all were killed.
	maxFirstConfigWait = 650 * time.Millisecond
	// firstConfigWaitRatio is the part of its caller's time that a request waits at most, so
	// that one with little can still go elsewhere.
	firstConfigWaitRatio = 0.25
	// shutdownRetryAfter is when a caller comes back that this daemon turned away while
	// stopping: at once, at another address.
	shutdownRetryAfter = 50 * time.Millisecond
)

// writeGrace is how long an answer may still be written after the caller's time
// is over: what is ready is delivered, also late.
const writeGrace = 5 * time.Second

// setWriteDeadline ends the writing to a caller that stops reading. Without it a write to
// a full connection waits as long as the caller keeps it open, and the request
// holds its memory and, for a stream, an engine.
func (h *Handler) setWriteDeadline(w http.ResponseWriter, until time.Time) {
	// A connection without deadlines only lacks the bound.
	_ = http.NewResponseController(w).SetWriteDeadline(until.Add(writeGrace))
}

// Options configure a Handler.
type Options struct {
	Feed  *feed.Manager
	Codec Codec
	Log   *event.Log
	Self  routing.VM
	// MaxKeyAge is how old the configuration may be for an account key to be trusted.
	MaxKeyAge time.Duration
	// RetryBudget bounds the sends beyond the first of the whole fleet.
	RetryBudget repeats.Policy
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
	// Dial opens connections to servers; nil means TCP.
	Dial sent.DialFunc
	// Dialer connects to other daemons; nil where none is asked for anything.
	Dialer *link.Dialer
	// Versions says which servers of a service may serve; nil where nobody else asks it.
	Versions *versions.Manager
}

// processStart is the beginning of monotonic.
var processStart = time.Now()

func monotonic() time.Duration { return time.Since(processStart) }

// Handler forwards requests.
type Handler struct {
	opts       Options
	dial       sent.DialFunc
	transport  http.RoundTripper
	pool       *pool
	pressure   *pressure
	keepers    *workTracker
	locator    *locator
	borrower   *retryBorrower
	neighbours *peerClient
	poisoned   *poisonRegistry
	limits     *rateLimits
	versions   *versions.Manager
	metrics    *metrics
	running    atomic.Int64
	maxKeyAge  atomic.Int64
	shutdown   atomic.Pointer[ShutdownSchedule] // nil while the daemon serves
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
		opts: o, dial: o.Dial, transport: newTransport(o.Dial), pool: newPool(o.Self, o.RetryBudget, o.Versions), pressure: newPressure(),
		borrower: newRetryBorrower(o), neighbours: newPeerClient(o), versions: o.Versions,
	}
	h.versions.CountUnderWay(h.pool.runningAtOldVersions)
	h.locator, h.keepers, h.poisoned = newLocator(h), newWorkTracker(h), newPoisonRegistry(h)
	h.limits = newRateLimits(h)
	h.pool.onWorkChanged, h.pool.limits = h.keepers.workChanged, h.limits
	h.SetBounds(o.MaxKeyAge, o.RetryBudget)
	h.metrics = newMetrics(o.Registerer, h.Running)
	return h
}

// SetBounds changes how old the configuration may be for account keys, and the
// fleet's budget of repeats.
func (h *Handler) SetBounds(keyAge time.Duration, rule repeats.Policy) {
	h.maxKeyAge.Store(int64(keyAge))
	h.pool.setRetryRule(rule)
}

// Running is the number of requests in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// ShutdownSchedule says what is still taken while the daemon stops.
type ShutdownSchedule struct {
	// StreamsUntil is until when new streams are taken: later ones would outlast the process.
	StreamsUntil time.Time
	// RequestsUntil is until when other requests are taken whatever time they have. Later
	// ones are taken only if their time runs out before End, so that none that was
	// taken is cut.
	RequestsUntil time.Time
	// ExitAt is when the process ends.
	ExitAt time.Time
}

// accepts reports whether a request is still taken.
func (s *ShutdownSchedule) accepts(in *inbound) bool {
	switch {
	case in.route.Kind == routing.Stream:
		return in.arrived.Before(s.StreamsUntil)
	case in.arrived.Before(s.RequestsUntil):
		return true
	}
	return in.deadline.Before(s.ExitAt)
}

// BeginShutdown begins the stop. Every answer ends its connection from now on, so that
// callers go elsewhere.
func (h *Handler) BeginShutdown(s ShutdownSchedule) { h.shutdown.Store(&s) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	h.setWriteDeadline(w, time.Now().Add(defaultTimeout))
	in, err := h.accept(w, r)
	if err != nil {
		h.refuse(w, in, err)
		return
	}
	h.setWriteDeadline(w, in.deadline)
	ctx, cancel := context.WithDeadline(r.Context(), in.deadline)
	defer cancel()
	ctx, leave, err := h.poisoned.begin(ctx, in)
	if err != nil {
		h.refuse(w, in, err)
		return
	}
	defer leave()
	service := in.route.PickService(rand.Float64())
	h.pool.countRequest(in.arrived, service)
	if in.route.Kind == routing.Stream {
		err = h.forwardStream(ctx, w, in, service)
	} else {
		err = h.forwardPlain(ctx, w, in, service)
	}
	if err == nil || r.Context().Err() != nil {
		return
	}
	var refused *verdict.Error
	if errors.As(context.Cause(ctx), &refused) && !errors.Is(err, errTruncated) {
		err = refused
	}
	h.refuse(w, in, err)
}

// Run tells and learns what daemons hold of requests that end their servers, until ctx ends.
func (h *Handler) Run(ctx context.Context) { h.poisoned.run(ctx) }

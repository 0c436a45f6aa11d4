package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/versions"
	"mallowwind.dev/telemetry/event"
)

const (
	// keyAgeMargin is subtracted from the age at which a revoked key must stop working, to allow
	// for clocks that run at different rates.
	keyAgeMargin = 300 * time.Millisecond
	// unconfiguredRetryAfter is the Retry-After of a daemon that has no configuration yet: about
	// the time that reading the configuration takes.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// maxFirstConfigWait bounds the wait for the first configuration. It exceeds the time that
	// the slowest daemon of a fleet takes when all daemons read the store at once after a
	// simultaneous restart.
	maxFirstConfigWait = 650 * time.Millisecond
	// firstConfigWaitRatio is the part of the caller's timeout that a request may spend waiting
	// for the first configuration. The rest lets a caller with a short timeout try another
	// daemon.
	firstConfigWaitRatio = 0.25
	// shutdownRetryAfter is the Retry-After of a daemon that is shutting down. Callers retry at
	// another address, so they need not wait.
	shutdownRetryAfter = 50 * time.Millisecond
)

// writeGrace is how long after the request's deadline a response may still be written, so that a
// response that is ready is delivered even if it is late.
const writeGrace = 5 * time.Second

// setWriteDeadline bounds the time for writing to a caller that stops reading. Without it a write
// to a connection whose buffers are full blocks for as long as the caller keeps the connection
// open, while the request occupies memory and, for a stream, an engine.
func (h *Handler) setWriteDeadline(w http.ResponseWriter, until time.Time) {
	// A connection that does not support deadlines is written to without one.
	_ = http.NewResponseController(w).SetWriteDeadline(until.Add(writeGrace))
}

// Options configure a Handler.
type Options struct {
	Feed  *feed.Manager
	Codec Codec
	Log   *event.Log
	Self  routing.VM
	// MaxKeyAge is how long ago the configuration may last have been confirmed for an account key
	// to be trusted.
	MaxKeyAge time.Duration
	// RetryBudget bounds the retries of the whole fleet.
	RetryBudget retrybudget.Policy
	// MemoryBudget is how many bytes the requests in progress may hold together; 0 sets no limit.
	MemoryBudget int64
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
	// Dial opens connections to servers; nil means TCP.
	Dial sent.DialFunc
	// Dialer connects to other daemons; nil where the daemon does not query any.
	Dialer *link.Dialer
	// Versions decides which servers of a service may serve. If it is nil, New creates a manager
	// for this handler alone.
	Versions *versions.Manager
}

// processStart is the origin of monotonic.
var processStart = time.Now()

func monotonic() time.Duration { return time.Since(processStart) }

// Handler forwards requests.
type Handler struct {
	opts           Options
	dial           sent.DialFunc
	transport      http.RoundTripper
	pool           *pool
	pressure       *pressure
	workTracker    *workTracker
	waiting        *waitingPrompts
	paces          *enginePaces
	locator        *locator
	borrower       *retryBorrower
	peers          *peerClient
	exits          knownExits
	poisonRegistry *poisonRegistry
	poisonParts    *poisonParts
	limits         *serverLimits
	brittle        *brittleServices
	headroom       *headroomState
	versions       *versions.Manager
	metrics        *metrics
	memory         *memory
	running        atomic.Int64
	maxKeyAge      atomic.Int64
	shutdown       atomic.Pointer[ShutdownSchedule] // nil unless the daemon is shutting down
}

// New returns a handler. Until o.Feed has a configuration, requests wait for one for a short time
// and are then refused.
func New(o Options) *Handler {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Versions == nil {
		o.Versions = versions.New(versions.Options{Feed: o.Feed, Clock: monotonic, Log: o.Log, Self: o.Self, Dialer: o.Dialer})
	}
	h := &Handler{
		opts: o, dial: o.Dial, transport: newTransport(o.Dial), pool: newPool(o.Self, o.RetryBudget, o.Versions), pressure: newPressure(),
		borrower: newRetryBorrower(o), peers: newPeerClient(o), versions: o.Versions,
	}
	h.versions.SetInFlightCounter(h.pool.runningAtOldVersions)
	h.versions.SetReachabilityCheck(h.acceptsAny)
	h.waiting = newWaitingPrompts()
	h.locator, h.workTracker, h.poisonRegistry = newLocator(h), newWorkTracker(h), newPoisonRegistry(h)
	h.poisonParts = newPoisonParts(h)
	h.limits, h.brittle = newServerLimits(h), newBrittleServices(o.Log)
	h.paces = newEnginePaces(o.Log)
	h.pool.onWorkChanged, h.pool.limits, h.pool.brittle, h.pool.paces = h.workTracker.workChanged, h.limits, h.brittle, h.paces
	h.SetBounds(o.MaxKeyAge, o.RetryBudget)
	h.headroom = newHeadroomState()
	h.memory = newMemory(o.MemoryBudget)
	h.metrics = newMetrics(o.Registerer, h.Running, h.waiting.len, h.memory.used)
	return h
}

// SetBounds changes the maximum age of the configuration for account keys, and the fleet's retry
// budget.
func (h *Handler) SetBounds(keyAge time.Duration, rule retrybudget.Policy) {
	h.maxKeyAge.Store(int64(keyAge))
	h.pool.setRetryRule(rule)
}

// SetMemoryBudget changes how many bytes the requests in progress may hold together; 0 sets no limit.
func (h *Handler) SetMemoryBudget(bytes int64) { h.memory.setLimit(bytes) }

// Running returns the number of requests in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// ShutdownSchedule says which requests are still accepted during a graceful shutdown.
type ShutdownSchedule struct {
	// StreamsUntil is until when new streams are accepted. Later ones would outlast the process.
	StreamsUntil time.Time
	// RequestsUntil is until when other requests are accepted regardless of their deadlines.
	// Later ones are accepted only if their deadline is before ExitAt, so that no accepted
	// request is interrupted.
	RequestsUntil time.Time
	// ExitAt is when the process exits.
	ExitAt time.Time
}

// accepts reports whether a request is still accepted.
func (s *ShutdownSchedule) accepts(in *inbound) bool {
	switch {
	case in.route.Kind == routing.Stream:
		return in.arrived.Before(s.StreamsUntil)
	case in.arrived.Before(s.RequestsUntil):
		return true
	}
	return in.deadline.Before(s.ExitAt)
}

// BeginShutdown starts the graceful shutdown. From now on every response closes its connection,
// so that callers move to other daemons. Prompts that wait for room are refused.
func (h *Handler) BeginShutdown(s ShutdownSchedule) {
	h.shutdown.Store(&s)
	h.pool.beginLeaving(time.Now())
	h.waiting.beginShutdown()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	h.setWriteDeadline(w, time.Now().Add(defaultTimeout))
	in, err := h.accept(w, r)
	defer in.releaseMemory()
	if in.isUnread {
		h.refuseUnread(w, r, in, err)
		return
	}
	if err != nil {
		h.refuse(w, in, err)
		return
	}
	h.setWriteDeadline(w, in.deadline)
	ctx, cancel := context.WithDeadline(r.Context(), in.deadline)
	defer cancel()
	ctx, leave, err := h.poisonRegistry.begin(ctx, in)
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
	if err == nil {
		return
	}
	if r.Context().Err() != nil {
		// The caller has left, but may still read. A return would complete the response.
		panic(http.ErrAbortHandler)
	}
	var refused *verdict.Error
	if errors.As(context.Cause(ctx), &refused) && !errors.Is(err, errTruncated) {
		err = refused
	}
	h.refuse(w, in, err)
}

// Run exchanges with other daemons what is known of requests that crash backend servers, and observes
// which daemons share the retry budgets, until ctx ends.
func (h *Handler) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { h.poisonParts.run(ctx) })
	wg.Go(func() { h.observeFleet(ctx) })
	h.poisonRegistry.run(ctx)
	wg.Wait()
}

package forward

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/repeats"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

const (
	// keyMargin is kept below the age after which a removed key must not work any
	// more, for the clocks that count it do not run quite alike.
	keyMargin = 300 * time.Millisecond
	// unknownRetry is when a caller comes back to a daemon that has no
	// configuration: about what reading it takes.
	unknownRetry = 300 * time.Millisecond
	// firstConfigWait is several round trips to the store, and short beside the
	// least objective of a route (100 ms) so that the caller can still go elsewhere.
	firstConfigWait = 50 * time.Millisecond
	// cutOffRetry is when a caller comes back that was refused by a daemon which
	// alone has lost the store: at once, at another address.
	cutOffRetry = 50 * time.Millisecond
	// outageRetry is the mean time after which a caller comes back that was refused
	// because the store is out of reach for every daemon. Outages last for seconds,
	// and most callers repeat once: sooner, that repeat is refused too.
	outageRetry = 3 * time.Second
	// busyRetry is when a caller comes back that found no server: a server that
	// was lost is replaced within about a second.
	busyRetry = 500 * time.Millisecond
	// leavingRetry is when a caller comes back that this daemon turned away while
	// stopping: at once, at another address.
	leavingRetry = 50 * time.Millisecond
)

// Options configure a Handler.
type Options struct {
	Feed  *feed.Manager
	Codec Codec
	Log   *event.Log
	Self  routing.VM
	// KeyAge is how old the configuration may be for an account key to be trusted.
	KeyAge time.Duration
	// Repeats bounds the sends beyond the first of the whole fleet.
	Repeats repeats.Rule
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
	// Dial opens connections to servers; nil means TCP.
	Dial DialFunc
}

// Handler forwards requests.
type Handler struct {
	opts      Options
	transport http.RoundTripper
	pool      *pool
	locator   *locator
	metrics   *metrics
	running   atomic.Int64
	stop      atomic.Pointer[Stop] // nil while the daemon serves
}

// New returns a handler.
func New(o Options) *Handler {
	h := &Handler{opts: o, transport: newTransport(o.Dial), pool: newPool(o.Self, o.Repeats)}
	h.locator = newLocator(h)
	h.metrics = newMetrics(o.Registerer, h.Running)
	return h
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
	view := h.opts.Feed.View()
	in, err := h.accept(w, r, view)
	if err != nil {
		h.refuse(w, in, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), in.until)
	defer cancel()
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
	h.refuse(w, in, err)
}

// accept reads a request and checks that it may be forwarded.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, view *feed.View) (*inbound, error) {
	in := &inbound{
		method: r.Method, host: r.Host, target: target(r), header: endToEnd(r.Header), arrived: time.Now(),
	}
	if view.Config == nil {
		view = h.firstView(r.Context())
	}
	age, known := h.opts.Feed.Age()
	if !known {
		return in, verdict.New(verdict.NotRun, verdict.CodeUnconfigured, "no configuration is known yet").After(unknownRetry)
	}
	in.version, in.age = view.Config.Version, age
	call, err := h.opts.Codec.Call(r.Header)
	if err != nil {
		return in, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%v", err)
	}
	in.call = call
	path, _, _ := strings.Cut(in.target, "?")
	if in.route = view.Config.Match(r.Host, path); in.route == nil {
		return in, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no route leads there")
	}
	if err := h.authorize(in, view.Config, age); err != nil {
		return in, err
	}
	in.until = in.arrived.Add(patience(in))
	if stop := h.stop.Load(); stop != nil && !stop.takes(in) {
		return in, verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "this daemon is stopping").After(leavingRetry)
	}
	return in, h.readBody(w, r, in, view.Config.Limits.BodyBytes)
}

// firstView waits a moment for the first configuration: a daemon that has just
// started reads it within a few round trips, and a caller that is turned away
// has used up one of its few attempts.
func (h *Handler) firstView(ctx context.Context) *feed.View {
	wait := time.NewTimer(firstConfigWait)
	defer wait.Stop()
	select {
	case <-h.opts.Feed.Known():
	case <-wait.C:
	case <-ctx.Done():
	}
	return h.opts.Feed.View()
}

// authorize finds the caller's account. A key that was taken away must not work
// longer than KeyAge, also where the store cannot be reached: the daemon then
// refuses rather than trust what it last knew.
func (h *Handler) authorize(in *inbound, config *routing.Config, age time.Duration) error {
	if !config.NeedsKey(in.route) {
		return nil
	}
	if age > h.opts.KeyAge-keyMargin {
		return verdict.New(verdict.NotRun, verdict.CodeUnconfirmed,
			"the configuration was last confirmed %v ago", age.Round(time.Millisecond)).After(h.confirmedAgain())
	}
	in.account = config.Account(in.call.Key)
	if in.account == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown account key")
	}
	return nil
}

// confirmedAgain is when a daemon will probably know again whether keys hold.
// The return after an outage is spread, or it would be a burst.
func (h *Handler) confirmedAgain() time.Duration {
	if h.opts.Feed.Outage() {
		return outageRetry/2 + rand.N(outageRetry)
	}
	return cutOffRetry
}

// patience is how long the answer is of use.
func patience(in *inbound) time.Duration {
	wait := in.route.Timeout
	if in.call.Wait > 0 && (wait <= 0 || in.call.Wait < wait) {
		wait = in.call.Wait
	}
	if wait <= 0 {
		wait = defaultPatience
	}
	return wait
}

// defaultPatience holds where neither caller nor route sets a timeout.
const defaultPatience = 30 * time.Second

// readBody reads the whole body, so that it can be sent again.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, in *inbound, limit int64) error {
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	if r.ContentLength > 0 && (limit <= 0 || r.ContentLength <= limit) {
		in.body = make([]byte, 0, r.ContentLength)
	}
	var err error
	in.body, err = readAll(in.body, body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return verdict.New(verdict.NotRun, verdict.CodeBodyTooLarge, "more than %d bytes", limit)
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body is incomplete").Because(err)
	}
	return nil
}

// readAll is io.ReadAll into a buffer that may have the right size already.
func readAll(buf []byte, r io.Reader) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// target is the path and query as the caller wrote them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// statusOf maps refusals to statuses. Those that promise that nothing ran are
// used only with verdict not_run.
func statusOf(e *verdict.Error) int {
	switch e.Code {
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeUnknownService:
		return http.StatusNotFound
	case verdict.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	if e.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// refusal is the body of an answer that the daemon gives itself.
type refusal struct {
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse answers for the daemon and logs why.
func (h *Handler) refuse(w http.ResponseWriter, in *inbound, err error) {
	if errors.Is(err, errCut) {
		h.metrics.answered(in, statusCut, sourceDaemon)
		h.opts.Log.Emit(event.AnswerCut, in.call.ID, in.call.OwnPart, in.routeName(), in.accountName(), in.version, err, time.Since(in.arrived))
		panic(http.ErrAbortHandler) // ends the connection, so that the answer does not look whole
	}
	e := verdict.Of(err)
	status := statusOf(e)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Seconds()*100) / 100
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	w.WriteHeader(status)
	// The caller may have left; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(refusal{Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Message})
	h.metrics.answered(in, status, sourceDaemon)
	h.opts.Log.Emit(event.ForwardRefused, in.call.ID, in.call.OwnPart, in.routeName(), in.accountName(), in.version, in.age,
		status, e.Code, e.RetryAfter, e.Error(), time.Since(in.arrived))
}

func (in *inbound) routeName() string {
	if in.route == nil {
		return ""
	}
	return in.route.Name
}

func (in *inbound) accountName() string {
	if in.account == nil {
		return ""
	}
	return in.account.Name
}

// statusCut counts answers that were cut after their headers.
const statusCut = 0

// errCut ends an answer that has begun and cannot be finished.
var errCut = errors.New("forward: answer cut")

package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/verdict"
)

// accept reads a request and checks that it may be forwarded.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) (*inbound, error) {
	in := &inbound{
		method: r.Method, host: r.Host, target: requestTarget(r), header: endToEndHeaders(r.Header), arrived: time.Now(),
	}
	call, err := h.opts.Codec.Call(r.Header)
	view := h.opts.Feed.View()
	if view.Config == nil {
		view = h.awaitFirstConfig(r.Context(), call.Timeout)
	}
	age, known := h.opts.Feed.ConfigAge()
	if !known {
		return in, verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "no configuration is known yet").WithRetryAfter(unconfiguredRetryAfter)
	}
	in.configVersion, in.configAge = view.Config.Version, age
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
	in.deadline = in.arrived.Add(requestTimeout(in))
	if stop := h.shutdown.Load(); stop != nil && !stop.accepts(in) {
		return in, verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "this daemon is stopping").WithRetryAfter(shutdownRetryAfter)
	}
	if err := h.readBody(w, r, in, view.Config.Limits.BodyBytes); err != nil {
		return in, err
	}
	in.digests = digests(in)
	return in, nil
}

// awaitFirstConfig waits a moment for the first configuration, for a caller that waits so
// long itself, 0 if it does not say.
//
// The failure it guards against: all daemons are killed and start again. Callers come
// back at once with the answers that were cut, while ninety daemons read the store
// side by side; one that is turned away has used up its last attempt, and the answer
// is lost.
func (h *Handler) awaitFirstConfig(ctx context.Context, patience time.Duration) *feed.View {
	most := maxFirstConfigWait
	if patience > 0 {
		most = min(most, time.Duration(firstConfigWaitRatio*float64(patience)))
	}
	wait := time.NewTimer(most)
	defer wait.Stop()
	select {
	case <-h.opts.Feed.ConfigReady():
	case <-wait.C:
	case <-ctx.Done():
	}
	return h.opts.Feed.View()
}

// authorize finds the caller's account. A key that was taken away must not work
// longer than KeyAge, also where the store cannot be reached: the daemon then
// refuses rather than trust what it last knew.
func (h *Handler) authorize(in *inbound, config *routing.Config, age time.Duration) error {
	if !config.RequiresKey(in.route) {
		return nil
	}
	if age > time.Duration(h.maxKeyAge.Load())-keyAgeMargin {
		return verdict.New(verdict.NotRun, verdict.CodeUnconfirmed,
			"the configuration was last confirmed %v ago", age.Round(time.Millisecond)).WithRetryAfter(retryafter.AfterStoreOutage(age, h.opts.Feed.IsStoreDown(), rand.Float64()))
	}
	in.account = config.Account(in.call.Key)
	if in.account == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown account key")
	}
	return nil
}

// requestTimeout is how long the answer is of use.
func requestTimeout(in *inbound) time.Duration {
	wait := in.route.Timeout
	if in.call.Timeout > 0 && (wait <= 0 || in.call.Timeout < wait) {
		wait = in.call.Timeout
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	return wait
}

// defaultTimeout holds where neither caller nor route sets a timeout.
const defaultTimeout = 30 * time.Second

// readBody reads the whole body, so that it can be sent again.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, in *inbound, limit int64) error {
	body := r.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	if r.ContentLength > 0 && (limit <= 0 || r.ContentLength <= limit) {
		in.body = make([]byte, 0, r.ContentLength)
	}
	err := h.readBodyByDeadline(w, in, body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return verdict.New(verdict.NotRun, verdict.CodeBodyTooLarge, "more than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the body did not arrive in time")
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body is incomplete").WithCause(err)
	}
	return nil
}

// readBodyByDeadline reads the body while the caller's time lasts: one that sends slowly
// must not hold a connection and its part of the body for ever. After a whole body
// the deadline is taken back, for the connection is read on to notice a caller
// that leaves; otherwise the server would wait for the rest of the body in turn.
func (h *Handler) readBodyByDeadline(w http.ResponseWriter, in *inbound, body io.Reader) (err error) {
	c := http.NewResponseController(w)
	// A connection without deadlines only lacks the bound.
	_ = c.SetReadDeadline(in.deadline)
	in.body, err = readAll(in.body, body)
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return err
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

// requestTarget is the path and query as the caller wrote them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

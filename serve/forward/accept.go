package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/verdict"
)

// accept reads a caller's request and checks that it may be forwarded.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) (*inbound, error) {
	in := &inbound{
		method: r.Method, host: r.Host, target: requestTarget(r), header: endToEndHeaders(r.Header), arrived: time.Now(),
	}
	call, err := h.opts.Codec.Call(r.Header)
	view := h.opts.Feed.View()
	if !h.opts.Feed.IsReady() {
		view = h.awaitFirstConfig(r.Context(), call.Timeout)
	}
	age, known := h.opts.Feed.ConfigAge()
	if !known {
		return in, h.unconfigured()
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
	if err := h.reserveRequest(in); err != nil {
		return in, err
	}
	if err := h.readBody(w, r, in, view.Config.Limits.BodyBytes); err != nil {
		return in, err
	}
	in.digests = digests(in)
	return in, nil
}

// awaitFirstConfig waits a short time for the first configuration after a start of the daemon.
// timeout is how long the caller waits; 0 if it is not stated.
//
// Without the wait, a simultaneous restart of all daemons loses responses: callers reconnect
// at once to resume the responses that were truncated, while ninety daemons read the store
// concurrently. A caller that is refused then may have used up its last attempt.
func (h *Handler) awaitFirstConfig(ctx context.Context, timeout time.Duration) *feed.View {
	limit := maxFirstConfigWait
	if timeout > 0 {
		limit = min(limit, time.Duration(firstConfigWaitRatio*float64(timeout)))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-h.opts.Feed.ConfigReady():
	case <-timer.C:
	case <-ctx.Done():
	}
	return h.opts.Feed.View()
}

// AwaitConfig waits for the first configuration as long as a request may. It returns the refusal of
// the request if there is still none.
func (h *Handler) AwaitConfig(ctx context.Context) error {
	if h.opts.Feed.View().Config != nil || h.awaitFirstConfig(ctx, 0).Config != nil {
		return nil
	}
	return h.unconfigured()
}

// unconfigured returns the refusal of a request while no configuration is known.
func (h *Handler) unconfigured() error {
	return verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "no configuration is known yet").WithRetryAfter(h.startRetryAfter())
}

// startRetryAfter returns when the caller of a daemon that has no configuration yet should retry. If the
// whole fleet has just started, no other daemon can serve the caller either.
func (h *Handler) startRetryAfter() time.Duration {
	return max(unconfiguredRetryAfter, retryafter.Jitter(h.opts.Feed.StartTimeLeft()*4/3, rand.Float64()))
}

// authorize finds the caller's account. A revoked key must stop working within MaxKeyAge, even
// while the store is unreachable, so the daemon refuses requests once its configuration has
// not been confirmed for that long.
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

// requestTimeout returns the shorter of the route's and the caller's timeout.
func requestTimeout(in *inbound) time.Duration {
	timeout := in.route.Timeout
	if in.call.Timeout > 0 && (timeout <= 0 || in.call.Timeout < timeout) {
		timeout = in.call.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// defaultTimeout applies where neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

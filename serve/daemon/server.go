package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mallowwind.dev/control/operate/statuspage"
)

const (
	// headerTimeout bounds the time until a request's headers are complete, so that callers that open
	// connections and send nothing occupy few resources.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the time for closing connections after all work has ended.
	closeTimeout = 5 * time.Second
)

// server serves one listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func newServer(l net.Listener, h http.Handler) server {
	return server{
		http:     &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
		listener: l,
	}
}

func (s server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.listener.Addr())
}

// stop closes the listener and waits for requests to end. After closeTimeout, or when hard ends, it
// closes the remaining connections.
func (s server) stop(hard context.Context) {
	ctx, cancel := context.WithTimeout(hard, closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // only connections that did not end in time remain
	}
}

func (d *Daemon) servers() []server {
	l := d.opts.Listeners
	out := []server{newServer(l.Callers, d.api), newServer(l.Peers, d.peerHandler())}
	if l.Admin != nil {
		out = append(out, newServer(l.Admin, d.adminHandler()))
	}
	return out
}

// adminHandler returns the handler for operators: metrics, health checks and the status page.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.Handle("/status", statuspage.RequireToken(d.opts.Settings.TLS.OperatorTokenHash, d.log, statuspage.Handler(d.statusPage)))
	mux.Handle("/healthz", d.api)
	mux.Handle("/readyz", d.api)
	return mux
}

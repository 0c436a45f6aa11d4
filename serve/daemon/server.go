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
	// headerTimeout bounds the time to the end of a request's headers, so that
	// callers who open connections and send nothing hold little.
	headerTimeout = 10 * time.Second
	// idleTimeout closes kept connections that carry no request.
	idleTimeout = 2 * time.Minute
	// closeTimeout bounds the end of connections after all work has ended.
	closeTimeout = 5 * time.Second
)

// server is one listener with its handler.
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

// stop closes the listener, waits for requests to end, and closes the rest
// when hard ends or the time is up.
func (s server) stop(hard context.Context) {
	ctx, cancel := context.WithTimeout(hard, closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // only connections that did not end in time are left
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

// adminHandler serves operators: metrics, health and the status page.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.Handle("/status", statuspage.RequireToken(d.opts.Settings.TLS.OperatorTokenHash, d.log, statuspage.Handler(d.page)))
	mux.Handle("/healthz", d.api)
	mux.Handle("/readyz", d.api)
	return mux
}

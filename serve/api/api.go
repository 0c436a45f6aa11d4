// Package api is the callers' side: the usual completions API of model serving,
// plain services behind /services, the entry VMs to use, and refusals that say
// whether the request may have run.
package api

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/serve/generation"
	"mallowwind.dev/telemetry/event"
)

// Entry is one entry VM that a caller should use.
type Entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// EntrySelector answers which entry VMs an account should use.
type EntrySelector interface {
	EntriesFor(account *site.Account) []Entry
}

// ServiceCaller carries out calls to plain services. Errors are *verdict.Error.
type ServiceCaller interface {
	Call(ctx context.Context, account *site.Account, service *site.Service, key string, call plain.Call) (plain.Response, error)
}

// Config names what an API works with.
type Config struct {
	Site        site.Source
	Generations *generation.Manager
	Calls       ServiceCaller
	Entries     EntrySelector
	Log         *event.Log
	Metrics     prometheus.Registerer
	// IsShuttingDown reports whether new requests are refused because the daemon stops.
	IsShuttingDown func() bool
	// IsStarting reports whether the daemon does not know enough yet to serve.
	IsStarting func() bool
	// IsReady reports whether callers should be sent here.
	IsReady func() bool
}

// API handles callers' requests. It is safe for concurrent use.
type API struct {
	Config
	requests *prometheus.CounterVec
	inFlight prometheus.Gauge
	active   atomic.Int64
	router   *mux.Router
}

// New returns an API ready to serve.
func New(c Config) *API {
	a := &API{Config: c, router: mux.NewRouter()}
	a.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "mallowwind", Subsystem: "api", Name: "requests_total",
		Help: "Requests of callers by route and outcome: ok or the error's code.",
	}, []string{"route", "outcome"})
	a.inFlight = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: "mallowwind", Subsystem: "api", Name: "in_flight",
		Help: "Requests of callers being served.",
	})
	c.Metrics.MustRegister(a.requests, a.inFlight)
	a.route("POST", "/v1/completions", "completions", a.completions)
	a.route("POST", "/v1/chat/completions", "chat", a.chat)
	a.route("GET", "/v1/generations/{id}", "generation", a.resume)
	a.route("GET", "/v1/entries", "entries", a.entries)
	a.route("GET", "/v1/models", "models", a.models)
	a.router.Handle("/services/{service}/{path:.*}", a.handler("service", a.service))
	a.router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	a.router.HandleFunc("/readyz", a.readyz)
	a.router.NotFoundHandler = a.handler("unknown", func(http.ResponseWriter, *http.Request, *site.Site, *site.Account) error {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "no such path; see /v1/completions, /v1/chat/completions, /services/NAME/")
	})
	return a
}

// Active returns the number of requests being served, streams included.
func (a *API) Active() int { return int(a.active.Load()) }

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

// endpoint serves one authenticated request. An error is written to the caller
// unless the answer has already begun.
type endpoint func(w http.ResponseWriter, r *http.Request, s *site.Site, account *site.Account) error

func (a *API) route(method, path, name string, e endpoint) {
	a.router.Handle(path, a.handler(name, e)).Methods(method)
}

// handler authenticates, counts and turns errors into refusals.
func (a *API) handler(name string, e endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.inFlight.Inc()
		defer a.inFlight.Dec()
		a.active.Add(1)
		defer a.active.Add(-1)
		err := a.serve(w, r, e)
		outcome := "ok"
		if err != nil {
			refusal := verdict.FromError(err)
			outcome = string(refusal.Code)
			writeError(w, refusal)
		}
		a.requests.WithLabelValues(name, outcome).Inc()
	})
}

func (a *API) serve(w http.ResponseWriter, r *http.Request, e endpoint) error {
	s := a.Site.Current()
	if s == nil {
		return a.elsewhere(r, verdict.CodeNoConfiguration, "this entry VM has no configuration yet; use another one")
	}
	account := authenticate(s, r)
	if account == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized,
			"send a bearer token that the site text lists in the Authorization header")
	}
	return e(w, r, s, account)
}

// retryElsewhere is the wait told to callers that should use another entry VM.
const retryElsewhere = time.Second

// accepting refuses new work while the daemon starts or stops.
func (a *API) accepting(r *http.Request) error {
	switch {
	case a.IsShuttingDown():
		return a.elsewhere(r, verdict.CodeShuttingDown, "this entry VM is shutting down; ask /v1/entries for another one")
	case a.IsStarting():
		return a.elsewhere(r, verdict.CodeNoConfiguration, "this entry VM is starting; use another one")
	}
	return nil
}

// elsewhere refuses a request that another entry VM can serve. Nothing of it
// ran here, but with a key it may be a copy of a request that runs elsewhere,
// and nobody was asked: not_run would invite the caller to send it anew under
// another key.
func (a *API) elsewhere(r *http.Request, code verdict.Code, text string) error {
	v := verdict.NotRun
	if r.Header.Get(keyHeader) != "" {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, code, "%s", text).WithRetryAfter(retryElsewhere)
}

func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if !a.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/forward"
	"mallowwind.dev/serve/gateway"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

const (
	// ownConfirmInterval is how often the configuration is confirmed, at the cost of one read.
	ownConfirmInterval = time.Second
	// ownKeyRevocationDelay is how long an account key may still be used after its removal.
	ownKeyRevocationDelay = 5 * time.Second
)

// ownRetryBudget is the retry budget of all daemons together: retries of 0.8 times the requests
// plus 150 in 10 s are enough to survive the loss of a zone.
var ownRetryBudget = retrybudget.Policy{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

// ownRolloutLimits bounds the requests to a version that is not known to be good: a tenth of a
// service's requests plus 50.
var ownRolloutLimits = rollout.Limits{Share: 0.1, Slack: 50}

// runOwnGateway runs a gateway with this project's settings file and key-value service instead of
// the platform's.
func runOwnGateway(path string, check bool) error {
	s, err := settings.Parse(path)
	if err != nil {
		return usageError{err}
	}
	if check {
		return nil
	}
	return runGateway(s.LogLevel, s.VM, s.Zone, func(events *event.Log) (gateway.Options, error) {
		return ownGatewayOptions(s, events)
	}, func(*gateway.Gateway, gateway.Options) {})
}

func ownGatewayOptions(s *settings.Settings, events *event.Log) (gateway.Options, error) {
	client, err := store.NewEtcdClient(s.Store, nil)
	if err != nil {
		return gateway.Options{}, errors.Wrap(err, "store")
	}
	o := gateway.Options{
		Self:   routing.VM{ID: s.VM, Zone: s.Zone, Address: s.Listen, PeerAddress: s.PeerListen},
		Store:  store.Confirmed{Store: client, Key: feed.OwnConfigKey, Interval: ownConfirmInterval},
		Prefix: feed.OwnPrefix, Schema: feed.OwnSchema{}, Codec: forward.DefaultCodec{},
		Clock: bootClock, Log: events, Registry: metric.NewCatalogue(),
		DynamicOptions: gateway.DynamicOptions{MaxKeyAge: ownKeyRevocationDelay, RetryBudget: ownRetryBudget, RolloutLimits: ownRolloutLimits, GracePeriod: s.DrainLimit},
		AddressTTL:     maxDirectoryTTL,
		Dialer:         link.NewDialer(nil),
	}
	admin := mux.NewRouter()
	admin.Handle("/metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	o.ReadyHandler = func(ready func() bool) http.Handler {
		admin.Handle("/readyz", readinessHandler(ready)).Methods(http.MethodGet)
		return admin
	}
	o.DirectoryHandler = func(addresses func(string) []string) http.Handler {
		admin.Handle("/v1/entries", entriesHandler(addresses)).Methods(http.MethodGet)
		return admin
	}
	err = listen([]socket{{&o.Callers, s.Listen}, {&o.Peers, s.PeerListen}, {&o.Readiness, s.AdminListen}})
	return o, err
}

// readinessHandler answers 200 while callers should be sent to this daemon, otherwise 503.
func readinessHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// entriesResponse holds the addresses that a caller may use, and for how long.
type entriesResponse struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds float64  `json:"ttl_seconds"`
}

func entriesHandler(addresses func(string) []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		list := addresses("")
		if len(list) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// Encoding fails only if the caller has closed the connection.
		_ = json.NewEncoder(w).Encode(entriesResponse{Addresses: list, TTLSeconds: maxDirectoryTTL.Seconds()})
	})
}

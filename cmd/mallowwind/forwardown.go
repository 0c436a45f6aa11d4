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
	// ownHold is how often the configuration is confirmed, at one read.
	ownHold = time.Second
	// ownKeyAge is how long after its removal an account key may still be used.
	ownKeyAge = 5 * time.Second
)

// ownRepeats is the fleet's budget of sends beyond the first: four in five
// requests and a hundred and fifty in ten seconds carry the loss of a zone.
var ownRepeats = retrybudget.Policy{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

// ownRollouts lets a version that is not known to be good have a tenth of a service's requests
// and fifty.
var ownRollouts = rollout.Limits{Share: 0.1, Slack: 50}

// runOwn forwards by settings of our own and a key-value service of ours.
func runOwn(path string, check bool) error {
	s, err := settings.Parse(path)
	if err != nil {
		return usageError{err}
	}
	if check {
		return nil
	}
	return runGateway(s.LogLevel, s.VM, s.Zone, func(events *event.Log) (gateway.Options, error) {
		return ownOptions(s, events)
	}, func(*gateway.Gateway, gateway.Options) {})
}

func ownOptions(s *settings.Settings, events *event.Log) (gateway.Options, error) {
	client, err := store.NewEtcdClient(s.Store, nil)
	if err != nil {
		return gateway.Options{}, errors.Wrap(err, "store")
	}
	o := gateway.Options{
		Self:   routing.VM{ID: s.VM, Zone: s.Zone, Address: s.Listen, PeerAddress: s.PeerListen},
		Store:  store.Confirmed{Store: client, Key: feed.OwnConfigKey, Interval: ownHold},
		Prefix: feed.OwnPrefix, Schema: feed.OwnSchema{}, Codec: forward.DefaultCodec{},
		Clock: bootClock, Log: events, Registry: metric.NewCatalogue(),
		DynamicOptions: gateway.DynamicOptions{MaxKeyAge: ownKeyAge, RetryBudget: ownRepeats, RolloutLimits: ownRollouts, GracePeriod: s.DrainLimit},
		AddressTTL:     keepAnswers,
		Dialer:         link.NewDialer(nil),
	}
	admin := mux.NewRouter()
	admin.Handle("/metrics", promhttp.HandlerFor(o.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	o.ReadyHandler = func(ready func() bool) http.Handler {
		admin.Handle("/readyz", readiness(ready)).Methods(http.MethodGet)
		return admin
	}
	o.DirectoryHandler = func(addresses func(string) []string) http.Handler {
		admin.Handle("/v1/entries", entryAnswers(addresses)).Methods(http.MethodGet)
		return admin
	}
	err = listen([]socket{{&o.Callers, s.Listen}, {&o.Peers, s.PeerListen}, {&o.Readiness, s.AdminListen}})
	return o, err
}

// readiness answers 200 while callers should be sent here.
func readiness(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// entryAnswer names the addresses that a caller may use, and for how long.
type entryAnswer struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds float64  `json:"ttl_seconds"`
}

func entryAnswers(addresses func(string) []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		list := addresses("")
		if len(list) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A caller that left meanwhile is the only reason for a failure here.
		_ = json.NewEncoder(w).Encode(entryAnswer{Addresses: list, TTLSeconds: keepAnswers.Seconds()})
	})
}

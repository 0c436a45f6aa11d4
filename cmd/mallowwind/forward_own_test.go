package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/external/standin/plainsim"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/serve/gateway"
	"mallowwind.dev/telemetry/event"
)

const ownConfig = `{"version":1,"services":[{"name":"desk"}],"accounts":[{"name":"mill","keys":["k1"]}],
"routes":[{"name":"r","host":"desk.example","prefix":"/","kind":"at_most_once","timeout":"5s",
"targets":[{"service":"desk","weight":1}]}]}`

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// getUntilStatus repeats a GET request until the response has status want, and returns its body.
func getUntilStatus(t *testing.T, url, key string, want int) string {
	t.Helper()
	for {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		must.NoError(t, err)
		req.Host = "desk.example"
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			body, readErr := io.ReadAll(resp.Body)
			resp.Body.Close()
			must.NoError(t, readErr)
			if resp.StatusCode == want {
				return string(body)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Runs a gateway with this project's own settings, an etcd stand-in and a plain service that is
// registered there. A request must be forwarded, an unknown key rejected, a changed configuration
// take effect, and the gateway stop without an error.
func TestForwardingWithOwnSettingsAndStore(t *testing.T) {
	memory := store.NewMemory()
	etcd := httptest.NewServer(storesim.Handler(memory))
	defer etcd.Close()
	desk := httptest.NewServer(plainsim.New("desk", 0))
	defer desk.Close()
	put := func(key, value string) {
		var version int64
		if kv, err := memory.Get(t.Context(), key); err == nil {
			version = kv.Version
		}
		_, err := memory.CompareAndSwap(t.Context(), key, version, []byte(value), 0)
		must.NoError(t, err)
	}
	put(feed.OwnConfigKey, ownConfig)
	put(feed.OwnServerPrefix+"d-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a"}`, desk.Listener.Addr()))
	s := &settings.Settings{
		VM: "entry-1", Zone: "a", Listen: freeAddress(t), PeerListen: freeAddress(t), AdminListen: freeAddress(t),
		Store: []string{etcd.URL}, DrainLimit: 5 * time.Second,
	}
	o, err := ownGatewayOptions(s, event.Discard())
	must.NoError(t, err)
	soft, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- gateway.New(o).Run(soft, t.Context()) }()

	getUntilStatus(t, "http://"+s.AdminListen+"/readyz", "", http.StatusOK)
	var reply plainsim.Reply
	must.NoError(t, json.Unmarshal([]byte(getUntilStatus(t, "http://"+s.Listen+"/confirm?x=1", "k1", http.StatusOK)), &reply))
	must.Eq(t, "/confirm", strings.SplitN(reply.Path, "?", 2)[0])
	must.StrContains(t, getUntilStatus(t, "http://"+s.AdminListen+"/v1/entries", "", http.StatusOK), s.Listen)
	must.StrContains(t, getUntilStatus(t, "http://"+s.AdminListen+"/metrics", "", http.StatusOK), "mallowwind_feed_config_version 1")
	getUntilStatus(t, "http://"+s.Listen+"/confirm", "k2", http.StatusUnauthorized)
	put(feed.OwnConfigKey, strings.Replace(strings.Replace(ownConfig, `"version":1`, `"version":2`, 1), "k1", "k2", 1))
	getUntilStatus(t, "http://"+s.Listen+"/confirm", "k2", http.StatusOK)
	getUntilStatus(t, "http://"+s.Listen+"/confirm", "k1", http.StatusUnauthorized)
	stop()
	must.NoError(t, <-done)
}

package host_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/host"
	"mallowwind.dev/external/standin/tokencheck"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/external/weights"
	"mallowwind.dev/telemetry/event"
)

const freePort = "127.0.0.1:0"

var ref = engine.ModelRef{Model: "m"}

func start(t *testing.T) *host.Host {
	h, err := host.Start(host.Config{
		Admin:   freePort,
		Store:   host.StoreConfig{Listen: []string{freePort, freePort}},
		VMList:  host.VMListConfig{Listen: freePort},
		Weights: host.WeightsConfig{Listen: freePort, MaxConcurrentFetches: 2, FetchTime: time.Second},
		Pools: []host.PoolConfig{
			{
				Name: "review", Kind: host.KindEngine, Zones: []string{"Athi River", "Ruiru"}, ServersPerZone: 2, Listen: freePort,
				Engine: enginesim.Config{Models: []engine.ModelRef{ref}, StepBase: time.Millisecond},
			},
			{Name: "desk", Kind: host.KindPlain, Zones: []string{"Ruiru"}, ServersPerZone: 1, Listen: freePort},
		},
	}, event.Discard())
	must.NoError(t, err)
	t.Cleanup(h.Close)
	return h
}

func post(t *testing.T, h *host.Host, path string) int {
	resp, err := http.Post(h.URLs(host.NameAdmin)[0]+path, "", nil)
	must.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestEveryStandInAnswersOverTCP(t *testing.T) {
	h, ctx := start(t), t.Context()
	kv, err := store.NewEtcdClient(h.URLs(host.NameStore), nil)
	must.NoError(t, err)
	_, err = kv.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
	must.NoError(t, err)
	status, err := weights.NewClient(h.URLs(host.NameWeights)[0], nil).Status(ctx)
	must.NoError(t, err)
	must.Eq(t, weights.Status{Capacity: 2, FetchDuration: time.Second}, status)
	list, err := vmlist.NewClient(h.URLs(host.NameVMList)[0], nil).List(ctx)
	must.NoError(t, err)
	must.Len(t, 5, list)
	must.Eq(t, "review-athi-river-1", list[1].ID)
	must.Eq(t, "Athi River", list[1].Zone)
	answer, err := plain.NewClient(nil, 0).Do(ctx, list[0].Address, plain.Call{Method: "GET", Path: "/status"})
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.Status)
}

// An engine is crashed over the admin listener while it streams. The open connection must break and
// new ones must be refused until the engine is restarted with a new incarnation.
func TestCrashAndRestartOverAdminListener(t *testing.T) {
	h, ctx := start(t), t.Context()
	node, ok := h.Node("review-ruiru-1")
	must.True(t, ok)
	client := engine.NewClient("http://"+node.Address, nil)
	req := engine.Request{Generation: "g", Attempt: 1, Model: "m", Prompt: "p", MaxTokens: 1e6}
	s, err := client.Generate(ctx, req)
	must.NoError(t, err)
	defer s.Close()
	c, err := s.Next(ctx)
	must.NoError(t, err)
	text := strings.Join(c.Tokens, "")
	must.Eq(t, http.StatusNoContent, post(t, h, "/faults/review-ruiru-1/die"))
	for err == nil {
		c, err = s.Next(ctx)
		text += strings.Join(c.Tokens, "")
	}
	must.ErrorIs(t, err, engine.ErrBroken)
	_, err = tokencheck.Check("m", "p", text)
	must.NoError(t, err)
	_, err = client.Status(ctx)
	must.ErrorIs(t, err, engine.ErrNotSent)
	must.Eq(t, http.StatusNoContent, post(t, h, "/faults/review-ruiru-1/revive"))
	status, err := client.Status(ctx)
	must.NoError(t, err)
	must.Eq(t, "review-ruiru-1-2", status.Incarnation)
}

func TestAdminRejectsUnknownNamesAndValues(t *testing.T) {
	h := start(t)
	must.Eq(t, http.StatusNotFound, post(t, h, "/faults/nobody/die"))
	must.Eq(t, http.StatusNotFound, post(t, h, "/faults/store/explode"))
	must.Eq(t, http.StatusBadRequest, post(t, h, "/faults/store/delay?value=soon"))
	must.Eq(t, http.StatusNoContent, post(t, h, "/faults/store/2/die"))
	must.Eq(t, http.StatusNoContent, post(t, h, "/vms/desk-ruiru-1/leaving"))
	must.Eq(t, http.StatusBadRequest, post(t, h, "/vms/desk-ruiru-1/asleep"))
	vm, ok := h.VMs.Latest("desk-ruiru-1")
	must.True(t, ok)
	must.Eq(t, vmlist.Leaving, vm.State)

	resp, err := http.Get(h.URLs(host.NameAdmin)[0] + "/nodes")
	must.NoError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	var nodes []host.NodeReport
	must.NoError(t, json.Unmarshal(raw, &nodes))
	must.Len(t, 10, nodes)
}

func plainNode(h *host.Host) *host.Node {
	for _, n := range h.Nodes() {
		if n.Plain != nil {
			return n
		}
	}
	return nil
}

func TestServerAdvertisesLimit(t *testing.T) {
	h := start(t)
	desk := plainNode(h)
	for _, limit := range []string{"", "5.8", ""} {
		must.NoError(t, h.InjectFault(desk.Name, "name-limit", limit))
		resp, err := http.Get("http://" + desk.Address + "/")
		must.NoError(t, err)
		resp.Body.Close()
		must.Eq(t, limit, resp.Header.Get("X-Request-Limit"))
	}
}

func TestServerStatesThatItLeaves(t *testing.T) {
	h := start(t)
	desk := plainNode(h)
	for _, c := range []struct{ value, header string }{{"true", "1"}, {"false", ""}} {
		must.NoError(t, h.InjectFault(desk.Name, "say-leaving", c.value))
		resp, err := http.Get("http://" + desk.Address + "/")
		must.NoError(t, err)
		resp.Body.Close()
		must.Eq(t, c.header, resp.Header.Get("X-Backend-Leaving"))
	}
	must.Error(t, h.InjectFault(desk.Name, "say-leaving", "soon"))
}

func TestServerAsksForPause(t *testing.T) {
	h := start(t)
	desk := plainNode(h)
	must.NoError(t, h.InjectFault(desk.Name, "ask-pause", "3"))
	resp, err := http.Get("http://" + desk.Address + "/")
	must.NoError(t, err)
	resp.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.Eq(t, "3", resp.Header.Get("Retry-After"))
	must.Eq(t, "1", resp.Header.Get("X-Not-Run"))
	must.NoError(t, h.InjectFault(desk.Name, "ask-pause", ""))
	resp, err = http.Get("http://" + desk.Address + "/")
	must.NoError(t, err)
	resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

func TestRequestCrashesServer(t *testing.T) {
	h, ctx := start(t), t.Context()
	desk := plainNode(h)
	client := plain.NewClient(nil, 0)
	must.NoError(t, h.InjectFault(desk.Name, "crash-on", "bad"))
	good := plain.Call{Method: http.MethodPost, Path: "/", Body: []byte("good")}
	_, err := client.Do(ctx, desk.Address, good)
	must.NoError(t, err)
	_, err = client.Do(ctx, desk.Address, plain.Call{Method: http.MethodPost, Path: "/", Body: []byte("a bad one")})
	must.Error(t, err)
	_, err = client.Do(ctx, desk.Address, good)
	must.Error(t, err)
	must.NoError(t, h.InjectFault(desk.Name, "revive", ""))
	_, err = client.Do(ctx, desk.Address, good)
	must.NoError(t, err)
}

package generation

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/lineage"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/platform/engine"
	"mallowwind.dev/platform/standin/enginesim"
	"mallowwind.dev/platform/standin/tokencheck"
	"mallowwind.dev/platform/vmlist"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

// world is a deployment in one bubble of virtual time: managers that talk over
// an in-memory network, and stand-in engines.
type world struct {
	t        *testing.T
	managers map[string]*Manager
	engines  map[string]*enginesim.Sim
	net      *network
	site     *site.Site
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// network carries twirp calls between managers and can cut or freeze members.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[string]bool // member is dead or unreachable
	frozen   map[string]bool // calls to the member hang
}

func (n *network) set(m map[string]bool, id string, v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[id] = v
}

// port is the network as one member sees it.
type port struct {
	net  *network
	self string
}

// RoundTrip implements http.RoundTripper.
func (p port) RoundTrip(r *http.Request) (*http.Response, error) {
	p.net.mu.Lock()
	to := r.URL.Host
	h, cut := p.net.handlers[to], p.net.cut[to] || p.net.cut[p.self]
	frozen := p.net.frozen[to] || p.net.frozen[p.self]
	p.net.mu.Unlock()
	if frozen {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if cut || h == nil {
		return nil, errors.Errorf("%s unreachable", to)
	}
	time.Sleep(time.Millisecond)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

type fixedSite struct{ s *site.Site }

func (f fixedSite) Current() *site.Site { return f.s }

var zones = []string{"a", "b", "c"}

func newWorld(t *testing.T, seed uint64, weight float64) *world {
	w := &world{
		t: t, managers: map[string]*Manager{}, engines: map[string]*enginesim.Sim{},
		net: &network{handlers: map[string]http.Handler{}, cut: map[string]bool{}, frozen: map[string]bool{}},
	}
	w.site = &site.Site{
		Zones: zones,
		Services: map[string]*site.Service{"reviews": {
			Name: "reviews", Kind: site.KindGeneration, Pool: "p", Model: "m", Class: site.ClassNormal,
			Deadline: time.Minute, MaxTokens: 4000, LatencyWeight: weight, Repeatable: true,
		}},
		Accounts: map[string]*site.Account{"coop": {Name: "coop", Share: 1}},
		Pools:    map[string]*site.Pool{"p": {Name: "p", Slots: 32}},
		Limits:   site.DefaultLimits(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	w.stop = cancel
	snap := &backends.Snapshot{Version: 1, Pools: map[string][]*backends.Backend{}}
	for i := range 6 {
		id := fmt.Sprintf("e%d", i)
		sim := enginesim.New(enginesim.Config{Name: id, Seed: seed + uint64(i), Models: []engine.ModelRef{{Model: "m"}}})
		w.engines[id] = sim
		snap.Pools["p"] = append(snap.Pools["p"], &backends.Backend{
			VM:     vmlist.VM{ID: id, Address: id, Zone: zones[i%3], Pool: "p", Role: vmlist.RoleBackend, State: vmlist.Live},
			Engine: sim, Reachable: true, Seen: time.Now(),
			Status: engine.Status{Slots: 32, Models: []engine.Loaded{{Ref: engine.ModelRef{Model: "m"}, State: engine.Ready}}},
		})
	}
	var members []membership.Member
	for i := range 6 {
		id := fmt.Sprintf("vm%d", i)
		members = append(members, membership.Member{ID: id, Zone: zones[i%3], Peer: id, Caller: id, Incarnation: 1})
	}
	for _, self := range members {
		view := membership.Static{View: &membership.View{Self: self, Members: members}}
		reg := prometheus.NewRegistry()
		f := flow.New(flow.Config{
			Place: flow.Place{VM: self.ID, Zone: self.Zone}, Site: fixedSite{w.site},
			Backends: backends.Static{Snapshot: snap}, Members: view, Registerer: reg, Seed: seed,
		})
		m := NewManager(Config{
			Site: fixedSite{w.site}, Members: view, Flow: f, Log: event.Discard(), Metrics: reg,
			Dialer: link.NewDialerWith(&http.Client{Transport: port{w.net, self.ID}}),
		})
		_, w.net.handlers[self.ID] = m.Handler()
		w.managers[self.ID] = m
		w.wg.Go(func() { _ = f.Run(ctx) })
		w.wg.Go(func() { _ = m.Run(ctx) })
	}
	return w
}

func (w *world) close() {
	w.stop()
	w.wg.Wait()
	for _, e := range w.engines {
		e.Die()
	}
}

func (w *world) spec(prompt, key string, n int) *Spec {
	return &Spec{
		Account: w.site.Accounts["coop"], Service: w.site.Services["reviews"],
		Prompt: prompt, MaxTokens: n, Temperature: 1, Key: key,
	}
}

// caller reads one answer, on whichever entry VM it is told to use.
type caller struct {
	text strings.Builder
	pos  lineage.Position
}

// read takes batches from h until the answer ends or n tokens are held.
func (c *caller) read(ctx context.Context, h *Handle, n int) (done bool, err error) {
	for c.pos.Offset < n {
		b, err := h.Read(ctx, c.pos)
		if err != nil {
			return false, err
		}
		c.text.WriteString(strings.Join(b.Tokens, ""))
		c.pos = b.Position
		if b.Finish != "" {
			return true, nil
		}
	}
	return false, nil
}

func (c *caller) check(t *testing.T, prompt string, n int) {
	t.Helper()
	got, err := tokencheck.Check("m", prompt, c.text.String())
	must.NoError(t, err)
	must.Eq(t, n, got)
}

// backendOf names the engine that runs the generation now.
func (w *world) busyEngines() []string {
	var out []string
	for id, e := range w.engines {
		if s, err := e.Status(context.Background()); err == nil && s.Running > 0 {
			out = append(out, id)
		}
	}
	return out
}

// A driver's contract summary is half written when its engine dies. The
// caller sees a short pause and then the rest, each token once. Cause: the
// engine's connections break and it forgets the generation.
func TestEngineDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 1)
		defer w.close()
		m := w.managers["vm0"]
		h, err := m.Submit(t.Context(), w.spec("summarise", "", 300))
		must.NoError(t, err)
		defer h.Close()
		var c caller
		_, err = c.read(t.Context(), h, 100)
		must.NoError(t, err)
		for _, id := range w.busyEngines() {
			w.engines[id].Die()
		}
		began := time.Now()
		done, err := c.read(t.Context(), h, 400)
		must.NoError(t, err)
		must.True(t, done)
		c.check(t, "summarise", 300)
		t.Log("rest took", time.Since(began))
	})
}

// A caller reads an answer through one entry VM when that VM dies together
// with the engine. It connects to another entry VM with the id of its last
// event and gets the rest of the same answer.
func TestRouterAndEngineDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 1)
		defer w.close()
		h, err := w.managers["vm0"].Submit(t.Context(), w.spec("draft", "", 300))
		must.NoError(t, err)
		var c caller
		_, err = c.read(t.Context(), h, 100)
		must.NoError(t, err)
		w.net.set(w.net.cut, "vm0", true)
		for _, id := range w.busyEngines() {
			w.engines[id].Die()
		}
		h2 := w.managers["vm4"].Find(h.ID(), "coop")
		defer h2.Close()
		began := time.Now()
		done, err := c.read(t.Context(), h2, 400)
		must.NoError(t, err)
		must.True(t, done)
		c.check(t, "draft", 300)
		t.Log("rest took", time.Since(began))
		h.Close()
	})
}

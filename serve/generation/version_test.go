package generation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

const (
	testModel  = "granulator"
	oldVersion = "1"
	newVersion = "2"
	testPool   = "engines"
)

// laggingDaemon is a daemon whose backend snapshot is outdated: it shows versions as
// ready that the engines do not have.
type laggingDaemon struct {
	service  *site.Service
	manager  *Manager
	notReady []string // backend servers passed to Config.NotReady
}

type staticSite struct{ site *site.Site }

func (s staticSite) Current() *site.Site { return s.site }

// newLaggingDaemon starts a daemon. Its backend snapshot shows the versions in reported as
// ready on each engine, and the engines have those in actual.
func newLaggingDaemon(t *testing.T, reported, actual map[string][]string) *laggingDaemon {
	service := &site.Service{
		Name: "reviews", Kind: site.KindGeneration, Pool: testPool, Model: testModel, Version: newVersion,
		Class: site.ClassLong, Deadline: 30 * time.Second, MaxTokens: 100, Idempotent: true,
	}
	account := &site.Account{Name: "mill", Share: 1}
	source := staticSite{&site.Site{
		Services: map[string]*site.Service{service.Name: service},
		Accounts: map[string]*site.Account{account.Name: account},
		Pools:    map[string]*site.Pool{testPool: {Name: testPool, Slots: 8}},
		Limits:   site.DefaultLimits(),
	}}
	self := membership.Member{ID: "entry-1", Zone: "Pikine"}
	members := membership.Static{View: &membership.View{Self: self, Members: []membership.Member{self}}}
	snapshot := newSnapshot(reported, actual)
	registry := prometheus.NewRegistry()
	dispatcher := flow.New(flow.Config{
		Location: flow.Location{VM: self.ID, Zone: self.Zone}, Site: source, Members: members,
		Backends: backends.Static{Snapshot: snapshot}, Registerer: registry,
	})
	d := &laggingDaemon{service: service}
	d.manager = NewManager(Config{
		Site: source, Members: members, Dispatcher: dispatcher, Log: event.Discard(), Metrics: registry, Dialer: link.NewDialer(nil),
		ChooseVersion: func(s *site.Service, except ...string) *site.Service {
			chosen := *s
			wanted := engine.ModelRef{Model: s.Model, Version: s.Version}
			chosen.Version = snapshot.ChooseVersion(s.Pool, wanted, 0, except...).Version
			return &chosen
		},
		NotReady: func(backend string) { d.notReady = append(d.notReady, backend) },
	})
	go func() { _ = dispatcher.Run(t.Context()) }()
	go func() { _ = d.manager.Run(t.Context()) }()
	synctest.Wait() // until flow has applied the snapshot
	return d
}

func newSnapshot(reported, actual map[string][]string) *backends.Snapshot {
	s := &backends.Snapshot{Version: 1, Pools: map[string][]*backends.Backend{}}
	for _, id := range []string{"engine-1", "engine-2"} {
		sim := enginesim.New(enginesim.Config{Name: id, Models: refs(actual[id])})
		b := &backends.Backend{
			VM:     vmlist.VM{ID: id, Address: id, Pool: testPool, Role: vmlist.RoleBackend, State: vmlist.Live},
			Engine: sim, Reachable: true, StatusAt: time.Now(), Status: engine.Status{Slots: 8},
		}
		for _, r := range refs(reported[id]) {
			b.Status.Models = append(b.Status.Models, engine.LoadedModel{Ref: r, State: engine.Ready})
		}
		s.Pools[testPool] = append(s.Pools[testPool], b)
	}
	return s
}

func refs(versions []string) []engine.ModelRef {
	var all []engine.ModelRef
	for _, v := range versions {
		all = append(all, engine.ModelRef{Model: testModel, Version: v})
	}
	return all
}

// generate submits a request and reads the whole answer.
func (d *laggingDaemon) generate(ctx context.Context) error {
	h, err := d.manager.Submit(ctx, &Spec{
		Account: &site.Account{Name: "mill", Share: 1}, Service: d.service, Prompt: "contract", MaxTokens: 20,
	})
	if err != nil {
		return err
	}
	defer h.Close()
	var pos epochs.Position
	for {
		b, err := h.Read(ctx, pos)
		if err != nil {
			return err
		}
		pos = b.Position
		if b.Finish != "" {
			return nil
		}
	}
}

// A caller is refused because no backend server is left although an engine has the new
// version ready. This happens if the daemon chooses the old version for a new request
// from an outdated snapshot, the last engine with that version has started to unload it
// and refuses, and the request keeps the version chosen on arrival although it has run
// nowhere.
func TestOldVersionGoneBeforeRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLaggingDaemon(t,
			map[string][]string{"engine-1": {oldVersion}, "engine-2": {newVersion}},
			map[string][]string{"engine-1": {newVersion}, "engine-2": {newVersion}})
		for range 5 {
			must.NoError(t, d.generate(t.Context()))
		}
		must.SliceContains(t, d.notReady, "engine-1")
		must.SliceNotContains(t, d.notReady, "engine-2")
	})
}

// No engine has a version that the daemon's snapshot shows as ready. The caller must be
// told at once that its request was not run.
func TestNoVersionLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLaggingDaemon(t,
			map[string][]string{"engine-1": {oldVersion}, "engine-2": {newVersion}}, nil)
		begin := time.Now()
		err := d.generate(t.Context())
		var refusal *verdict.Error
		must.True(t, errors.As(err, &refusal))
		must.Eq(t, verdict.NotRun, refusal.Verdict)
		must.Eq(t, verdict.CodeNoBackend, refusal.Code)
		must.Less(t, time.Second, time.Since(begin))
	})
}

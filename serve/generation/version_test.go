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
	changingModel = "granulator"
	oldVersion    = "1"
	newVersion    = "2"
	changingPool  = "engines"
)

// changing is one daemon whose picture of the engines lags: it shows versions
// ready that their engines do not have.
type changing struct {
	service *site.Service
	manager *Manager
	unready []string // backend servers reported not to have a version
}

type oneSite struct{ s *site.Site }

func (o oneSite) Current() *site.Site { return o.s }

// newChanging starts a daemon that believes each engine to have the versions
// that believed names, and whose engines have those that holds names.
func newChanging(t *testing.T, believed, holds map[string][]string) *changing {
	service := &site.Service{
		Name: "reviews", Kind: site.KindGeneration, Pool: changingPool, Model: changingModel, Version: newVersion,
		Class: site.ClassLong, Deadline: 30 * time.Second, MaxTokens: 100, Idempotent: true,
	}
	account := &site.Account{Name: "mill", Share: 1}
	in := oneSite{&site.Site{
		Services: map[string]*site.Service{service.Name: service},
		Accounts: map[string]*site.Account{account.Name: account},
		Pools:    map[string]*site.Pool{changingPool: {Name: changingPool, Slots: 8}},
		Limits:   site.DefaultLimits(),
	}}
	self := membership.Member{ID: "entry-1", Zone: "Pikine"}
	members := membership.Static{View: &membership.View{Self: self, Members: []membership.Member{self}}}
	snapshot := picture(believed, holds)
	registry := prometheus.NewRegistry()
	f := flow.New(flow.Config{
		Location: flow.Location{VM: self.ID, Zone: self.Zone}, Site: in, Members: members,
		Backends: backends.Static{Snapshot: snapshot}, Registerer: registry,
	})
	c := &changing{service: service}
	c.manager = NewManager(Config{
		Site: in, Members: members, Dispatcher: f, Log: event.Discard(), Metrics: registry, Dialer: link.NewDialer(nil),
		ChooseVersion: func(s *site.Service, except ...string) *site.Service {
			chosen := *s
			wanted := engine.ModelRef{Model: s.Model, Version: s.Version}
			chosen.Version = snapshot.ChooseVersion(s.Pool, wanted, 0, except...).Version
			return &chosen
		},
		NotReady: func(backend string) { c.unready = append(c.unready, backend) },
	})
	go func() { _ = f.Run(t.Context()) }()
	go func() { _ = c.manager.Run(t.Context()) }()
	synctest.Wait() // flow has taken the picture in
	return c
}

func picture(believed, holds map[string][]string) *backends.Snapshot {
	s := &backends.Snapshot{Version: 1, Pools: map[string][]*backends.Backend{}}
	for _, id := range []string{"engine-1", "engine-2"} {
		sim := enginesim.New(enginesim.Config{Name: id, Models: refs(holds[id])})
		b := &backends.Backend{
			VM:     vmlist.VM{ID: id, Address: id, Pool: changingPool, Role: vmlist.RoleBackend, State: vmlist.Live},
			Engine: sim, Reachable: true, StatusAt: time.Now(), Status: engine.Status{Slots: 8},
		}
		for _, r := range refs(believed[id]) {
			b.Status.Models = append(b.Status.Models, engine.LoadedModel{Ref: r, State: engine.Ready})
		}
		s.Pools[changingPool] = append(s.Pools[changingPool], b)
	}
	return s
}

func refs(versions []string) []engine.ModelRef {
	var all []engine.ModelRef
	for _, v := range versions {
		all = append(all, engine.ModelRef{Model: changingModel, Version: v})
	}
	return all
}

// ask reads one whole answer.
func (c *changing) ask(ctx context.Context) error {
	h, err := c.manager.Submit(ctx, &Spec{
		Account: &site.Account{Name: "mill", Share: 1}, Service: c.service, Prompt: "contract", MaxTokens: 20,
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

// A caller is told that no backend server takes its request while an engine
// with the new version stands ready. Order: the daemon chooses the old version
// for a new request; the last engine with it has begun to unload it and refuses;
// the daemon's picture of the engines still shows it ready. Cause: a request
// that had run nowhere kept the version chosen on its arrival.
func TestOldVersionGoneBeforeRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChanging(t,
			map[string][]string{"engine-1": {oldVersion}, "engine-2": {newVersion}},
			map[string][]string{"engine-1": {newVersion}, "engine-2": {newVersion}})
		for range 5 {
			must.NoError(t, c.ask(t.Context()))
		}
		must.SliceContains(t, c.unready, "engine-1")
		must.SliceNotContains(t, c.unready, "engine-2")
	})
}

// No engine has any version that the daemon believes ready. The caller hears at
// once, and truly, that its request was not run.
func TestNoVersionLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChanging(t,
			map[string][]string{"engine-1": {oldVersion}, "engine-2": {newVersion}}, nil)
		began := time.Now()
		err := c.ask(t.Context())
		var refused *verdict.Error
		must.True(t, errors.As(err, &refused))
		must.Eq(t, verdict.NotRun, refused.Verdict)
		must.Eq(t, verdict.CodeNoBackend, refused.Code)
		must.Less(t, time.Second, time.Since(began))
	})
}

package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/site"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/telemetry/event"
)

// The shape of the fleet that the sizes are measured on.
const (
	zones  = 7
	models = 15
)

func zoneOf(i int) string  { return fmt.Sprintf("zone-%d", i%zones) }
func modelOf(i int) string { return fmt.Sprintf("model-%02d", i%models) }

// fleet returns the rows of a VM list with zones and pools evenly filled.
func fleet(daemons, replicas int) []vmlist.VM {
	var vms []vmlist.VM
	add := func(i int, role vmlist.Role, pool string) {
		vms = append(vms, vmlist.VM{
			ID: fmt.Sprintf("%s-%04d", role, i), Address: fmt.Sprintf("10.%d.%d.%d:8080", len(role), i/250, i%250),
			Zone: zoneOf(i), Region: fmt.Sprintf("region-%d", i%zones%3), Role: role, Pool: pool, State: vmlist.Live,
		})
	}
	for i := range daemons {
		add(i, vmlist.RoleEntry, "")
	}
	for i := range replicas {
		// Zones and models have no common divisor, so each pool has servers in
		// each zone.
		add(i, vmlist.RoleBackend, modelOf(i))
	}
	return vms
}

// fixedList is a VM list that never changes.
type fixedList []vmlist.VM

// List implements vmlist.Source.
func (l fixedList) List(context.Context) ([]vmlist.VM, error) { return l, nil }

// snapshot returns n backend servers that are ready with the model of their pool.
func snapshot(n int) *backends.Snapshot {
	s := &backends.Snapshot{Version: 1, Pools: make(map[string][]*backends.Backend)}
	for _, vm := range fleet(0, n) {
		s.Pools[vm.Pool] = append(s.Pools[vm.Pool], &backends.Backend{
			VM: vm, Reachable: true, StatusAt: time.Now(),
			Status: engine.Status{
				Role: engine.RoleMixed, Slots: 64, TokensPerSecond: 1000,
				Models: []engine.LoadedModel{{Ref: engine.ModelRef{Model: vm.Pool}, State: engine.Ready}},
			},
		})
	}
	return s
}

// testSite returns a site with one service a model and n accounts.
func testSite(accounts int) *site.Site {
	s := &site.Site{
		Name: "slopes", Revision: 1, Limits: site.DefaultLimits(),
		Services: make(map[string]*site.Service), Pools: make(map[string]*site.Pool), Accounts: make(map[string]*site.Account),
	}
	for i := range models {
		name := modelOf(i)
		s.Pools[name] = &site.Pool{Name: name, Slots: 64}
		s.Services[name] = &site.Service{
			Name: name, Kind: site.KindGeneration, Pool: name, Model: name,
			Class: site.ClassNormal, Deadline: 30 * time.Second, MaxTokens: 1000,
		}
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		s.Accounts[name] = &site.Account{Name: name, Share: 1}
	}
	return s
}

// fixedSite is a site in force that never changes.
type fixedSite struct{ site *site.Site }

// Current implements site.Source.
func (f fixedSite) Current() *site.Site { return f.site }

// discard returns a log that formats every line, as a daemon's does, and
// writes it nowhere.
func discard() *event.Log {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetFormatter(&logrus.JSONFormatter{})
	return event.New(l, "entry-0000", "zone-0")
}

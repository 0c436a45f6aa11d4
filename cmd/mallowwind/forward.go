package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/platform/kv"
	"mallowwind.dev/platform/nodefile"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/gateway"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

// memoryShare is the share of the limit on the process from which memory is given back
// sooner: the platform kills a process beyond the limit, and buffers of the kernel count.
const memoryShare = 0.8

// collectAt is how much the heap grows between two collections, in percent: entry VMs have
// processor time to spare and little memory.
const collectAt = 50

// forwardCmd forwards requests by the configuration in the platform's store.
type forwardCmd struct {
	Config   string `type:"path" placeholder:"FILE" help:"Settings of our own, with a key-value service of ours; see docs/settings.md."`
	Settings string `env:"${settings_env}" type:"path" placeholder:"FILE" help:"The platform's settings file of this machine, where --config is not given."`
	Check    bool   `help:"Check the settings and exit."`
	Metrics  int    `default:"0" placeholder:"PORT" help:"With --settings: the port of this machine at which metrics are served; 0 serves none."`
	LogLevel string `default:"info" enum:"error,warning,info,debug" help:"With --settings: the least level that is logged."`
}

// Run forwards until a signal ends it.
func (c *forwardCmd) Run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: by default it ends the process
	if c.Config != "" {
		return runOwn(c.Config, c.Check)
	}
	if c.Settings == "" {
		return usageError{errors.New("neither --config nor --settings is given")}
	}
	s, err := nodefile.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	if c.Check {
		return nil
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitBytes)))
	debug.SetGCPercent(collectAt)
	return runGateway(c.LogLevel, s.VM, s.Zone, func(events *event.Log) (gateway.Options, error) {
		o, err := gatewayOptions(s, events)
		if err != nil || c.Metrics == 0 {
			return o, err
		}
		o.Metrics, err = net.Listen("tcp", net.JoinHostPort(s.IP, strconv.Itoa(c.Metrics)))
		return o, errors.Wrap(err, "metrics")
	}, func(g *gateway.Gateway, o gateway.Options) {
		c.reload(hup, s, o.Log, func(now *nodefile.Settings) {
			o.Store.(*kv.Client).SetAddress(now.StoreAddress)
			g.Apply(bounds(now))
		})
	})
}

// bounds are the settings that may change while the daemon runs.
func bounds(s *nodefile.Settings) gateway.DynamicOptions {
	return gateway.DynamicOptions{
		MaxKeyAge: s.KeyRevocationDelay, GracePeriod: s.DrainGrace, Seeds: s.Seeds,
		RetryBudget:   retrybudget.Policy{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		RolloutLimits: rollout.Limits{Share: s.CanaryRatio, Slack: s.CanarySlack},
	}
}

func gatewayOptions(s *nodefile.Settings, events *event.Log) (gateway.Options, error) {
	keep := min(keepAnswers, s.MaxDirectoryTTL)
	o := gateway.Options{
		Self:           routing.VM{ID: s.VM, Zone: s.Zone, Address: s.CallerAddress, PeerAddress: s.PeerAddress},
		Store:          kv.New(s.StoreAddress),
		Schema:         wire.Schema{},
		Codec:          wire.Codec{},
		Clock:          bootClock,
		Log:            events,
		DynamicOptions: bounds(s),
		Dialer:         link.NewDialer(nil),
		MinLeaseTTL:    s.MinLeaseTTL,
		Registry:       metric.NewCatalogue(),
		AddressTTL:     keep,
		ReadyHandler:   wire.ReadyHandler,
		DirectoryHandler: func(addresses func(zone string) []string) http.Handler {
			return wire.DirectoryHandler(func(q wire.DirectoryRequest) []string { return addresses(q.Zone) }, keep)
		},
	}
	err := listen([]socket{
		{&o.Callers, s.CallerAddress}, {&o.Readiness, s.ReadinessAddress}, {&o.Directory, s.DirectoryAddress}, {&o.Peers, s.PeerAddress},
	})
	return o, err
}

// reloadEvery is how often the settings file is looked at: it may change without
// a signal.
const reloadEvery = 2 * time.Second

// reload applies the settings at SIGHUP and when the file has changed. The
// addresses at which this daemon listens hold for the life of the process. A file
// that cannot be used changes nothing.
func (c *forwardCmd) reload(hup <-chan os.Signal, now *nodefile.Settings, events *event.Log, apply func(*nodefile.Settings)) {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		asked := false
		select {
		case <-hup:
			asked = true
		case <-tick.C:
		}
		next, err := nodefile.Load(c.Settings)
		if err == nil && !reflect.DeepEqual(now, next) {
			now = next
			apply(next)
			asked = true
		}
		if asked {
			events.Emit(event.SettingsReloaded, c.Settings, err)
		}
	}
}

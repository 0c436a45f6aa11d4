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

// memoryLimitRatio is the Go runtime's memory limit as a fraction of the process's limit. It is
// below 1 because the platform kills a process beyond its limit, and kernel buffers count towards
// it.
const memoryLimitRatio = 0.8

// ownMemoryBytes is the part of the Go runtime's memory that is not for requests: what the daemon holds
// without any, and freed memory that is not collected yet.
const ownMemoryBytes = 40 << 20

// minRequestMemoryRatio is the part of the process's limit that is for requests at least.
const minRequestMemoryRatio = 0.25

// gcPercent is how much the heap may grow between two garbage collections, in percent. It is low
// because entry VMs have spare CPU time and little memory.
const gcPercent = 50

// forwardCmd forwards requests according to the configuration in the platform's store or, with
// --config, in this project's own key-value service.
type forwardCmd struct {
	Config   string `type:"path" placeholder:"FILE" help:"Settings file of this project, which names its own key-value service; see docs/settings.md."`
	Settings string `env:"${settings_env}" type:"path" placeholder:"FILE" help:"The platform's settings file of this machine; ignored if --config is given."`
	Check    bool   `help:"Check the settings and exit."`
	Metrics  int    `default:"0" placeholder:"PORT" help:"With --settings: port of this machine on which metrics are served; 0 serves none."`
	LogLevel string `default:"info" enum:"error,warning,info,debug" help:"With --settings: the minimum level that is logged."`
}

// Run forwards until a signal ends it.
func (c *forwardCmd) Run() error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: by default SIGHUP ends the process
	if c.Config != "" {
		return runOwnGateway(c.Config, c.Check)
	}
	if c.Settings == "" {
		return usageError{errors.New("no settings are given: use --config FILE or --settings FILE")}
	}
	s, err := nodefile.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	if c.Check {
		return nil
	}
	debug.SetMemoryLimit(runtimeMemory(s))
	debug.SetGCPercent(gcPercent)
	return runGateway(c.LogLevel, s.VM, s.Zone, func(events *event.Log) (gateway.Options, error) {
		o, err := platformGatewayOptions(s, events)
		if err != nil || c.Metrics == 0 {
			return o, err
		}
		o.Metrics, err = net.Listen("tcp", net.JoinHostPort(s.IP, strconv.Itoa(c.Metrics)))
		return o, errors.Wrap(err, "metrics")
	}, func(g *gateway.Gateway, o gateway.Options) {
		c.reload(hup, s, o.Log, func(next *nodefile.Settings) {
			o.Store.(*kv.Client).SetAddress(next.StoreAddress)
			debug.SetMemoryLimit(runtimeMemory(next))
			g.Apply(gatewayBounds(next))
		})
	})
}

// runtimeMemory returns the Go runtime's memory limit in bytes.
func runtimeMemory(s *nodefile.Settings) int64 {
	return int64(memoryLimitRatio * float64(s.MemoryLimitBytes))
}

// requestMemory returns how many bytes the requests in progress may hold together.
func requestMemory(s *nodefile.Settings) int64 {
	return max(runtimeMemory(s)-ownMemoryBytes, int64(minRequestMemoryRatio*float64(s.MemoryLimitBytes)))
}

// gatewayBounds returns the settings that may change while the daemon runs.
func gatewayBounds(s *nodefile.Settings) gateway.DynamicOptions {
	return gateway.DynamicOptions{
		MaxKeyAge: s.KeyRevocationDelay, GracePeriod: s.DrainGrace, Seeds: s.Seeds,
		RetryBudget:   retrybudget.Policy{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
		RolloutLimits: rollout.Limits{Share: s.CanaryRatio, Slack: s.CanarySlack},
		MemoryBudget:  requestMemory(s),
	}
}

func platformGatewayOptions(s *nodefile.Settings, events *event.Log) (gateway.Options, error) {
	keep := min(maxDirectoryTTL, s.MaxDirectoryTTL)
	o := gateway.Options{
		Self:           routing.VM{ID: s.VM, Zone: s.Zone, Address: s.CallerAddress, PeerAddress: s.PeerAddress, LinkMbps: s.LinkMbps},
		Store:          kv.New(s.StoreAddress),
		Schema:         wire.Schema{},
		Codec:          wire.Codec{},
		Clock:          bootClock,
		Log:            events,
		DynamicOptions: gatewayBounds(s),
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

// reloadInterval is how often the settings file is read, because it may change without a signal.
const reloadInterval = 2 * time.Second

// reload reads the settings file at SIGHUP and every reloadInterval, and applies the settings if
// they differ. The addresses that the daemon listens on stay the same for the life of the process.
// An invalid file changes nothing.
func (c *forwardCmd) reload(hup <-chan os.Signal, current *nodefile.Settings, events *event.Log, apply func(*nodefile.Settings)) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		shouldLog := false
		select {
		case <-hup:
			shouldLog = true
		case <-tick.C:
		}
		next, err := nodefile.Load(c.Settings)
		if err == nil && !reflect.DeepEqual(current, next) {
			current = next
			apply(next)
			shouldLog = true
		}
		if shouldLog {
			events.Emit(event.SettingsReloaded, c.Settings, err)
		}
	}
}

package standins

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inifile"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/host"
	"mallowwind.dev/external/vmlist"
)

var platformFields = []inifile.Field[host.Config]{
	{Name: "admin", Help: "address of reports and fault injection", Set: addressSetter(func(c *host.Config) *string { return &c.Admin })},
	{Name: "seed", Default: "0", Help: "seed of every random source", Set: setter(parseSeed, func(c *host.Config) *uint64 { return &c.Seed })},
}

var storeFields = []inifile.Field[host.StoreConfig]{
	{Name: "listen", Required: true, Help: "addresses of its endpoints, comma-separated", Set: setEndpoints},
	{Name: "reads_per_s", Default: "no limit", Help: "reads per second above which calls are refused", Set: positiveIntSetter(func(s *host.StoreConfig) *int { return &s.ReadsPerSecond })},
	{Name: "writes_per_s", Default: "no limit", Help: "writes per second above which calls are refused", Set: positiveIntSetter(func(s *host.StoreConfig) *int { return &s.WritesPerSecond })},
}

var vmListFields = []inifile.Field[host.VMListConfig]{
	{Name: "listen", Required: true, Help: "address of the VM list", Set: addressSetter(func(v *host.VMListConfig) *string { return &v.Listen })},
	{Name: "lag", Default: "0s", Help: "delay until changes become visible", Set: durationSetter(func(v *host.VMListConfig) *time.Duration { return &v.Lag })},
}

var weightsFields = []inifile.Field[host.WeightsConfig]{
	{Name: "listen", Required: true, Help: "address of the weight store's report", Set: addressSetter(func(w *host.WeightsConfig) *string { return &w.Listen })},
	{Name: "capacity", Default: "1", Help: "maximum number of concurrent fetches", Set: positiveIntSetter(func(w *host.WeightsConfig) *int { return &w.MaxConcurrentFetches })},
	{Name: "fetch", Default: "0s", Help: "duration of one fetch without contention", Set: durationSetter(func(w *host.WeightsConfig) *time.Duration { return &w.FetchTime })},
}

var entryFields = []inifile.Field[vmlist.VM]{
	{Name: "address", Required: true, Help: "where other entry VMs reach it: its peer_listen", Set: addressSetter(func(v *vmlist.VM) *string { return &v.Address })},
	{Name: "zone", Required: true, Help: "its availability zone", Set: stringSetter(func(v *vmlist.VM) *string { return &v.Zone })},
	{Name: "region", Help: "region of the zone", Set: stringSetter(func(v *vmlist.VM) *string { return &v.Region })},
}

// poolFields are the fields that engine pools and plain services have in common.
var poolFields = []inifile.Field[host.PoolConfig]{
	{Name: "listen", Required: true, Help: "address of the first server; each further one takes the next port", Set: addressSetter(func(p *host.PoolConfig) *string { return &p.Listen })},
	{Name: "zones", Required: true, Help: "availability zones, comma-separated", Set: setZones},
	{Name: "replicas", Required: true, Help: "backend servers in each zone", Set: positiveIntSetter(func(p *host.PoolConfig) *int { return &p.ServersPerZone })},
	{Name: "region", Help: "region of the zones", Set: stringSetter(func(p *host.PoolConfig) *string { return &p.Region })},
}

var plainFields = append([]inifile.Field[host.PoolConfig]{
	{Name: "work", Default: "0s", Help: "duration of one call", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.CallTime })},
}, poolFields...)

var engineFields = append([]inifile.Field[host.PoolConfig]{
	{Name: "models", Help: "models ready from the start, comma-separated, each model[:adapter[:version]]", Set: setModels},
	{Name: "slots", Default: "32", Help: "maximum batch size", Set: positiveIntSetter(func(p *host.PoolConfig) *int { return &p.Engine.Slots })},
	{Name: "queue", Default: "64", Help: "maximum length of the queue", Set: positiveIntSetter(func(p *host.PoolConfig) *int { return &p.Engine.QueueLimit })},
	{Name: "max_models", Default: "4", Help: "maximum number of models loaded at once", Set: positiveIntSetter(func(p *host.PoolConfig) *int { return &p.Engine.MaxModels })},
	{Name: "step_base", Default: "12ms", Help: "fixed part of the step time", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.Engine.StepBase })},
	{Name: "step_per_request", Default: "500us", Help: "step time added per generation in the batch", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.Engine.StepPerRequest })},
	{Name: "prefill_per_token", Default: "100us", Help: "step time added per prefilled token", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.Engine.PrefillPerToken })},
	{Name: "cache_blocks", Default: "4096", Help: "capacity of the prompt cache, in blocks of 256 bytes", Set: positiveIntSetter(func(p *host.PoolConfig) *int { return &p.Engine.CacheBlocks })},
	{Name: "memory", Help: "maximum number of prompt and answer tokens in the batch; no limit if left out", Set: positiveIntSetter(func(p *host.PoolConfig) *int { return &p.Engine.MemoryTokens })},
	{Name: "linger", Default: "30s", Help: "time after which a generation without a reader is cancelled", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.Engine.UnreadTimeout })},
	{Name: "status_lag", Default: "0s", Help: "minimum age of reported load figures", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.Engine.StatusLag })},
	{Name: "event_delay", Default: "0s", Help: "delay of cache events", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.Engine.EventDelay })},
	{Name: "event_loss", Default: "0", Help: "fraction of cache events that are lost, 0 to 1", Set: setter(parseRatio, func(p *host.PoolConfig) *float64 { return &p.Engine.EventLossRatio })},
	{Name: "fencing", Default: "no", Help: "whether orders with a stale fencing number are refused", Set: setter(parseYesNo, func(p *host.PoolConfig) *bool { return &p.Engine.EnforceFencing })},
	{Name: "load_time", Default: "5s", Help: "time to load weights once fetched", Set: durationSetter(func(p *host.PoolConfig) *time.Duration { return &p.Engine.LoadTime })},
}, poolFields...)

// setter returns a field setter that parses the value and stores the result.
func setter[T, V any](parse func(string) (V, error), field func(*T) *V) func(*T, string, string) error {
	return func(to *T, _, value string) error {
		v, err := parse(value)
		if err == nil {
			*field(to) = v
		}
		return err
	}
}

func stringSetter[T any](field func(*T) *string) func(*T, string, string) error {
	return setter(func(s string) (string, error) {
		if s == "" {
			return "", errors.New("write a value or leave the key out")
		}
		return s, nil
	}, field)
}

func addressSetter[T any](field func(*T) *string) func(*T, string, string) error {
	return setter(parseAddress, field)
}

func positiveIntSetter[T any](field func(*T) *int) func(*T, string, string) error {
	return setter(func(s string) (int, error) {
		n, err := strconv.Atoi(s)
		if err != nil || n <= 0 {
			return 0, errors.New("write a whole number above 0")
		}
		return n, nil
	}, field)
}

func durationSetter[T any](field func(*T) *time.Duration) func(*T, string, string) error {
	return setter(func(s string) (time.Duration, error) {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 {
			return 0, errors.New("write a time such as 200ms, 3s or 2m")
		}
		return d, nil
	}, field)
}

func parseAddress(s string) (string, error) {
	if a, err := netip.ParseAddrPort(s); err != nil || !a.Addr().IsLoopback() {
		return "", errors.New("write a loopback IP number and a port, such as 127.0.0.1:7100")
	}
	return s, nil
}

func parseSeed(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, errors.New("write a whole number, 0 or above")
	}
	return n, nil
}

func parseRatio(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f >= 0 && f <= 1) {
		return 0, errors.New("write a number from 0 to 1")
	}
	return f, nil
}

func parseYesNo(s string) (bool, error) {
	if s != "yes" && s != "no" {
		return false, errors.New("write yes or no")
	}
	return s == "yes", nil
}

func setEndpoints(s *host.StoreConfig, _, value string) error {
	for _, item := range inifile.List(value) {
		if _, err := parseAddress(item); err != nil {
			return err
		}
		s.Listen = append(s.Listen, item)
	}
	return nil
}

func setZones(p *host.PoolConfig, _, value string) error {
	p.Zones = inifile.List(value)
	if len(p.Zones) == 0 {
		return errors.New("write one availability zone or more")
	}
	return nil
}

func setModels(p *host.PoolConfig, _, value string) error {
	for _, item := range inifile.List(value) {
		ref, err := parseModelRef(item)
		if err != nil {
			return err
		}
		p.Engine.Models = append(p.Engine.Models, ref)
	}
	return nil
}

func parseModelRef(s string) (engine.ModelRef, error) {
	parts := strings.Split(s, ":")
	if len(parts) > 3 || parts[0] == "" {
		return engine.ModelRef{}, errors.New("write model, model:adapter or model:adapter:version")
	}
	parts = append(parts, "", "")
	return engine.ModelRef{Model: parts[0], Adapter: parts[1], Version: parts[2]}, nil
}

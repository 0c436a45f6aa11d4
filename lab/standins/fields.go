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
	{Name: "admin", Help: "address of reports and fault injection", Set: address(func(c *host.Config) *string { return &c.Admin })},
	{Name: "seed", Default: "0", Help: "seed of every random source", Set: set(parseSeed, func(c *host.Config) *uint64 { return &c.Seed })},
}

var storeFields = []inifile.Field[host.Store]{
	{Name: "listen", Required: true, Help: "addresses of its endpoints, comma-separated", Set: setEndpoints},
	{Name: "reads_per_s", Default: "no limit", Help: "reads a second above which calls are refused", Set: number(func(s *host.Store) *int { return &s.ReadsPerS })},
	{Name: "writes_per_s", Default: "no limit", Help: "writes a second above which calls are refused", Set: number(func(s *host.Store) *int { return &s.WritesPerS })},
}

var vmListFields = []inifile.Field[host.VMList]{
	{Name: "listen", Required: true, Help: "address of the VM list", Set: address(func(v *host.VMList) *string { return &v.Listen })},
	{Name: "lag", Default: "0s", Help: "how late changes show", Set: duration(func(v *host.VMList) *time.Duration { return &v.Lag })},
}

var weightsFields = []inifile.Field[host.Weights]{
	{Name: "listen", Required: true, Help: "address of the weight store's report", Set: address(func(w *host.Weights) *string { return &w.Listen })},
	{Name: "capacity", Default: "1", Help: "fetches at once", Set: number(func(w *host.Weights) *int { return &w.Capacity })},
	{Name: "fetch", Default: "0s", Help: "time of one fetch alone", Set: duration(func(w *host.Weights) *time.Duration { return &w.Fetch })},
}

var entryFields = []inifile.Field[vmlist.VM]{
	{Name: "address", Required: true, Help: "where other entry VMs reach it: its peer_listen", Set: address(func(v *vmlist.VM) *string { return &v.Address })},
	{Name: "zone", Required: true, Help: "its availability zone", Set: text(func(v *vmlist.VM) *string { return &v.Zone })},
	{Name: "region", Help: "region of the zone", Set: text(func(v *vmlist.VM) *string { return &v.Region })},
}

// poolFields are those of engines and plain services alike.
var poolFields = []inifile.Field[host.Pool]{
	{Name: "listen", Required: true, Help: "address of the first; each further one takes the next port", Set: address(func(p *host.Pool) *string { return &p.Listen })},
	{Name: "zones", Required: true, Help: "availability zones, comma-separated", Set: setZones},
	{Name: "replicas", Required: true, Help: "backend servers in each zone", Set: number(func(p *host.Pool) *int { return &p.Replicas })},
	{Name: "region", Help: "region of the zones", Set: text(func(p *host.Pool) *string { return &p.Region })},
}

var plainFields = append([]inifile.Field[host.Pool]{
	{Name: "work", Default: "0s", Help: "time of one call", Set: duration(func(p *host.Pool) *time.Duration { return &p.Work })},
}, poolFields...)

var engineFields = append([]inifile.Field[host.Pool]{
	{Name: "models", Help: "models ready from the start, comma-separated, each model[:adapter[:version]]", Set: setModels},
	{Name: "slots", Default: "32", Help: "largest batch", Set: number(func(p *host.Pool) *int { return &p.Engine.Slots })},
	{Name: "queue", Default: "64", Help: "longest waiting queue", Set: number(func(p *host.Pool) *int { return &p.Engine.QueueLimit })},
	{Name: "max_models", Default: "4", Help: "sets of weights held at once", Set: number(func(p *host.Pool) *int { return &p.Engine.MaxModels })},
	{Name: "step_base", Default: "12ms", Help: "time of a step apart from its load", Set: duration(func(p *host.Pool) *time.Duration { return &p.Engine.StepBase })},
	{Name: "step_per_request", Default: "500us", Help: "added for each running generation", Set: duration(func(p *host.Pool) *time.Duration { return &p.Engine.StepPerRequest })},
	{Name: "prefill_per_token", Default: "100us", Help: "added for each prompt token worked off", Set: duration(func(p *host.Pool) *time.Duration { return &p.Engine.PrefillPerToken })},
	{Name: "cache_blocks", Default: "4096", Help: "prompt blocks of 256 bytes kept", Set: number(func(p *host.Pool) *int { return &p.Engine.CacheBlocks })},
	{Name: "memory", Help: "tokens of prompts and answers that the batch may hold; no bound if left out", Set: number(func(p *host.Pool) *int { return &p.Engine.MemoryTokens })},
	{Name: "linger", Default: "30s", Help: "how long a generation runs on with no reader", Set: duration(func(p *host.Pool) *time.Duration { return &p.Engine.UnreadTimeout })},
	{Name: "status_lag", Default: "0s", Help: "age of load figures", Set: duration(func(p *host.Pool) *time.Duration { return &p.Engine.StatusLag })},
	{Name: "event_delay", Default: "0s", Help: "lateness of cache events", Set: duration(func(p *host.Pool) *time.Duration { return &p.Engine.EventDelay })},
	{Name: "event_loss", Default: "0", Help: "share of cache events lost, 0 to 1", Set: set(parseShare, func(p *host.Pool) *float64 { return &p.Engine.EventLossRatio })},
	{Name: "fencing", Default: "no", Help: "whether orders with an old fencing number are refused", Set: set(parseYesNo, func(p *host.Pool) *bool { return &p.Engine.EnforceFencing })},
	{Name: "load_time", Default: "5s", Help: "time to load weights once fetched", Set: duration(func(p *host.Pool) *time.Duration { return &p.Engine.LoadTime })},
}, poolFields...)

// set returns a setter that parses into the field.
func set[T, V any](parse func(string) (V, error), field func(*T) *V) func(*T, string, string) error {
	return func(to *T, _, value string) error {
		v, err := parse(value)
		if err == nil {
			*field(to) = v
		}
		return err
	}
}

func text[T any](field func(*T) *string) func(*T, string, string) error {
	return set(func(s string) (string, error) {
		if s == "" {
			return "", errors.New("write a value or leave the key out")
		}
		return s, nil
	}, field)
}

func address[T any](field func(*T) *string) func(*T, string, string) error {
	return set(parseAddress, field)
}

func number[T any](field func(*T) *int) func(*T, string, string) error {
	return set(func(s string) (int, error) {
		n, err := strconv.Atoi(s)
		if err != nil || n <= 0 {
			return 0, errors.New("write a whole number above 0")
		}
		return n, nil
	}, field)
}

func duration[T any](field func(*T) *time.Duration) func(*T, string, string) error {
	return set(func(s string) (time.Duration, error) {
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

func parseShare(s string) (float64, error) {
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

func setEndpoints(s *host.Store, _, value string) error {
	for _, item := range inifile.List(value) {
		if _, err := parseAddress(item); err != nil {
			return err
		}
		s.Listen = append(s.Listen, item)
	}
	return nil
}

func setZones(p *host.Pool, _, value string) error {
	p.Zones = inifile.List(value)
	if len(p.Zones) == 0 {
		return errors.New("write one availability zone or more")
	}
	return nil
}

func setModels(p *host.Pool, _, value string) error {
	for _, item := range inifile.List(value) {
		ref, err := parseRef(item)
		if err != nil {
			return err
		}
		p.Engine.Models = append(p.Engine.Models, ref)
	}
	return nil
}

func parseRef(s string) (engine.ModelRef, error) {
	parts := strings.Split(s, ":")
	if len(parts) > 3 || parts[0] == "" {
		return engine.ModelRef{}, errors.New("write model, model:adapter or model:adapter:version")
	}
	parts = append(parts, "", "")
	return engine.ModelRef{Model: parts[0], Adapter: parts[1], Version: parts[2]}, nil
}

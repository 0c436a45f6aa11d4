package routing

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// document is the JSON form of a configuration in the store.
type document struct {
	Version int64 `json:"version"`
	Limits  struct {
		HeaderBytes   int      `json:"header_bytes"`
		BodyBytes     int64    `json:"body_bytes"`
		HeaderTimeout duration `json:"header_timeout"`
		IdleTimeout   duration `json:"idle_timeout"`
	} `json:"limits"`
	Services []struct {
		Name       string  `json:"name"`
		Engine     *Engine `json:"engine"`
		HealthPath string  `json:"health_path"`
	} `json:"services"`
	Routes []documentRoute `json:"routes"`
	// Accounts is nil if no route requires an account key.
	Accounts *[]struct {
		Name     string   `json:"name"`
		Priority *int     `json:"priority"`
		Keys     []string `json:"keys"`
	} `json:"accounts"`
}

type documentRoute struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"prefix"`
	Kind      string   `json:"kind"` // as Kind.String
	Timeout   duration `json:"timeout"`
	Objective duration `json:"objective"`
	GapTarget duration `json:"gap_target"`
	Attempts  int      `json:"attempts"`
	Priority  int      `json:"priority"`
	Public    bool     `json:"public"`
	Resumable bool     `json:"resumable"`
	Targets   []Target `json:"targets"`
}

// duration is encoded as a string in the format of time.Duration, such as 1.5s.
type duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "duration")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		return errors.Errorf("duration: %q is not a valid non-negative duration", text)
	}
	*d = duration(parsed)
	return nil
}

// Decode parses and validates a configuration. The error names the part that is invalid.
func Decode(raw []byte) (*Config, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if d.Version <= 0 {
		return nil, errors.Errorf("configuration: version %d is not above 0", d.Version)
	}
	var services []*Service
	serviceNames := map[string]bool{}
	for _, s := range d.Services {
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			return nil, errors.Errorf("configuration: service %s: health path %q does not begin with a slash", s.Name, s.HealthPath)
		}
		serviceNames[s.Name] = true
		services = append(services, &Service{Name: s.Name, Engine: s.Engine, HealthPath: s.HealthPath})
	}
	var routes []*Route
	for _, r := range d.Routes {
		route, err := r.route(serviceNames)
		if err != nil {
			return nil, errors.Wrapf(err, "configuration: route %s", r.Name)
		}
		routes = append(routes, route)
	}
	limits := Limits{
		HeaderBytes: d.Limits.HeaderBytes, BodyBytes: d.Limits.BodyBytes,
		HeaderTimeout: time.Duration(d.Limits.HeaderTimeout), IdleTimeout: time.Duration(d.Limits.IdleTimeout),
	}
	return New(d.Version, limits, services, routes, d.accounts()), nil
}

func (r documentRoute) route(serviceNames map[string]bool) (*Route, error) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return nil, errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	kind, err := parseKind(r.Kind)
	if err != nil {
		return nil, err
	}
	if len(r.Targets) == 0 {
		return nil, errors.New("no target")
	}
	for _, t := range r.Targets {
		if !serviceNames[t.Service] {
			return nil, errors.Errorf("unknown service %q", t.Service)
		}
	}
	return &Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: kind,
		Timeout: time.Duration(r.Timeout), Objective: time.Duration(r.Objective), GapTarget: time.Duration(r.GapTarget),
		MaxAttempts: max(1, r.Attempts), Priority: r.Priority, Public: r.Public,
		Resumable: r.Resumable, Targets: r.Targets,
	}, nil
}

func parseKind(text string) (Kind, error) {
	for _, k := range []Kind{AtMostOnce, Idempotent, Stream} {
		if k.String() == text {
			return k, nil
		}
	}
	return AtMostOnce, errors.Errorf("kind %q is not one of at_most_once, idempotent, stream", text)
}

func (d *document) accounts() map[string]*Account {
	if d.Accounts == nil {
		return nil
	}
	accounts := map[string]*Account{}
	for _, a := range *d.Accounts {
		account := &Account{Name: a.Name, Priority: -1}
		if a.Priority != nil {
			account.Priority = *a.Priority
		}
		for _, key := range a.Keys {
			accounts[key] = account
		}
	}
	return accounts
}

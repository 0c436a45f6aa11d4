// Package routing holds the configuration by which requests are forwarded
// without being understood: routes by host and path prefix, the services they
// lead to, client accounts and the limits on callers. A Config is immutable and
// swapped whole.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated on a route.
type Kind uint8

const (
	// AtMostOnce is the zero value, so that a kind nobody knows is never repeated.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream answers are a series of events with increasing ids.
	Stream
)

// String returns the lower-case name used in logs.
func (k Kind) String() string {
	return [...]string{"at_most_once", "idempotent", "stream"}[k]
}

// Route leads the requests of one host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// GapTarget is the longest pause between events of a stream.
	GapTarget time.Duration
	// MaxAttempts bounds the backend servers that may run one request.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Public routes need no account key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	Targets   []Target
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `json:"slots"` // requests processed at once
	// CanReplicate says that an engine can send the memory of a run to another while it grows.
	CanReplicate bool `json:"copies"`
	// CanCopy says that an engine can be asked to copy the memory of a run once.
	CanCopy bool `json:"moves"`
	// ReplicaTTL is how long a copy is kept of which nothing more arrives.
	ReplicaTTL time.Duration `json:"-"`
}

// Limits bound what a caller may send and how long it may take. Zero fields
// set no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Priority takes precedence over a route's; negative means none.
	Priority int
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	routes   map[string][]*Route // by host, longest prefix first
	accounts map[string]*Account // by key
}

// New returns a configuration. It takes over its arguments. accounts is by key;
// a nil map means that no route asks for one.
func New(version int64, limits Limits, services []*Service, routes []*Route, accounts map[string]*Account) *Config {
	c := &Config{
		Version: version, Limits: limits, accounts: accounts,
		services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[hostOnly(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostOnly drops a port and the case of a Host header.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// RequiresKey reports whether requests on r must name an account.
func (c *Config) RequiresKey(r *Route) bool { return c.accounts != nil && !r.Public }

// Account returns the account that holds key, or nil.
func (c *Config) Account(key string) *Account { return c.accounts[key] }

// Service returns the named service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Engine says what the model engines of a service can do; nil where its servers
// are none.
func (c *Config) Engine(service string) *Engine {
	if s := c.services[service]; s != nil {
		return s.Engine
	}
	return nil
}

// MedianObjective is the objective that half of the routes to a service do not exceed; 0 where a route
// to it is a stream, whose objective says nothing of its end, or where there is none.
func (c *Config) MedianObjective(service string) time.Duration {
	var objectives []time.Duration
	for _, routes := range c.routes {
		for _, r := range routes {
			switch {
			case !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service }):
			case r.Kind == Stream:
				return 0
			default:
				objectives = append(objectives, r.Objective)
			}
		}
	}
	if len(objectives) == 0 {
		return 0
	}
	slices.Sort(objectives)
	return objectives[(len(objectives)-1)/2]
}

// SoleEngineService is the name of the one service that has model engines; "" where
// none or several have.
func (c *Config) SoleEngineService() string {
	only := ""
	for name, s := range c.services {
		if s.Engine == nil {
			continue
		}
		if only != "" {
			return ""
		}
		only = name
	}
	return only
}

// PickService picks a service of r; draw is in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	at := draw * total
	for _, t := range r.Targets {
		if at -= max(t.Weight, 0); at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Incarnation is one run of a backend server's process, from its start to its end. A server
// may start again under the id that it had; the new life holds and knows nothing of the
// one before.
type Incarnation struct {
	ID string
	// StartedAtMS is when the process started, in Unix milliseconds of the server's own clock;
	// 0 where the server does not say. Only lives of one id compare by it.
	StartedAtMS int64
}

// Before reports whether l ended before other began, as far as both are known.
func (l Incarnation) Before(other Incarnation) bool {
	return l.ID == other.ID && l.StartedAtMS > 0 && l.StartedAtMS < other.StartedAtMS
}

// Server is one backend server as it registered itself. An address may be used again
// by another, and an id by a later life of the same.
type Server struct {
	ID          string `json:"id"`
	StartedAtMS int64  `json:"born,omitempty"` // as Life.Born
	Service     string `json:"service"`
	Address     string `json:"address"` // IP:port
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	// Version is that of the server's software; "" where it does not say.
	Version string `json:"version,omitempty"`
	// Draining says that it takes no new work.
	Draining bool `json:"leaving,omitempty"`
}

// Incarnation is the present run of the server's process.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, StartedAtMS: s.StartedAtMS} }

// VM is one entry VM as it registered itself.
type VM struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Address     string `json:"address"` // for callers
	PeerAddress string `json:"peer"`    // for other entry VMs
	Draining    bool   `json:"leaving,omitempty"`
}

// Serving returns the entry VMs that do not leave, with the hashes of their ids.
func Serving(vms []VM) (serving []VM, hashes []uint64) {
	for _, vm := range vms {
		if !vm.Draining {
			serving = append(serving, vm)
			hashes = append(hashes, xxhash.Sum64String(vm.ID))
		}
	}
	return serving, hashes
}

// Peers returns the entry VMs other than self that other daemons can ask.
func Peers(vms []VM, self string) []VM {
	var peers []VM
	for _, vm := range vms {
		if vm.ID != self && vm.PeerAddress != "" {
			peers = append(peers, vm)
		}
	}
	return peers
}

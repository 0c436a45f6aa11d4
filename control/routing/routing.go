// Package routing holds the configuration of the forwarding proxy, which routes requests without
// interpreting their content: routes by host and path prefix, the services they lead to, client
// accounts and the limits on callers. A Config is immutable; a new version replaces it as a whole.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the execution semantics of a route: whether and how its requests may be retried.
type Kind uint8

const (
	// AtMostOnce requests are never retried once they may have run. It is the zero value, so that
	// requests of an unknown kind are not retried.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream responses are a series of events with increasing ids.
	Stream
)

// String returns the lower-case name used in logs and in the configuration.
func (k Kind) String() string {
	return [...]string{"at_most_once", "idempotent", "stream"}[k]
}

// Route directs the requests of one host and path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// Objective is the target latency of a response, or of the first event of a stream.
	Objective time.Duration
	// GapTarget is the longest acceptable interval between events of a stream.
	GapTarget time.Duration
	// MaxAttempts is the number of backend servers that may run one request.
	MaxAttempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Public routes need no account key.
	Public bool
	// Resumable streams may continue at another backend server.
	Resumable bool
	Targets   []Target
}

// Target is one service of a route with its weight in the distribution of requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is nil if the backend servers are not model engines.
	Engine *Engine
	// HealthPath is the path at which a backend server states which process it is; "" if there is none.
	// A request there may wait for a slot.
	HealthPath string
}

// Engine describes the capabilities of the model engines of a service.
type Engine struct {
	Slots int `json:"slots"` // requests processed concurrently
	// CanReplicate is set if an engine can stream a run's KV cache to another engine as it grows.
	CanReplicate bool `json:"copies"`
	// CanCopy is set if an engine can copy a run's KV cache to another engine once, on request.
	CanCopy bool `json:"moves"`
	// ReplicaTTL is how long an engine keeps a replica that receives no more updates; 0 if unknown.
	ReplicaTTL time.Duration `json:"-"`
}

// Limits bound the size of a caller's request and the time it may take to send it. A zero field
// sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the priority of the route; a negative value means that it does not.
	Priority int
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	routes   map[string][]*Route // by host, longest prefix first
	accounts map[string]*Account // by key
	ranks    map[string]ranks    // by service; only those whose streams differ in priority
}

// New returns a configuration. It takes ownership of its arguments. accounts is keyed by account
// key; a nil map means that no route requires a key.
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
	c.ranks = newRanks(routes, accounts)
	return c
}

// Match returns the route of host whose prefix is the longest that matches path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost removes the port from a Host header and converts it to lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// RequiresKey reports whether requests on r must carry an account key.
func (c *Config) RequiresKey(r *Route) bool { return c.accounts != nil && !r.Public }

// Account returns the account that holds key, or nil.
func (c *Config) Account(key string) *Account { return c.accounts[key] }

// Service returns the named service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Engine returns the capabilities of the model engines of a service, or nil if its backend servers
// are not model engines.
func (c *Config) Engine(service string) *Engine {
	if s := c.services[service]; s != nil {
		return s.Engine
	}
	return nil
}

// MedianObjective returns the (lower) median objective of the routes to a service. It returns 0 if
// there is no such route or if one of them is a stream, whose objective covers only the first event
// and not the whole response.
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

// HealthPath returns the health path of a service; "" if it has none.
func (c *Config) HealthPath(service string) string {
	if s := c.services[service]; s != nil {
		return s.HealthPath
	}
	return ""
}

// SoleEngineService returns the name of the only service that has model engines, or "" if none or
// several have.
func (c *Config) SoleEngineService() string {
	sole := ""
	for name, s := range c.services {
		if s.Engine == nil {
			continue
		}
		if sole != "" {
			return ""
		}
		sole = name
	}
	return sole
}

// PickService selects a service of r in proportion to the weights; draw is in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	rest := draw * total
	for _, t := range r.Targets {
		if rest -= max(t.Weight, 0); rest < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Incarnation identifies one run of a backend server's process, from its start to its end. A server
// may restart under the same id; the new incarnation has none of the state of the previous one.
type Incarnation struct {
	ID string
	// StartedAtMS is when the process started, in Unix milliseconds of the server's own clock;
	// 0 if the server does not report it. It is comparable only between incarnations of one id.
	StartedAtMS int64
}

// Before reports whether i is an earlier incarnation of the same server than other. It is false if
// either start time is unknown.
func (i Incarnation) Before(other Incarnation) bool {
	return i.ID == other.ID && i.StartedAtMS > 0 && i.StartedAtMS < other.StartedAtMS
}

// Server is one backend server as it registered itself. Another server may reuse its address, and a
// later incarnation of the same server its id.
type Server struct {
	ID          string `json:"id"`
	StartedAtMS int64  `json:"born,omitempty"` // as Incarnation.StartedAtMS
	Service     string `json:"service"`
	Address     string `json:"address"` // IP:port
	Zone        string `json:"zone"`
	Slots       int    `json:"slots"`
	// Version is the version of the server's software; "" if the server does not report it.
	Version string `json:"version,omitempty"`
	// Draining is set if the server accepts no new requests.
	Draining bool `json:"leaving,omitempty"`
}

// Incarnation returns the incarnation of the server that is registered.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, StartedAtMS: s.StartedAtMS} }

// VM is one entry VM as it registered itself.
type VM struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Address     string `json:"address"` // for callers
	PeerAddress string `json:"peer"`    // for other entry VMs
	Draining    bool   `json:"leaving,omitempty"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if unknown.
	LinkMbps int `json:"link_mbps,omitempty"`
}

// Serving returns the entry VMs that are not draining, and the hashes of their ids for rendezvous
// hashing.
func Serving(vms []VM) (serving []VM, hashes []uint64) {
	for _, vm := range vms {
		if !vm.Draining {
			serving = append(serving, vm)
			hashes = append(hashes, xxhash.Sum64String(vm.ID))
		}
	}
	return serving, hashes
}

// SameVMs reports whether two lists of views are one list. Views share it until it changes.
func SameVMs(a, b []VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Peers returns the entry VMs other than self that have an address for calls between daemons.
func Peers(vms []VM, self string) []VM {
	var peers []VM
	for _, vm := range vms {
		if vm.ID != self && vm.PeerAddress != "" {
			peers = append(peers, vm)
		}
	}
	return peers
}

// Package site parses and validates the site text: the INI text in which operators define services
// and their dependencies, pools of backend servers, client accounts and limits. Parse returns an
// immutable Site.
package site

import "time"

// Kind is the kind of backend servers that run a service.
type Kind string

// The kinds of services.
const (
	KindGeneration Kind = "generation" // model engines
	KindPlain      Kind = "plain"      // HTTP services beside the engines
)

// Class is the priority class of a service under load.
type Class string

// The priority classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassLong   Class = "long"
)

// Service is the definition of one service. It is immutable.
type Service struct {
	Name      string
	Kind      Kind
	Pool      string // backend server pool that runs it
	Model     string
	Adapter   string
	Version   string
	Replicas  map[string]int // wanted ready replicas by availability zone
	Floor     int            // minimum of ready replicas per zone during a planned change
	Class     Class
	Deadline  time.Duration // longest wait for the first token or the answer
	DependsOn []string
	// Idempotent is true if running a call more than once is harmless.
	Idempotent bool
	// LatencyWeight weighs resume latency (1) against extra resources (0).
	LatencyWeight float64
	MaxTokens     int // largest answer, in tokens
}

// Pool is a set of backend servers. A server belongs to it by the name in vmlist.VM.Pool.
type Pool struct {
	Name string
	// Fencing is true if the pool's engines reject orders with an outdated fencing number.
	Fencing bool
	// Slots is the maximum number of concurrent requests per backend server.
	Slots int
}

// Account is one client account.
type Account struct {
	Name            string
	TokenHashes     []string // lower-case hex SHA-256 of bearer tokens
	Share           float64  // weight in fair sharing, 1 by default
	TokensPerSecond float64  // rate limit over all entry VMs together, 0 for none
}

// Limits holds the request size limit and the retention times of a daemon.
type Limits struct {
	BodyBytes int64
	// AnswerTTL is how long a finished answer is kept for its caller to fetch.
	AnswerTTL time.Duration
	// EntriesTTL is how long a caller may cache the response of /v1/entries.
	EntriesTTL time.Duration
	// KeyTTL is how long an idempotency key is remembered.
	KeyTTL time.Duration
}

// Site is a parsed site text. It is immutable and may be shared between goroutines.
type Site struct {
	Name     string
	Revision int64 // revision of the accepted text; 0 before it is accepted
	Text     string
	Zones    []string
	Services map[string]*Service
	Pools    map[string]*Pool
	Accounts map[string]*Account
	Limits   Limits
}

// DefaultLimits returns the limits that apply where the text sets none.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:  4 << 20,
		AnswerTTL:  10 * time.Minute,
		EntriesTTL: 30 * time.Second,
		KeyTTL:     2 * time.Hour,
	}
}

// Source provides the site in force. Current returns nil before any text is known. A new site
// replaces the pointer as a whole, and its revision never decreases.
type Source interface {
	Current() *Site
}

// Package site holds the site text: the one INI text in which operators list
// services, what each depends on, backend server pools, client accounts and
// limits. Parse turns it into an immutable Site.
package site

import "time"

// Kind is what a service's backend servers speak.
type Kind string

// The kinds of services.
const (
	KindGeneration Kind = "generation" // model engines
	KindPlain      Kind = "plain"      // HTTP services beside the engines
)

// Class orders services under load.
type Class string

// The priority classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassLong   Class = "long"
)

// Service is one service of the site text. It is immutable.
type Service struct {
	Name      string
	Kind      Kind
	Pool      string // backend server pool that runs it
	Model     string
	Adapter   string
	Version   string
	Replicas  map[string]int // wanted ready replicas by availability zone
	Floor     int            // ready replicas per zone never given up by a planned change
	Class     Class
	Deadline  time.Duration // longest wait for the first token or the answer
	DependsOn []string
	// Idempotent says that running a call twice does no harm.
	Idempotent bool
	// LatencyWeight weighs resume latency (1) against extra resources (0).
	LatencyWeight float64
	MaxTokens     int // largest answer, in tokens
}

// Pool is a set of backend servers, matched with vmlist.VM.Pool.
type Pool struct {
	Name string
	// Fencing says that the pool's engines refuse orders with an old fencing number.
	Fencing bool
	// Slots is the largest number of requests one backend server is given at once.
	Slots int
}

// Account is one client account.
type Account struct {
	Name            string
	TokenHashes     []string // lower-case hex SHA-256 of bearer tokens
	Share           float64  // weight in fair sharing, 1 is usual
	TokensPerSecond float64  // limit over all entry VMs, 0 means none
}

// Limits bound what one daemon takes in.
type Limits struct {
	BodyBytes int64
	// AnswerTTL is how long a finished answer stays owed to its caller.
	AnswerTTL time.Duration
	// EntriesTTL is how long a caller may keep an answer of /v1/entries.
	EntriesTTL time.Duration
	// KeyTTL is how long an idempotency key is remembered.
	KeyTTL time.Duration
}

// Site is one accepted text, parsed. It is immutable and shared freely.
type Site struct {
	Name     string
	Revision int64 // counts accepted texts; 0 before it is accepted
	Text     string
	Zones    []string
	Services map[string]*Service
	Pools    map[string]*Pool
	Accounts map[string]*Account
	Limits   Limits
}

// DefaultLimits are in force where the text says nothing.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:  4 << 20,
		AnswerTTL:  10 * time.Minute,
		EntriesTTL: 30 * time.Second,
		KeyTTL:     2 * time.Hour,
	}
}

// Source gives the site in force. Current returns nil before any text is
// known; the pointer is swapped whole and its revision never falls.
type Source interface {
	Current() *Site
}

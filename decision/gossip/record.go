package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member.
type State uint8

// The states in the order in which they follow each other while neither
// Incarnation nor Refutation changes.
const (
	Alive State = iota
	Suspect
	Leaving
	Gone
)

// String returns the lower-case name.
func (s State) String() string {
	if s > Gone {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "leaving", "gone"}[s]
}

// Record is one claim about a member, as it travels between daemons.
type Record struct {
	ID         string
	Zone       string
	Region     string
	CallerAddr string // address for callers
	PeerAddr   string // address for other daemons
	// Incarnation is the start of the process, unix nanoseconds. It names the
	// process: a daemon that was taken for dead and is not keeps it.
	Incarnation uint64
	// Refutation counts how often the member itself contradicted a claim.
	Refutation uint32
	State      State
}

// Supersedes reports whether r replaces o. Only the member itself raises
// Incarnation and Refutation, so its own word always wins in the end, and old
// news that arrives late never does.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Refutation != o.Refutation {
		return r.Refutation > o.Refutation
	}
	return r.State > o.State
}

// hash identifies the claim; claims that somebody is gone hash to nothing, so
// that tables agree whether or not they still keep the tombstone.
func (r Record) hash() uint64 {
	if r.State == Gone {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.ID)
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], r.Incarnation)
	binary.LittleEndian.PutUint32(b[8:], r.Refutation)
	b[12] = byte(r.State)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// ListedVM is one entry VM of the platform's list.
type ListedVM struct {
	ID, Zone, Region, PeerAddr string
	Leaving                    bool
}

// Reason says why a belief changed.
type Reason string

// The reasons of changes.
const (
	ReasonJoined           Reason = "joined"
	ReasonGossip           Reason = "news from another entry VM"
	ReasonProbeFailed      Reason = "direct and indirect probes failed"
	ReasonSuspicionTimeout Reason = "a suspicion was not contradicted in time"
	ReasonUnlisted         Reason = "silent and no longer in the VM list"
	ReasonRefuted          Reason = "contradicted a claim about itself"
	ReasonLeaving          Reason = "leaves"
	ReasonServing          Reason = "serves callers"
	ReasonSuperseded       Reason = "another process runs under this VM id"
)

// Change is one change of belief.
type Change struct {
	Record Record
	From   State // Gone for a member not known before
	Reason Reason
}

// Config holds the thresholds; the package comment gives their reasons.
type Config struct {
	ProbeInterval    time.Duration // between two probes by one daemon
	SuspicionTimeout time.Duration // a suspect's time to contradict
	GoneRetention    time.Duration // how long a gone member's record is kept
	SyncInterval     time.Duration // between two repairs of differing tables
	ZoneRings        int
	GlobalRings      int
	IndirectProbes   int // members asked to repeat a failed probe
	Fanout           int // exchanges made at once for news
	MaxUpdates       int // records carried by one exchange
	ReconnectRounds  int // every how many rounds a VM not believed alive is tried
	PauseRounds      int // rounds missed before a daemon concludes that it was paused itself
}

// DefaultConfig returns the values in use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval: 2 * time.Second, SuspicionTimeout: 5 * time.Second, GoneRetention: time.Hour, SyncInterval: 5 * time.Second,
		ZoneRings: 3, GlobalRings: 2, IndirectProbes: 3, Fanout: 4, MaxUpdates: 16, ReconnectRounds: 5, PauseRounds: 3,
	}
}

package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the believed state of a member.
type State uint8

// The states, in the order in which they supersede each other while neither Incarnation nor
// Refutation changes.
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

// Record is one claim about a member, as exchanged between daemons.
type Record struct {
	ID         string
	Zone       string
	Region     string
	CallerAddr string // address for callers
	PeerAddr   string // address for other daemons
	// Incarnation is the start time of the process in Unix nanoseconds. It identifies the
	// process: a daemon that was wrongly declared gone keeps it.
	Incarnation uint64
	// Refutation counts how often the member itself refuted a claim.
	Refutation uint32
	State      State
}

// Supersedes reports whether r replaces o. Only the member itself raises Incarnation and
// Refutation, so its own claims win in the end, and outdated claims that arrive late do not.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Refutation != o.Refutation {
		return r.Refutation > o.Refutation
	}
	return r.State > o.State
}

// hash identifies the claim. Claims in state Gone hash to zero, so that tables agree whether
// or not they still keep the tombstone.
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

// ListedVM is one entry VM in the platform's VM list.
type ListedVM struct {
	ID, Zone, Region, PeerAddr string
	Leaving                    bool
}

// Reason explains a change of a member's state.
type Reason string

// The reasons.
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

// Change is one change of a member's record.
type Change struct {
	Record Record
	From   State // Gone for a member not known before
	Reason Reason
}

// Config holds the thresholds; the package comment gives their reasons.
type Config struct {
	ProbeInterval    time.Duration // between two probes by one daemon
	SuspicionTimeout time.Duration // time in which a suspect can refute the suspicion
	GoneRetention    time.Duration // how long the record of a gone member is kept
	SyncInterval     time.Duration // between two repairs of differing tables
	ZoneRings        int
	GlobalRings      int
	IndirectProbes   int // members asked to repeat a failed probe
	Fanout           int // members contacted at once with an update
	MaxUpdates       int // records in one exchange
	ReconnectRounds  int // rounds between attempts to reach a listed VM that is unknown or gone
	PauseRounds      int // missed rounds after which a daemon concludes that it was paused itself
}

// DefaultConfig returns the values in use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval: 2 * time.Second, SuspicionTimeout: 5 * time.Second, GoneRetention: time.Hour, SyncInterval: 5 * time.Second,
		ZoneRings: 3, GlobalRings: 2, IndirectProbes: 3, Fanout: 4, MaxUpdates: 16, ReconnectRounds: 5, PauseRounds: 3,
	}
}

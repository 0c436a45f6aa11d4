package reach

import "time"

const (
	// sampleSize is the number of peers compared. All daemons without a path choose at the same
	// time: if each took the single best peer by a common order, that one would get everything.
	sampleSize = 8
	// minSkip is how long a peer that could not help is skipped. It doubles with each failure up
	// to maxSkip, so that callers do not wait for the many peers of a zone that has lost its paths.
	minSkip = time.Second
	maxSkip = 8 * time.Second
	// busySkip is how long a peer is skipped that relays as many connections as it may.
	busySkip = 200 * time.Millisecond
	// leavingCost puts a peer that shuts down behind all others. Where the rest have lost their paths
	// as well, it is the only one that can connect.
	leavingCost = 1 << 20
	// MaxAsked bounds the peers that are asked for one connection. Where half of them have lost their
	// paths as well, one connection in 64 finds none that has not.
	MaxAsked = 6
	// maxIdleStates is the number of peers above which the states of idle ones are removed.
	maxIdleStates = 1024
)

// Peer is a daemon that may connect to servers for another one.
type Peer struct {
	ID, Zone, Address string
	// Leaving is set while the peer shuts down. It opens tunnels for a moment still.
	Leaving bool
}

// peerState is what a daemon knows of one peer.
type peerState struct {
	active    int // connections through the peer
	skipUntil time.Time
	skipFor   time.Duration // after the last failure; 0 after a success
}

// PeerTable holds what one daemon knows of its peers as relays. The zero value is ready to use. It
// is not safe for concurrent use.
type PeerTable struct {
	states map[string]*peerState // by id; peers without connections or failures are missing
}

// Choose returns the index of the peer that should open a connection, -1 if there is none: of a
// random sample, the one with the fewest connections of this daemon. A peer of the daemon's own zone
// is preferred if it has no more of them, because traffic between zones is charged. Peers for which
// except is true are left out. draw returns a random number in [0, n).
func (t *PeerTable) Choose(now time.Time, peers []Peer, zone string, except func(id string) bool, draw func(n int) int) int {
	best, bestCost, seen := -1, 0, 0
	consider := func(i int) {
		p := peers[i]
		s := t.states[p.ID]
		if except(p.ID) || s != nil && now.Before(s.skipUntil) {
			return
		}
		seen++
		cost := 0
		if s != nil {
			cost = 2 * s.active
		}
		if p.Zone != zone {
			cost++
		}
		if p.Leaving {
			cost += leavingCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if len(peers) == 0 {
		return -1
	}
	first := draw(len(peers))
	if len(peers) > sampleSize {
		for range sampleSize {
			consider(draw(len(peers)))
		}
		if best >= 0 {
			return best
		}
	}
	for i := range peers {
		if seen == sampleSize {
			break
		}
		consider((first + i) % len(peers))
	}
	return best
}

// Begin counts a connection through a peer, End removes it from the count.
func (t *PeerTable) Begin(id string) { t.state(id).active++ }

// End ends a connection that was counted by Begin.
func (t *PeerTable) End(id string) {
	t.state(id).active--
	t.forgetIfIdle(id)
}

// RecordSuccess records that a peer connected to a server.
func (t *PeerTable) RecordSuccess(id string) {
	if s := t.states[id]; s != nil {
		s.skipUntil, s.skipFor = time.Time{}, 0
		t.forgetIfIdle(id)
	}
}

// RecordFailure records that a peer did not answer, or did not reach a server that another peer
// reached.
func (t *PeerTable) RecordFailure(now time.Time, id string) {
	t.removeIdle(now)
	s := t.state(id)
	s.skipFor = min(max(2*s.skipFor, minSkip), maxSkip)
	s.skipUntil = now.Add(s.skipFor)
}

// RecordBusy records that a peer relays as many connections as it may.
func (t *PeerTable) RecordBusy(now time.Time, id string) { t.state(id).skipUntil = now.Add(busySkip) }

func (t *PeerTable) state(id string) *peerState {
	if t.states == nil {
		t.states = map[string]*peerState{}
	}
	s := t.states[id]
	if s == nil {
		s = &peerState{}
		t.states[id] = s
	}
	return s
}

// removeIdle removes the states of peers that are neither in use nor skipped any more.
func (t *PeerTable) removeIdle(now time.Time) {
	if len(t.states) <= maxIdleStates {
		return
	}
	for id, s := range t.states {
		if s.active == 0 && !now.Before(s.skipUntil) {
			delete(t.states, id)
		}
	}
}

func (t *PeerTable) forgetIfIdle(id string) {
	if s := t.states[id]; s.active == 0 && s.skipUntil.IsZero() {
		delete(t.states, id)
	}
}

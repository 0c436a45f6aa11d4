package watchplan

import "time"

const (
	// minPeerTime and peerTimePerVM make up the time within which the watchers have read the whole store
	// and the relays have passed it on, after all daemons have listed the VMs over the same link.
	minPeerTime   = time.Second
	peerTimePerVM = 3 * time.Millisecond
	// readSpacing is the mean time between two daemons that read the whole store although the plan does
	// not select them. Ten thousand servers take 30 ms of a link of 1 Gbit/s, and the first few readers tell
	// the rest.
	readSpacing = 20 * time.Millisecond
)

// Start is what a daemon without state knows of its own start.
type Start struct {
	ID string
	// AnswerRatio is the fraction of the other daemons that answer, from 0 to 1, with or without a state to
	// tell.
	AnswerRatio float64
	// Jitter is a random number from 0 to 1 that stays the same.
	Jitter float64
}

// ReadDelay returns how long after it learned of the fleet a daemon without state reads the whole store
// itself, unless others tell it the state before.
//
// Load pattern: all daemons lack the state at the same time, because all restart. If each of them reads
// the store, the bytes grow with the number of daemons times that of servers: a thousand daemons before
// ten thousand servers keep a link of 1 Gbit/s busy for half a minute, in which none of them can serve.
// The watchers therefore read at once, and the others are told by them. If they are not told, they read
// one after the other, as many as there seem to be. A daemon that no other answers does not wait for its
// turn.
func (p *Plan) ReadDelay(s Start) time.Duration {
	vms := len(p.zoneOf)
	if _, registered := p.zoneOf[s.ID]; p.IsWatcher(s.ID) || vms == 0 || vms == 1 && registered {
		return 0
	}
	delay := minPeerTime + time.Duration(vms)*peerTimePerVM
	returned := s.AnswerRatio * float64(vms)
	return delay + time.Duration(s.Jitter*returned*float64(readSpacing))
}

// StartTime returns the time after which most daemons of a fleet that starts at once have been told the
// state.
func (p *Plan) StartTime() time.Duration { return time.Duration(len(p.zoneOf)) * peerTimePerVM }

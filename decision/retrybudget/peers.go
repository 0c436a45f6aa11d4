package retrybudget

import (
	"slices"
	"time"
)

const (
	// MaxPeersAsked bounds the daemons that are asked for one retry, each of which costs a round
	// trip.
	MaxPeersAsked = 8
	// refusalBackoff is how long a daemon that had no retry to lend is not asked again: a tenth of
	// the usual window, after which a tenth of its budget is available again.
	refusalBackoff = time.Second
)

// PeerSelector decides which other daemons are asked to lend a part of their retry budget.
//
// Load pattern: an availability zone of engines is lost at once, and each daemon has one or two
// streams there. Some daemons have three broken streams and two retries, while others have retries
// and no broken stream.
//
// Without lending, a part of the fleet's budget stays unused while streams are cut off for lack of
// it. This hardly shows if the budget is shared by only a few daemons.
//
// Decision: the lending daemon counts a granted retry as its own, so the sum over all daemons stays
// the same. Daemons are asked in random order, so that the borrowing daemons do not all ask the
// same one. It is not safe for concurrent use.
type PeerSelector struct {
	refusedUntil map[string]time.Time // until when each daemon is not asked
}

// Next chooses one of the given daemons that has not been asked for this retry yet; ok is false if
// there is none left to ask.
func (s *PeerSelector) Next(now time.Time, daemons, asked []string, draw uint64) (id string, ok bool) {
	if len(asked) >= MaxPeersAsked || len(daemons) == 0 {
		return "", false
	}
	first := int(draw % uint64(len(daemons)))
	for i := range daemons {
		id := daemons[(first+i)%len(daemons)]
		if !slices.Contains(asked, id) && !now.Before(s.refusedUntil[id]) {
			return id, true
		}
	}
	return "", false
}

// MarkRefused records that a daemon had no retry to lend, or did not answer.
func (s *PeerSelector) MarkRefused(now time.Time, id string) {
	if s.refusedUntil == nil {
		s.refusedUntil = map[string]time.Time{}
	}
	for peer, until := range s.refusedUntil {
		if !now.Before(until) {
			delete(s.refusedUntil, peer)
		}
	}
	s.refusedUntil[id] = now.Add(refusalBackoff)
}

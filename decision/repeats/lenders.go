package repeats

import (
	"slices"
	"time"
)

const (
	// MaxPeersAsked bounds the daemons that are asked for one repeat, a round trip each.
	MaxPeersAsked = 8
	// refusalBackoff is how long a daemon that had nothing to lend is not asked again: a
	// tenth of the usual window, in which a tenth of its budget is free again.
	refusalBackoff = time.Second
)

// PeerSelector decides which daemons are asked for a part of their budget.
//
// Load it answers: a zone of engines lost at once, with a request or two of each
// daemon there. Some daemons have three broken streams and two repeats, their
// neighbours have repeats and no broken stream.
//
// Without it, a part of the fleet's budget stays unused while streams are cut for
// want of it. A budget that is only divided among few daemons hardly shows this.
//
// How it holds: a lender counts what it lends as its own repeat when it grants
// it, so the sum over daemons stays what it is. The daemons are asked in random
// order, so that not all of them ask the same one. It is not safe for
// concurrent use.
type PeerSelector struct {
	refusedUntil map[string]time.Time // until when a daemon is not asked
}

// Next chooses one of the daemons given, except those asked already for this
// repeat; ok is false where nobody is left to ask.
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

// MarkRefused records that a daemon had nothing to lend, or did not answer.
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

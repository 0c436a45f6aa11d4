package once

import (
	"time"

	"mallowwind.dev/decision/slot"
)

const (
	// minMoveBackoff and maxMoveBackoff space the attempts to take one slot. Without the
	// backoff, when both VMs that know a slot's keys are unreachable for minutes, taking it
	// fails at every tick, with an RPC to each of the two and a log line, for a thousand slots.
	// Since one round makes a bounded number of moves, the failing slots would also delay those
	// that could be taken.
	minMoveBackoff = 400 * time.Millisecond
	maxMoveBackoff = 5 * time.Second
)

// moveBackoff holds the slots that could not be taken and when to try them again. Only Run uses
// it.
type moveBackoff struct {
	slots map[int]backoffState
}

// backoffState is the backoff of the attempts to end one term of a slot for one reason.
type backoffState struct {
	term    uint64
	reason  slot.Reason
	delay   time.Duration
	retryAt time.Time
}

// recordFailure postpones a move that failed. It reports whether this is its first failure.
func (p *moveBackoff) recordFailure(m slot.Move, now time.Time) (first bool) {
	if p.slots == nil {
		p.slots = make(map[int]backoffState)
	}
	a, ok := p.slots[m.From.Slot]
	if !ok || a.term != m.From.Term || a.reason != m.Reason {
		a, first = backoffState{term: m.From.Term, reason: m.Reason}, true
	}
	a.delay = min(max(2*a.delay, minMoveBackoff), maxMoveBackoff)
	a.retryAt = now.Add(a.delay)
	p.slots[m.From.Slot] = a
	return first
}

// due returns the first moves that are not in backoff, at most limit.
func (p *moveBackoff) due(moves []slot.Move, limit int, now time.Time) []slot.Move {
	out := moves[:0]
	for _, m := range moves {
		a, ok := p.slots[m.From.Slot]
		if ok && a.term == m.From.Term && a.reason == m.Reason && now.Before(a.retryAt) {
			continue
		}
		out = append(out, m)
		if len(out) == limit {
			break
		}
	}
	return out
}

// reset forgets the failures of a slot that was taken.
func (p *moveBackoff) reset(i int) { delete(p.slots, i) }

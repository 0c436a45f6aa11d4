package once

import (
	"time"

	"mallowwind.dev/decision/slot"
)

const (
	// minMoveBackoff and lastWait space the attempts to take one slot. The failure
	// they guard against: both VMs that know a slot's keys are unreachable for
	// minutes. Taking it fails then at every tick, with a question to each of
	// the two and a log line, for a thousand slots; and since one round makes a
	// bounded number of moves, the slots tried in vain kept those from their
	// turn that could be taken.
	minMoveBackoff = 400 * time.Millisecond
	maxMoveBackoff = 5 * time.Second
)

// moveBackoff remembers the slots that could not be taken. Only Run uses it.
type moveBackoff struct {
	slots map[int]backoffState
}

// backoffState are those to end one term of a slot, for one reason.
type backoffState struct {
	term    uint64
	reason  slot.Reason
	delay   time.Duration
	retryAt time.Time
}

// recordFailure postpones a move that failed; it reports whether this is its first failure.
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

// due returns the first moves that need not wait, at most limit.
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

// reset drops what concerns a slot that was taken.
func (p *moveBackoff) reset(i int) { delete(p.slots, i) }

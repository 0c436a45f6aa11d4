package once

import (
	"time"

	"mallowwind.dev/decision/slot"
)

const (
	// firstWait and lastWait space the attempts to take one slot. The failure
	// they guard against: both VMs that know a slot's keys are unreachable for
	// minutes. Taking it fails then at every tick, with a question to each of
	// the two and a log line, for a thousand slots; and since one round makes a
	// bounded number of moves, the slots tried in vain kept those from their
	// turn that could be taken.
	firstWait = 400 * time.Millisecond
	lastWait  = 5 * time.Second
)

// postponed remembers the slots that could not be taken. Only Run uses it.
type postponed struct {
	slots map[int]attempts
}

// attempts are those to end one term of a slot, for one reason.
type attempts struct {
	term   uint64
	reason slot.Reason
	wait   time.Duration
	next   time.Time
}

// add postpones a move that failed; it reports whether this is its first failure.
func (p *postponed) add(m slot.Move, now time.Time) (first bool) {
	if p.slots == nil {
		p.slots = make(map[int]attempts)
	}
	a, ok := p.slots[m.From.Slot]
	if !ok || a.term != m.From.Term || a.reason != m.Reason {
		a, first = attempts{term: m.From.Term, reason: m.Reason}, true
	}
	a.wait = min(max(2*a.wait, firstWait), lastWait)
	a.next = now.Add(a.wait)
	p.slots[m.From.Slot] = a
	return first
}

// due returns the first moves that need not wait, at most limit.
func (p *postponed) due(moves []slot.Move, limit int, now time.Time) []slot.Move {
	out := moves[:0]
	for _, m := range moves {
		a, ok := p.slots[m.From.Slot]
		if ok && a.term == m.From.Term && a.reason == m.Reason && now.Before(a.next) {
			continue
		}
		out = append(out, m)
		if len(out) == limit {
			break
		}
	}
	return out
}

// forget drops what concerns a slot that was taken.
func (p *postponed) forget(i int) { delete(p.slots, i) }

package quota

import (
	"math"
	"time"
)

// Change is what an answer changed of what is known of a server's limit.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Added
	Changed
	Removed
)

// String returns the word used in logs.
func (c Change) String() string { return [...]string{"unchanged", "named", "changed", "lifted"}[c] }

// minBroadcastInterval is the least time between two changes of one limit of which others are told: a server
// may name it in one answer and not in the next.
const minBroadcastInterval = 500 * time.Millisecond

// minChangeRatio is by what part a rate must differ from the one known to be told to others: a
// server may name another in each answer.
const minChangeRatio = 0.1

// Limit is what one daemon knows of the limit of one life of a server. The zero value knows
// none. It is not safe for concurrent use.
type Limit struct {
	limited     bool
	rate        float64
	setAt       time.Time // when the present limit was first known
	confirmedAt time.Time // when it was last named or told
}

// Rate is the rate that the server takes, in requests a second; named is false where it named
// none.
func (l *Limit) Rate() (rate float64, limited bool) { return l.rate, l.limited }

// Age is how long the limit has been known, and how long ago it was last confirmed.
func (l *Limit) Age(now time.Time) (known, confirmed time.Duration) {
	return now.Sub(l.setAt), now.Sub(l.confirmedAt)
}

// ObserveResponse takes in what an answer says, to a request that was sent at a moment. An answer
// without a limit ends one only if its request was sent after the limit was last named: the
// server may have begun that answer before it was in need.
func (l *Limit) ObserveResponse(sent, now time.Time, rate float64, limited bool) Change {
	if !limited {
		if !l.limited || !sent.After(l.confirmedAt) {
			return Unchanged
		}
		l.limited = false
		return Removed
	}
	return l.update(now, rate)
}

// ObservePeer takes in what another daemon says.
func (l *Limit) ObservePeer(now time.Time, rate float64, limited bool) Change {
	if limited {
		return l.update(now, rate)
	}
	if !l.limited {
		return Unchanged
	}
	l.limited = false
	return Removed
}

func (l *Limit) update(now time.Time, rate float64) Change {
	l.confirmedAt = now
	if !l.limited {
		l.limited, l.rate, l.setAt = true, rate, now
		return Added
	}
	if math.Abs(rate-l.rate) <= minChangeRatio*l.rate {
		return Unchanged
	}
	l.rate = rate
	return Changed
}

// BroadcastPacer paces what others are told of one limit. The zero value has told nothing. It is not
// safe for concurrent use.
type BroadcastPacer struct {
	sentAt    time.Time // when others were told last
	scheduled bool
}

// Schedule returns after what time others are told of a change, with what holds then; ok is false
// where they are to be told already.
func (p *BroadcastPacer) Schedule(now time.Time) (after time.Duration, ok bool) {
	if p.scheduled {
		return 0, false
	}
	p.scheduled = true
	return max(0, minBroadcastInterval-now.Sub(p.sentAt)), true
}

// MarkSent records that others are told now.
func (p *BroadcastPacer) MarkSent(now time.Time) { p.sentAt, p.scheduled = now, false }

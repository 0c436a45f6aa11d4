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

// tellEvery is the least time between two changes of one limit of which others are told: a server
// may name it in one answer and not in the next.
const tellEvery = 500 * time.Millisecond

// changeShare is by what part a rate must differ from the one known to be told to others: a
// server may name another in each answer.
const changeShare = 0.1

// Limit is what one daemon knows of the limit of one life of a server. The zero value knows
// none. It is not safe for concurrent use.
type Limit struct {
	named bool
	rate  float64
	since time.Time // when the present limit was first known
	at    time.Time // when it was last named or told
}

// Rate is the rate that the server takes, in requests a second; named is false where it named
// none.
func (l *Limit) Rate() (rate float64, named bool) { return l.rate, l.named }

// Age is how long the limit has been known, and how long ago it was last confirmed.
func (l *Limit) Age(now time.Time) (known, confirmed time.Duration) {
	return now.Sub(l.since), now.Sub(l.at)
}

// ObserveResponse takes in what an answer says, to a request that was sent at a moment. An answer
// without a limit ends one only if its request was sent after the limit was last named: the
// server may have begun that answer before it was in need.
func (l *Limit) ObserveResponse(sent, now time.Time, rate float64, named bool) Change {
	if !named {
		if !l.named || !sent.After(l.at) {
			return Unchanged
		}
		l.named = false
		return Removed
	}
	return l.name(now, rate)
}

// ObservePeer takes in what another daemon says.
func (l *Limit) ObservePeer(now time.Time, rate float64, named bool) Change {
	if named {
		return l.name(now, rate)
	}
	if !l.named {
		return Unchanged
	}
	l.named = false
	return Removed
}

func (l *Limit) name(now time.Time, rate float64) Change {
	l.at = now
	if !l.named {
		l.named, l.rate, l.since = true, rate, now
		return Added
	}
	if math.Abs(rate-l.rate) <= changeShare*l.rate {
		return Unchanged
	}
	l.rate = rate
	return Changed
}

// BroadcastPacer paces what others are told of one limit. The zero value has told nothing. It is not
// safe for concurrent use.
type BroadcastPacer struct {
	at  time.Time // when others were told last
	due bool
}

// Schedule returns after what time others are told of a change, with what holds then; ok is false
// where they are to be told already.
func (t *BroadcastPacer) Schedule(now time.Time) (after time.Duration, ok bool) {
	if t.due {
		return 0, false
	}
	t.due = true
	return max(0, tellEvery-now.Sub(t.at)), true
}

// MarkSent records that others are told now.
func (t *BroadcastPacer) MarkSent(now time.Time) { t.at, t.due = now, false }

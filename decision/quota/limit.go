package quota

import (
	"math"
	"time"
)

// Change tells how a daemon's knowledge of a server's limit changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Added
	Changed
	Removed
)

// String returns the name used in logs and metrics.
func (c Change) String() string { return [...]string{"unchanged", "named", "changed", "lifted"}[c] }

// minBroadcastInterval is the least time between two broadcasts of one limit to the other daemons:
// a server may announce its limit in one response and omit it in the next.
const minBroadcastInterval = 500 * time.Millisecond

// minChangeRatio is how much a rate must differ from the known one, relative to it, to be
// broadcast: a server may announce a slightly different rate in each response.
const minChangeRatio = 0.1

// Limit is what one daemon knows of the limit of one incarnation of a server. The zero value knows
// no limit. It is not safe for concurrent use.
type Limit struct {
	limited     bool
	rate        float64
	setAt       time.Time // when the present limit was first known
	confirmedAt time.Time // when a response or another daemon last reported it
}

// Rate returns the rate that the server accepts, in requests per second; limited is false if it
// announces none.
func (l *Limit) Rate() (rate float64, limited bool) { return l.rate, l.limited }

// Age returns how long the limit has been known, and how long ago it was last confirmed.
func (l *Limit) Age(now time.Time) (known, confirmed time.Duration) {
	return now.Sub(l.setAt), now.Sub(l.confirmedAt)
}

// ObserveResponse records the limit in a response to a request that was sent at the given time. A
// response without a limit removes the limit only if its request was sent after the limit was last
// announced: otherwise the server may have started that response before it came under pressure.
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

// ObservePeer records what another daemon reports.
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

// BroadcastPacer limits how often the other daemons are told of changes of one limit. The zero
// value has sent nothing. It is not safe for concurrent use.
type BroadcastPacer struct {
	sentAt    time.Time // time of the last broadcast
	scheduled bool
}

// Schedule returns the time after which a change is to be broadcast, with the limit known then; ok
// is false if a broadcast is already scheduled.
func (p *BroadcastPacer) Schedule(now time.Time) (after time.Duration, ok bool) {
	if p.scheduled {
		return 0, false
	}
	p.scheduled = true
	return max(0, minBroadcastInterval-now.Sub(p.sentAt)), true
}

// MarkSent records that the broadcast is sent now.
func (p *BroadcastPacer) MarkSent(now time.Time) { p.sentAt, p.scheduled = now, false }

// Package quota decides how all daemons together keep to the rate that a backend server names.
//
// Load it answers: a server in need says in its answers how many requests a second it takes of
// all daemons, while they go on to send what they sent before; seven daemons before it, or
// hundreds of which each sends it less than one request a second.
//
// Without it the server gets as much as before: it has few requests in flight at each daemon, so
// it looks idle. Where each daemon keeps to an equal part by itself, most of the rate is unused
// where requests are uneven, and hundreds of daemons that each begin with one request send it a
// burst of hundreds.
//
// How it decides: one daemon, named by rendezvous hashing, gives out permits for the server at
// the rate, each for one request that is sent at once. A daemon that is refused one is told when
// to ask again, each another time, and chooses other servers until then, so that few requests
// wait for an answer. Where all servers of a service are limited, a request is refused with that
// time.
package quota

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// given is the part of a server's rate for which permits are given out: two daemons may
	// give them for a moment while the fleet changes.
	given = 0.9
	// leastRate is given out for a server that takes next to nothing, in requests a second:
	// only an answer shows that the limit is over.
	leastRate = 0.5
	// burst is how many permits may be given out at once.
	burst = 2
	// maxWait bounds the time after which a daemon that is refused asks again.
	maxWait = 10 * time.Second
)

// ParseRate reads the rate that a server names, in requests a second; named is false where the text
// is empty or names no bound. What cannot be read comes with an error and counts as a rate of 0.
func ParseRate(text string) (rate float64, named bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	rate, err = strconv.ParseFloat(text, 64)
	switch {
	case math.IsInf(rate, 1) && err == nil:
		return 0, false, nil
	case err != nil || math.IsNaN(rate) || rate < 0:
		return 0, true, errors.Errorf("rate %q is no number of requests a second", text)
	}
	return rate, true, nil
}

// PermitRate is the rate of permits for a server that takes rate requests a second.
func PermitRate(rate float64) float64 { return max(leastRate, given*rate) }

// TokenBucket gives out permits for one server. The zero value has given out none. It is not safe for
// concurrent use.
type TokenBucket struct {
	tokens float64
	most   float64 // tokens kept, 0 for burst
	at     time.Time
	free   time.Time // when the daemon refused next is told to ask again
}

// NewDaemonBucket returns the bucket of one daemon that keeps to its even part by itself. draw is in [0, 1),
// another at each daemon: without it all would send their first request at the same moment.
func NewDaemonBucket(draw float64) TokenBucket { return TokenBucket{tokens: draw, most: 1} }

// Take takes a permit, of which give a second are given out. Where there is none it returns after
// what time the daemon should ask again.
func (b *TokenBucket) Take(now time.Time, give float64) (granted bool, wait time.Duration) {
	most := b.most
	if most == 0 {
		most = burst
	}
	if !b.at.IsZero() {
		b.tokens = min(most, b.tokens+give*max(0, now.Sub(b.at).Seconds()))
	}
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if next := now.Add(seconds((1 - b.tokens) / give)); b.free.Before(next) {
		b.free = next
	}
	wait = min(b.free.Sub(now), maxWait)
	if wait < maxWait {
		b.free = b.free.Add(seconds(1 / give))
	}
	return false, wait
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// PermitPoller says when one daemon may ask for a permit for a server. The zero value may ask. It is not
// safe for concurrent use.
type PermitPoller struct {
	asking bool
	at     time.Time // not before then
}

// CanAsk reports whether a permit may be asked for: none is being asked for, and the time to ask
// has come.
func (t *PermitPoller) CanAsk(now time.Time) bool { return !t.asking && !now.Before(t.at) }

// TryAsk begins a question, if one may be asked. Its answer goes to Answered.
func (t *PermitPoller) TryAsk(now time.Time) bool {
	if !t.CanAsk(now) {
		return false
	}
	t.asking = true
	return true
}

// Complete ends a question; wait is how long not to ask again, 0 after a permit.
func (t *PermitPoller) Complete(now time.Time, wait time.Duration) {
	t.asking, t.at = false, now.Add(wait)
}

// Wait is how long it is until a permit may be asked for.
func (t *PermitPoller) Wait(now time.Time) time.Duration { return max(0, t.at.Sub(now)) }

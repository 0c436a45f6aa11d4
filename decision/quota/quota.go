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
	// permitRatio is the part of a server's rate for which permits are given out: two daemons may
	// give them for a moment while the fleet changes.
	permitRatio = 0.9
	// minPermitsPerSecond is given out for a server that takes next to nothing, in requests a second:
	// only an answer shows that the limit is over.
	minPermitsPerSecond = 0.5
	// burstPermits is how many permits may be given out at once.
	burstPermits = 2
	// maxRetryWait bounds the time after which a daemon that is refused asks again.
	maxRetryWait = 10 * time.Second
)

// ParseRate reads the rate that a server names, in requests a second; named is false where the text
// is empty or names no bound. What cannot be read comes with an error and counts as a rate of 0.
func ParseRate(text string) (rate float64, limited bool, err error) {
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
func PermitRate(rate float64) float64 { return max(minPermitsPerSecond, permitRatio*rate) }

// TokenBucket gives out permits for one server. The zero value has given out none. It is not safe for
// concurrent use.
type TokenBucket struct {
	tokens    float64
	capacity  float64 // tokens kept, 0 for burst
	updatedAt time.Time
	nextFree  time.Time // when the daemon refused next is told to ask again
}

// NewDaemonBucket returns the bucket of one daemon that keeps to its even part by itself. draw is in [0, 1),
// another at each daemon: without it all would send their first request at the same moment.
func NewDaemonBucket(draw float64) TokenBucket { return TokenBucket{tokens: draw, capacity: 1} }

// Take takes a permit, of which give a second are given out. Where there is none it returns after
// what time the daemon should ask again.
func (b *TokenBucket) Take(now time.Time, permitsPerSecond float64) (granted bool, wait time.Duration) {
	capacity := b.capacity
	if capacity == 0 {
		capacity = burstPermits
	}
	if !b.updatedAt.IsZero() {
		b.tokens = min(capacity, b.tokens+permitsPerSecond*max(0, now.Sub(b.updatedAt).Seconds()))
	}
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if next := now.Add(seconds((1 - b.tokens) / permitsPerSecond)); b.nextFree.Before(next) {
		b.nextFree = next
	}
	wait = min(b.nextFree.Sub(now), maxRetryWait)
	if wait < maxRetryWait {
		b.nextFree = b.nextFree.Add(seconds(1 / permitsPerSecond))
	}
	return false, wait
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// PermitPoller says when one daemon may ask for a permit for a server. The zero value may ask. It is not
// safe for concurrent use.
type PermitPoller struct {
	inFlight  bool
	notBefore time.Time // not before then
}

// CanAsk reports whether a permit may be asked for: none is being asked for, and the time to ask
// has come.
func (p *PermitPoller) CanAsk(now time.Time) bool { return !p.inFlight && !now.Before(p.notBefore) }

// TryAsk begins a question, if one may be asked. Its answer goes to Answered.
func (p *PermitPoller) TryAsk(now time.Time) bool {
	if !p.CanAsk(now) {
		return false
	}
	p.inFlight = true
	return true
}

// Complete ends a question; wait is how long not to ask again, 0 after a permit.
func (p *PermitPoller) Complete(now time.Time, wait time.Duration) {
	p.inFlight, p.notBefore = false, now.Add(wait)
}

// Wait is how long it is until a permit may be asked for.
func (p *PermitPoller) Wait(now time.Time) time.Duration { return max(0, p.notBefore.Sub(now)) }

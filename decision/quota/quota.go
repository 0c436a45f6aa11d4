// Package quota decides how all daemons together keep to the request rate that a backend server
// announces.
//
// Load pattern: a server under pressure says in its responses how many requests per second it
// accepts from all daemons together, while they would continue to send at the previous rate. There
// may be seven daemons, or hundreds of which each sends the server less than one request per
// second.
//
// Without this package, the server gets as many requests as before: it has few requests in flight
// from each daemon, so it looks idle. If each daemon limited itself to an equal part of the rate,
// most of the rate would stay unused when requests are unevenly distributed, and hundreds of
// daemons that each start with one request would send a burst of hundreds.
//
// Decision: one daemon, chosen by rendezvous hashing, grants permits for the server at its rate,
// each for one request that is sent immediately. A daemon that is denied a permit is told when to
// ask again, each daemon at a different time, and chooses other servers until then, so few requests
// wait for a permit. If all servers of a service are limited, a request is refused with that time.
package quota

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// permitRatio is the fraction of a server's rate for which permits are granted: while the fleet
	// changes, two daemons may grant permits for a moment.
	permitRatio = 0.9
	// minPermitsPerSecond is granted even for a server that accepts almost nothing, because only a
	// response shows that the limit has been removed.
	minPermitsPerSecond = 0.5
	// burstPermits is how many permits may be granted at once.
	burstPermits = 2
	// maxRetryWait bounds the time after which a daemon that was denied a permit asks again.
	maxRetryWait = 10 * time.Second
)

// ParseRate parses the rate that a server announces, in requests per second; limited is false if
// the text is empty or names no bound. A text that cannot be parsed returns an error and a rate of
// 0.
func ParseRate(text string) (rate float64, limited bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	rate, err = strconv.ParseFloat(text, 64)
	switch {
	case math.IsInf(rate, 1) && err == nil:
		return 0, false, nil
	case err != nil || math.IsNaN(rate) || rate < 0:
		return 0, true, errors.Errorf("rate %q is not a valid number of requests per second", text)
	}
	return rate, true, nil
}

// PermitRate returns the rate of permits for a server that accepts the given number of requests per
// second.
func PermitRate(rate float64) float64 { return max(minPermitsPerSecond, permitRatio*rate) }

// TokenBucket grants permits for one server. The zero value has granted none. It is not safe for
// concurrent use.
type TokenBucket struct {
	tokens    float64
	capacity  float64 // most tokens kept; 0 means burstPermits
	updatedAt time.Time
	nextFree  time.Time // when the next daemon that is denied a permit is told to ask again
}

// NewDaemonBucket returns the bucket of a daemon that limits itself to an equal part of the rate.
// draw is in [0, 1) and differs between daemons; otherwise all would send their first request at
// the same moment.
func NewDaemonBucket(draw float64) TokenBucket { return TokenBucket{tokens: draw, capacity: 1} }

// Take takes a permit; permitsPerSecond is the rate at which permits are granted. If none is left
// it returns the time after which the daemon should ask again.
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

// PermitPoller tells when one daemon may ask for a permit for a server. The zero value may ask. It
// is not safe for concurrent use.
type PermitPoller struct {
	inFlight  bool
	notBefore time.Time // earliest time of the next permit request
}

// CanAsk reports whether a permit may be requested: no permit request is in flight, and the wait is
// over.
func (p *PermitPoller) CanAsk(now time.Time) bool { return !p.inFlight && !now.Before(p.notBefore) }

// TryAsk reports whether a permit may be requested, and if so starts a permit request. The caller
// must end it with Complete.
func (p *PermitPoller) TryAsk(now time.Time) bool {
	if !p.CanAsk(now) {
		return false
	}
	p.inFlight = true
	return true
}

// Complete ends a permit request; wait is how long not to ask again, 0 after a granted permit.
func (p *PermitPoller) Complete(now time.Time, wait time.Duration) {
	p.inFlight, p.notBefore = false, now.Add(wait)
}

// Wait returns the time until a permit may be requested.
func (p *PermitPoller) Wait(now time.Time) time.Duration { return max(0, p.notBefore.Sub(now)) }

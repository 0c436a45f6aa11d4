package limit

import "time"

// burst is how many seconds of an account's rate it may use ahead. A minute
// carries the chance of several long requests in a row at one of several VMs;
// with ten seconds an account that asks exactly its limit gets two thirds of it.
const burst = 60.0

// TokenBucket is the token bucket of one account at one entry VM. The zero value
// is a full bucket. It is not safe for concurrent use.
type TokenBucket struct {
	debt    float64 // tokens taken and not yet refilled
	updated time.Time
}

// AccountShare is this VM's part of an account's limit, with no message between VMs:
// each of the VMs that the account is told gives an equal part, and a VM that
// it was not told, or is told no longer, gives a tenth of such a part, because
// answers are kept for a while. told is how many VMs the account is told.
func AccountShare(told int, member bool) float64 {
	share := 1 / float64(max(told, 1))
	if !member {
		share /= 10
	}
	return share
}

// Take asks for cost tokens at rate tokens a second, and returns how long to
// wait before it would be granted, or 0 when it is granted. A request is
// granted while anything is left, and its whole cost is then owed: a part of a
// limit is often smaller than one long request, and a bucket that had to hold
// the whole cost would refuse half of what is within the limit.
func (a *TokenBucket) Take(now time.Time, cost, rate float64) time.Duration {
	a.refill(now, rate)
	if over := a.debt - burst*rate; over >= 0 && a.debt > 0 {
		return time.Duration((over + 1) / rate * float64(time.Second))
	}
	a.debt += cost
	return 0
}

func (a *TokenBucket) refill(now time.Time, rate float64) {
	if !a.updated.IsZero() {
		a.debt = max(0, a.debt-rate*now.Sub(a.updated).Seconds())
	}
	a.updated = now
}

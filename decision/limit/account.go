package limit

import "time"

// burst is how many seconds of an account's rate it may use at once. Long
// contracts cost some thousand tokens each: a bucket smaller than one request
// would refuse work that is within the limit over a minute.
const burst = 10.0

// Account is the token bucket of one account at one entry VM. The zero value
// is a full bucket. It is not safe for concurrent use.
type Account struct {
	debt    float64 // tokens taken and not yet refilled
	updated time.Time
}

// Share is this VM's part of an account's limit, with no message between VMs:
// each of the VMs that the account is told gives an equal part, and a VM that
// it was not told, or is told no longer, gives a tenth of such a part, because
// answers are kept for a while. told is how many VMs the account is told.
func Share(told int, member bool) float64 {
	share := 1 / float64(max(told, 1))
	if !member {
		share /= 10
	}
	return share
}

// Take asks for cost tokens at rate tokens a second, and returns how long to
// wait before the same request would be granted, or 0 when it is granted. A
// request larger than the whole bucket is granted from a full one.
func (a *Account) Take(now time.Time, cost, rate float64) time.Duration {
	a.refill(now, rate)
	room := burst*rate - a.debt
	if a.debt > 0 && cost > room {
		need := min(cost-room, a.debt)
		return time.Duration(need / rate * float64(time.Second))
	}
	a.debt += cost
	return 0
}

// Return gives back tokens that were taken and not used.
func (a *Account) Return(tokens float64) { a.debt = max(0, a.debt-tokens) }

func (a *Account) refill(now time.Time, rate float64) {
	if !a.updated.IsZero() {
		a.debt = max(0, a.debt-rate*now.Sub(a.updated).Seconds())
	}
	a.updated = now
}

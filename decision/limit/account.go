package limit

import "time"

// burstSeconds is how many seconds of its rate an account may use in advance. A minute covers
// several long requests in a row that by chance reach the same VM; with ten seconds an account
// that sends exactly its limit is granted two thirds of it.
const burstSeconds = 60.0

// TokenBucket is the token bucket of one account at one entry VM. The zero value is a full
// bucket. It is not safe for concurrent use.
type TokenBucket struct {
	debtTokens float64 // taken and not yet refilled
	updated    time.Time
}

// AccountShare returns this VM's share of an account's limit without any message between VMs:
// selected is the number of VMs selected for the account, and isSelected whether this VM is
// one of them. Each selected VM grants an equal share. Any other VM grants a tenth of such a
// share, because callers keep using an earlier selection for a while.
func AccountShare(selected int, isSelected bool) float64 {
	share := 1 / float64(max(selected, 1))
	if !isSelected {
		share /= 10
	}
	return share
}

// Take asks for cost tokens at a rate of tokens per second and returns how long to wait before
// the request would be granted, or 0 if it is granted. A request is granted while any tokens
// are left, and its whole cost then becomes debt: a VM's share of a limit is often smaller
// than one long request, and a bucket that had to hold the whole cost would refuse half of the
// work that is within the limit.
func (b *TokenBucket) Take(now time.Time, cost, rate float64) time.Duration {
	b.refill(now, rate)
	if excess := b.debtTokens - burstSeconds*rate; excess >= 0 && b.debtTokens > 0 {
		return time.Duration((excess + 1) / rate * float64(time.Second))
	}
	b.debtTokens += cost
	return 0
}

func (b *TokenBucket) refill(now time.Time, rate float64) {
	if !b.updated.IsZero() {
		b.debtTokens = max(0, b.debtTokens-rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

// Package budget limits the extra work caused by retries and takeovers. Each service has one
// budget for both, counted in tokens.
//
// It handles failures at saturation and a stall of all engines at once.
//
// Without it, each failure adds load exactly when there is least capacity: retries multiply
// the offered work, the added work makes more requests fail, and the system stays overloaded
// after the cause has gone. A global stall looks like the death of every engine and would
// start every generation a second time.
package budget

import "time"

const (
	// DefaultRatio is the ratio of extra tokens to useful tokens that a service may spend. One
	// in ten covers the loss of one engine out of 18 each minute and limits the worst case to
	// a tenth more load.
	DefaultRatio = 0.10
	// windowSeconds is how many seconds of income the balance can hold: enough to take over
	// what one dead engine ran, and too little for a quiet hour to pay for many repeats at
	// once.
	windowSeconds = 60.0
	// minIncomePerSecond is the least income in tokens, so that a daemon with little traffic
	// can still afford an occasional takeover.
	minIncomePerSecond = 10.0
	// minCapacityTokens is the least capacity of the balance.
	minCapacityTokens = 4000.0
)

// Reason explains why a withdrawal was granted or refused.
type Reason string

// The reasons.
const (
	Granted   Reason = "budget_granted"
	Forced    Reason = "budget_forced"
	Exhausted Reason = "budget_exhausted"
	Saturated Reason = "saturated"
)

// Withdrawal is a request to spend tokens.
type Withdrawal struct {
	Tokens float64
	// Forced marks the continuation of an answer whose backend server is certainly gone. It is
	// always granted; the overdraft is repaid before further withdrawals are granted.
	Forced bool
	// Saturated reports that requests are waiting for backend servers.
	Saturated bool
}

// Budget is the balance of one service on one daemon. The zero value starts with
// minCapacityTokens. A Budget is not safe for concurrent use.
type Budget struct {
	balance         float64
	incomePerSecond float64 // decayed mean of deposited tokens
	updated         time.Time
}

const (
	// minTakeoverRatio and maxTakeoverRatio are the ratios of takeover cost to generated
	// tokens allowed for takeovers of live attempts at resume latency weights 0 and 1. Between
	// them the ratio grows with the square of the weight, so that services that weigh cost
	// stay under 1%.
	minTakeoverRatio, maxTakeoverRatio = 0.005, 0.05
	// prefillCostRatio is the engine's cost of reading one token of prompt or prefix relative
	// to generating one: prefill processes many tokens at once.
	prefillCostRatio = 0.1
)

// TakeoverRatio returns the ratio of takeover cost to generated tokens that a service may
// spend, given its weight of resume latency from 0 to 1.
func TakeoverRatio(weight float64) float64 {
	weight = min(max(weight, 0), 1)
	return minTakeoverRatio + weight*weight*(maxTakeoverRatio-minTakeoverRatio)
}

// TakeoverCost returns the extra work, in generated tokens, of a takeover that makes another
// engine read this many tokens of prompt and answer.
func TakeoverCost(tokens int) float64 { return prefillCostRatio * float64(tokens) }

// Deposit adds ratio times the useful tokens to the balance.
func (b *Budget) Deposit(now time.Time, tokens, ratio float64) {
	b.refill(now)
	credit := ratio * tokens
	b.incomePerSecond += credit / windowSeconds
	b.balance = min(b.balance+credit, b.capacity())
}

// Withdraw asks to spend tokens and returns whether and why it is granted.
func (b *Budget) Withdraw(now time.Time, w Withdrawal) Reason {
	b.refill(now)
	switch {
	case w.Forced:
		b.balance = max(b.balance-w.Tokens, -b.capacity())
		return Forced
	case w.Saturated:
		return Saturated
	case b.balance < w.Tokens:
		return Exhausted
	}
	b.balance -= w.Tokens
	return Granted
}

// Wait returns the time until tokens can be withdrawn at the current income.
func (b *Budget) Wait(tokens float64) time.Duration {
	missing := max(0, tokens-b.balance)
	return time.Duration(missing / (b.incomePerSecond + minIncomePerSecond) * float64(time.Second))
}

// Balance returns the number of tokens that can be withdrawn now.
func (b *Budget) Balance() float64 { return b.balance }

func (b *Budget) capacity() float64 { return max(minCapacityTokens, b.incomePerSecond*windowSeconds) }

func (b *Budget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.balance = minCapacityTokens
	} else if s := now.Sub(b.updated).Seconds(); s > 0 {
		b.incomePerSecond = max(0, b.incomePerSecond-b.incomePerSecond*min(1, s/windowSeconds))
		b.balance = min(b.balance+minIncomePerSecond*s, b.capacity())
	}
	b.updated = now
}

// Package budget decides whether a retry or a takeover is affordable. There is
// one budget a service for both, counted in tokens.
//
// Load it answers: failures at saturation, and a stall of all engines at once.
//
// Without it, each failure adds load exactly when there is least room: retries
// multiply the offered work, the added work makes more requests fail, and the
// system stays down after the cause has gone. A global stall looks like the
// death of every engine and would start every generation a second time.
package budget

import "time"

const (
	// DefaultRatio is the share of useful tokens that may be spent again. One in
	// ten carries the loss of one engine of 18 a minute, and keeps
	// the worst case at a tenth more load.
	DefaultRatio = 0.10
	// window is how much past work the budget can draw on, in seconds of income:
	// long enough to take over what one dead engine ran, short enough that a
	// quiet hour does not pay for many repeats at once.
	window = 60.0
	// trickle is the least income in tokens a second, so that a daemon with
	// little traffic can still afford a takeover now and then.
	trickle = 10.0
	// floorTokens is the least the balance can hold.
	floorTokens = 4000.0
)

// Reason says why an expense was granted or refused.
type Reason string

// The reasons.
const (
	Granted   Reason = "budget_granted"
	Forced    Reason = "budget_forced"
	Exhausted Reason = "budget_exhausted"
	Saturated Reason = "saturated"
)

// Withdrawal is what the budget is asked to pay.
type Withdrawal struct {
	Tokens float64
	// Forced marks the continuation of an answer whose backend server is
	// certainly gone: it is always granted, and paid for by the next ones.
	Forced bool
	// Saturated says that requests are waiting for backend servers.
	Saturated bool
}

// Budget is the balance of one service on one daemon. The zero value has the default share
// and a full floor. It is not safe for concurrent use.
type Budget struct {
	balance float64
	income  float64 // decayed tokens earned a second
	updated time.Time
}

const (
	// minTakeoverShare and maxTakeoverShare are the shares of generated tokens
	// that takeovers of live attempts may cost at weight 0 and 1 of resume
	// latency. Between them the share grows with the square of the weight, so
	// that services that weigh cost stay under one in a hundred.
	minTakeoverShare, maxTakeoverShare = 0.005, 0.05
	// prefillCost is what reading one token of prompt or prefix costs an engine
	// beside generating one: prefill works on many tokens at once.
	prefillCost = 0.1
)

// TakeoverRatio is the share of a service's generated tokens that takeovers may
// cost, by its weight of resume latency from 0 to 1.
func TakeoverRatio(weight float64) float64 {
	weight = min(max(weight, 0), 1)
	return minTakeoverShare + weight*weight*(maxTakeoverShare-minTakeoverShare)
}

// TakeoverCost is the extra work, in generated tokens, of a takeover that makes
// another engine read this many tokens of prompt and answer.
func TakeoverCost(tokens int) float64 { return prefillCost * float64(tokens) }

// Deposit credits a share of useful tokens.
func (b *Budget) Deposit(now time.Time, tokens, share float64) {
	b.advance(now)
	earned := share * tokens
	b.income += earned / window
	b.balance = min(b.balance+earned, b.most())
}

// Withdraw asks for an expense.
func (b *Budget) Withdraw(now time.Time, e Withdrawal) Reason {
	b.advance(now)
	switch {
	case e.Forced:
		b.balance = max(b.balance-e.Tokens, -b.most())
		return Forced
	case e.Saturated:
		return Saturated
	case b.balance < e.Tokens:
		return Exhausted
	}
	b.balance -= e.Tokens
	return Granted
}

// Wait is how long until tokens are affordable at the present income.
func (b *Budget) Wait(tokens float64) time.Duration {
	missing := max(0, tokens-b.balance)
	return time.Duration(missing / (b.income + trickle) * float64(time.Second))
}

// Balance is the number of tokens that may be spent now.
func (b *Budget) Balance() float64 { return b.balance }

func (b *Budget) most() float64 { return max(floorTokens, b.income*window) }

func (b *Budget) advance(now time.Time) {
	if b.updated.IsZero() {
		b.balance = floorTokens
	} else if s := now.Sub(b.updated).Seconds(); s > 0 {
		b.income = max(0, b.income-b.income*min(1, s/window))
		b.balance = min(b.balance+trickle*s, b.most())
	}
	b.updated = now
}

package budget

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

// All engines stall at once, so every stream looks dead. Starting each of them a second time
// doubles the load during the stall. The budget must stop at its ratio of the useful tokens.
func TestTakeoverStormStopsAtTheRatio(t *testing.T) {
	var b Budget
	now := epoch
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		b.Deposit(now, 1000, DefaultRatio) // 10,000 tokens per second
	}
	spent := 0.0
	for b.Withdraw(now, Withdrawal{Tokens: 500}) == Granted {
		spent += 500
	}
	test.Between(t, 0.05*600*1000, spent, DefaultRatio*600*1000+minCapacityTokens)
	test.Eq(t, Exhausted, b.Withdraw(now, Withdrawal{Tokens: 500}))
	test.Between(t, 0, b.Wait(500), time.Second)
}

func TestNoRetryWhileSaturated(t *testing.T) {
	var b Budget
	test.Eq(t, Saturated, b.Withdraw(epoch, Withdrawal{Tokens: 1, Saturated: true}))
	test.Eq(t, Granted, b.Withdraw(epoch, Withdrawal{Tokens: 1}))
}

func TestForcedContinuationOverdrawsTheBudget(t *testing.T) {
	var b Budget
	must.Eq(t, Forced, b.Withdraw(epoch, Withdrawal{Tokens: 7000, Forced: true, Saturated: true}))
	test.Negative(t, b.Balance())
	test.Eq(t, Exhausted, b.Withdraw(epoch, Withdrawal{Tokens: 1}))
	wait := b.Wait(1000)
	test.Eq(t, Granted, b.Withdraw(epoch.Add(wait+time.Second), Withdrawal{Tokens: 1000}))
}

// A service that weighs cost sees an hour of false suspicions. Its takeovers must cost less
// than 1% of the tokens that it generates.
func TestLowLatencyWeightKeepsTakeoversUnderOnePercent(t *testing.T) {
	const perSecond, takeoverTokens = 5000.0, 200
	var b Budget
	now, spent := epoch, 0.0
	for range 3600 {
		now = now.Add(time.Second)
		b.Deposit(now, perSecond, TakeoverRatio(0.2))
		for b.Withdraw(now, Withdrawal{Tokens: takeoverTokens}) == Granted {
			spent += takeoverTokens
		}
	}
	test.Between(t, 0.005*3600*perSecond, spent, 0.01*3600*perSecond)
	test.Eq(t, TakeoverRatio(1), TakeoverRatio(3))
}

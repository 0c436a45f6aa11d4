package budget

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

// All engines stall at once and every stream looks dead.
// Each would be started a second time, which doubles the load of the stall.
// The budget must stop at its share of the useful tokens.
func TestStormOfTakeoversStopsAtTheShare(t *testing.T) {
	var b Budget
	now := epoch
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		b.Deposit(now, 1000, DefaultRatio) // 10,000 tokens a second
	}
	spent := 0.0
	for b.Withdraw(now, Withdrawal{Tokens: 500}) == Granted {
		spent += 500
	}
	test.Between(t, 0.05*600*1000, spent, DefaultRatio*600*1000+floorTokens)
	test.Eq(t, Exhausted, b.Withdraw(now, Withdrawal{Tokens: 500}))
	test.Between(t, 0, b.Wait(500), time.Second)
}

func TestNoRetryAgainstAQueue(t *testing.T) {
	var b Budget
	test.Eq(t, Saturated, b.Withdraw(epoch, Withdrawal{Tokens: 1, Saturated: true}))
	test.Eq(t, Granted, b.Withdraw(epoch, Withdrawal{Tokens: 1}))
}

func TestForcedContinuationIsPaidByLaterOnes(t *testing.T) {
	var b Budget
	must.Eq(t, Forced, b.Withdraw(epoch, Withdrawal{Tokens: 7000, Forced: true, Saturated: true}))
	test.Negative(t, b.Balance())
	test.Eq(t, Exhausted, b.Withdraw(epoch, Withdrawal{Tokens: 1}))
	wait := b.Wait(1000)
	test.Eq(t, Granted, b.Withdraw(epoch.Add(wait+time.Second), Withdrawal{Tokens: 1000}))
}

// A service that weighs cost sees a long hour of false suspicions. What its
// takeovers cost stays under one in a hundred of the tokens it generates.
func TestCostSettingStaysUnderOneInAHundred(t *testing.T) {
	const perSecond, cost = 5000.0, 200
	var b Budget
	now, spent := epoch, 0.0
	for range 3600 {
		now = now.Add(time.Second)
		b.Deposit(now, perSecond, TakeoverRatio(0.2))
		for b.Withdraw(now, Withdrawal{Tokens: cost}) == Granted {
			spent += cost
		}
	}
	test.Between(t, 0.005*3600*perSecond, spent, 0.01*3600*perSecond)
	test.Eq(t, TakeoverRatio(1), TakeoverRatio(3))
}

package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

// feedGaps feeds c token gaps of the given size for 30 s and returns the time at the end.
func feedGaps(c *Concurrency, now time.Time, gap time.Duration, inFlight func() int) time.Time {
	for range 120 {
		for range gapWindowCount {
			c.ObserveTokenGap(gap)
		}
		now = now.Add(adjustInterval)
		c.Adjust(now, inFlight())
	}
	return now
}

func TestLimitFallsWithTheGapAndRecovers(t *testing.T) {
	c := NewConcurrency(32, 1, 0)
	must.Eq(t, 32, c.Limit())
	full := func() int { return c.Limit() }
	now := feedGaps(&c, epoch, 20*time.Millisecond, full)
	must.Eq(t, 32, c.Limit())
	now = feedGaps(&c, now, 80*time.Millisecond, full)
	test.LessEq(t, 4, c.Limit())
	feedGaps(&c, now, 22*time.Millisecond, full)
	test.GreaterEq(t, 30, c.Limit())
}

func TestUnusedLimitDoesNotGrow(t *testing.T) {
	c := NewConcurrency(32, 1, 0)
	now := feedGaps(&c, epoch, 20*time.Millisecond, func() int { return 0 })
	now = feedGaps(&c, now, 80*time.Millisecond, func() int { return c.Limit() })
	low := c.Limit()
	must.Less(t, 32, low)
	feedGaps(&c, now, 20*time.Millisecond, func() int { return 0 })
	test.Eq(t, low, c.Limit())
}

// Seven daemons read the same old report. If each takes all free slots, the engine alternates
// between overload and idleness with the period of the reports. A single busy daemon must
// approach the slots without ever exceeding them; what stays unused is less than one request
// for each daemon that might send some.
func TestDaemonsThatReadTheSameReportShareFreeSlots(t *testing.T) {
	const slots, daemons = 20, 7
	servers := make([]Concurrency, daemons)
	for i := range servers {
		servers[i] = NewConcurrency(slots, daemons, float64(i)/daemons)
	}
	inFlight := make([]int, daemons)
	inFlight[0] = 2 // the six other daemons are idle; daemon 0 uses all it may have
	for k := range 30 {
		running := 0
		for _, n := range inFlight {
			running += n
		}
		for i := range servers {
			servers[i].ApplyReport(Report{
				TakenAt: epoch.Add(time.Duration(k) * time.Second), Running: running,
				OwnInFlight: inFlight[i], SharingDaemons: daemons, ReadingDaemons: daemons,
			}, slots)
		}
		servers[0].limit = slots
		inFlight[0] = servers[0].Limit()
		must.LessEq(t, slots, inFlight[0])
	}
	test.GreaterEq(t, slots-daemons, inFlight[0])
}

func TestSharesOfAllDaemonsSumToTheSlots(t *testing.T) {
	const slots, daemons = 20, 7
	sum := 0
	for i := range daemons {
		c := NewConcurrency(slots, daemons, float64(i)/daemons)
		sum += c.Limit()
	}
	test.Between(t, slots-1, sum, slots+1)
}

func TestEngineThatQueuesLowersTheLimit(t *testing.T) {
	c := NewConcurrency(16, 1, 0)
	c.ApplyReport(Report{TakenAt: epoch, Running: 16, Waiting: 4, OwnInFlight: 20, SharingDaemons: 1, ReadingDaemons: 1}, 16)
	test.Less(t, 16, c.Limit())
}

func TestAccountGetsItsRateForAnyRequestSize(t *testing.T) {
	var a TokenBucket
	now, granted := epoch, 0.0
	for range 6000 {
		now = now.Add(100 * time.Millisecond)
		if a.Take(now, 5000, 100) == 0 {
			granted += 5000
		}
	}
	test.Between(t, 600*100, granted, 600*100+burstSeconds*100+5000)
}

func TestRefusedAccountIsGrantedAfterTheReturnedWait(t *testing.T) {
	var a TokenBucket
	must.Zero(t, a.Take(epoch, 50000, 100))
	wait := a.Take(epoch, 10, 100)
	must.Positive(t, wait)
	test.Positive(t, a.Take(epoch.Add(wait-time.Second), 10, 100))
	test.Zero(t, a.Take(epoch.Add(wait), 10, 100))
}

func TestAccountShareOfUnselectedVM(t *testing.T) {
	test.Eq(t, 0.125, AccountShare(8, true))
	test.Eq(t, 0.0125, AccountShare(8, false))
}

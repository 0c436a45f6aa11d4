package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

// settle shows s one gap for 30 s, which end at the returned time.
func settle(s *Concurrency, now time.Time, gap time.Duration, inFlight func() int) time.Time {
	for range 120 {
		for range gapMemory {
			s.ObserveTokenGap(gap)
		}
		now = now.Add(adjustEvery)
		s.Adjust(now, inFlight())
	}
	return now
}

func TestLimitFallsWithTheGapAndRecovers(t *testing.T) {
	s := NewConcurrency(32, 1, 0)
	must.Eq(t, 32, s.Limit())
	full := func() int { return s.Limit() }
	now := settle(&s, epoch, 20*time.Millisecond, full)
	must.Eq(t, 32, s.Limit())
	now = settle(&s, now, 80*time.Millisecond, full)
	test.LessEq(t, 4, s.Limit())
	settle(&s, now, 22*time.Millisecond, full)
	test.GreaterEq(t, 30, s.Limit())
}

func TestUnusedLimitDoesNotGrow(t *testing.T) {
	s := NewConcurrency(32, 1, 0)
	now := settle(&s, epoch, 20*time.Millisecond, func() int { return 0 })
	now = settle(&s, now, 80*time.Millisecond, func() int { return s.Limit() })
	low := s.Limit()
	must.Less(t, 32, low)
	settle(&s, now, 20*time.Millisecond, func() int { return 0 })
	test.Eq(t, low, s.Limit())
}

// Engines are overrun and idle in turn, with the period of the load reports.
// Seven daemons read the same old report; each takes all that was free.
// One that is alone must approach the slots without ever passing them; what
// stays unused is less than one request for each daemon that might come.
func TestDaemonsThatReadTheSameReportShareWhatIsFree(t *testing.T) {
	const slots, daemons = 20, 7
	servers := make([]Concurrency, daemons)
	for i := range servers {
		servers[i] = NewConcurrency(slots, daemons, float64(i)/daemons)
	}
	own := make([]int, daemons)
	own[0] = 2 // six others idle; daemon 0 wants all it may have
	for k := range 30 {
		running := 0
		for _, n := range own {
			running += n
		}
		for i := range servers {
			servers[i].ApplyReport(Report{
				TakenAt: epoch.Add(time.Duration(k) * time.Second), Running: running,
				OwnInFlight: own[i], SharingDaemons: daemons, ReadingDaemons: daemons,
			}, slots)
		}
		servers[0].limit = slots
		own[0] = servers[0].Limit()
		must.LessEq(t, slots, own[0])
	}
	test.GreaterEq(t, slots-daemons, own[0])
}

func TestSharesOfAllDaemonsSumToTheSlots(t *testing.T) {
	const slots, daemons = 20, 7
	sum := 0
	for i := range daemons {
		s := NewConcurrency(slots, daemons, float64(i)/daemons)
		sum += s.Limit()
	}
	test.Between(t, slots-1, sum, slots+1)
}

func TestEngineThatQueuesLowersTheLimit(t *testing.T) {
	s := NewConcurrency(16, 1, 0)
	s.ApplyReport(Report{TakenAt: epoch, Running: 16, Waiting: 4, OwnInFlight: 20, SharingDaemons: 1, ReadingDaemons: 1}, 16)
	test.Less(t, 16, s.Limit())
}

func TestAccountGetsItsRateHoweverLargeItsRequests(t *testing.T) {
	var a TokenBucket
	now, granted := epoch, 0.0
	for range 6000 {
		now = now.Add(100 * time.Millisecond)
		if a.Take(now, 5000, 100) == 0 {
			granted += 5000
		}
	}
	test.Between(t, 600*100, granted, 600*100+burst*100+5000)
}

func TestRefusedAccountIsLetInWhenItWasTold(t *testing.T) {
	var a TokenBucket
	must.Zero(t, a.Take(epoch, 50000, 100))
	wait := a.Take(epoch, 10, 100)
	must.Positive(t, wait)
	test.Positive(t, a.Take(epoch.Add(wait-time.Second), 10, 100))
	test.Zero(t, a.Take(epoch.Add(wait), 10, 100))
}

func TestShareOfAVMThatWasNotTold(t *testing.T) {
	test.Eq(t, 0.125, AccountShare(8, true))
	test.Eq(t, 0.0125, AccountShare(8, false))
}

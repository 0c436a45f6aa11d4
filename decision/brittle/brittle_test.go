package brittle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/rendezvous"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		text    string
		limit   int
		stated  bool
		invalid bool
	}{
		{"", 0, false, false}, {"12", 12, true, false}, {"0", 0, true, false}, {"-1", 0, true, true}, {"many", 0, true, true},
	} {
		limit, stated, err := ParseLimit(c.text)
		must.Eq(t, c.stated, stated)
		must.Eq(t, c.invalid, err != nil)
		if !c.invalid {
			must.Eq(t, c.limit, limit)
		}
	}
}

// Guards against parts that add up to more than a server can take, or leave most of it unused.
func TestPartsOfAllDaemonsFitTheSlots(t *testing.T) {
	for _, daemons := range []int{1, 6, 7, 61, 295, 984, 1968} {
		for _, slots := range []int{1, 4, 6, 12, 32, 64} {
			t.Run(fmt.Sprint(daemons, " daemons, ", slots, " slots"), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(daemons), uint64(slots)))
				hashes := make([]uint64, daemons)
				for i := range hashes {
					hashes[i] = random.Uint64()
				}
				sum := 0
				for rank := range rendezvous.Select(random.Uint64(), hashes, daemons) {
					sum += Window(slots, daemons, rank)
				}
				must.LessEq(t, slots, sum)
				must.Greater(t, slots/2, sum)
			})
		}
	}
}

// A statement ends with a later response without it, not with an earlier one, and after a time without
// any.
func TestStatementEnds(t *testing.T) {
	var s Service
	must.False(t, s.IsBrittle(start))
	must.False(t, s.Observe(start, 0, false))
	must.True(t, s.Observe(start, 5, true))
	must.False(t, s.Observe(start.Add(time.Second), 5, true))
	must.False(t, s.Observe(start, 0, false))
	must.True(t, s.IsBrittle(start.Add(10*time.Second)))
	must.False(t, s.IsBrittle(start.Add(11*time.Second)))
	must.True(t, s.Observe(start.Add(2*time.Second), 0, false))
	must.False(t, s.IsBrittle(start.Add(2*time.Second)))
}

// A daemon without a part sends one request at a time, and none for a while after a rejection. The
// time grows with the fleet and shrinks with what the servers survive.
func TestRetreatAfterRejection(t *testing.T) {
	for _, c := range []struct {
		limit, daemons, servers int
		draw                    float64
		want                    time.Duration
	}{
		{5, 7, 3, 0.5, time.Second},
		{5, 60, 3, 0.5, 8 * time.Second},
		{5, 60, 3, 0, time.Second},
		{20, 984, 150, 0.5, time.Second},
		{0, 984, 3, 0.5, 10 * time.Second},
	} {
		var s Service
		s.Observe(start, c.limit, true)
		must.True(t, s.MaySendWithoutPart(start, 0))
		must.False(t, s.MaySendWithoutPart(start, 1))
		s.RecordRejection(start, c.daemons, c.servers, c.draw)
		must.False(t, s.MaySendWithoutPart(start.Add(c.want-time.Millisecond), 0), must.Sprint(c))
		must.True(t, s.MaySendWithoutPart(start.Add(c.want), 0), must.Sprint(c))
	}
}

// A daemon that is told takes the servers for brittle, and does not tell the others again at once.
func TestToldDaemonTellsLater(t *testing.T) {
	var s Service
	s.RecordTold(start, 5)
	must.True(t, s.IsBrittle(start))
	must.Eq(t, 5, s.Limit())
	must.False(t, s.ShouldTell(start.Add(tellInterval/2), true))
	must.False(t, s.ShouldTell(start.Add(tellInterval), false))
	must.True(t, s.ShouldTell(start.Add(tellInterval), true))
	must.False(t, s.ShouldTell(start.Add(tellInterval), true))
	must.True(t, s.ShouldTell(start.Add(tellInterval+repeatInterval), false))
	must.False(t, s.ShouldTell(start.Add(time.Minute), false))
}

// Guards against a rejection that takes from servers with room the load of all daemons that they serve.
func TestServedDaemonsStayAfterOtherRejection(t *testing.T) {
	const fleet, servers = 1000, 3
	random := rand.New(rand.NewPCG(1, 2))
	// maySend returns how many of the daemons may send again at once after a rejection.
	maySend := func(reject func(s *Service, draw float64)) (n int) {
		for range fleet {
			s := Service{limit: 5, statedAt: start}
			reject(&s, random.Float64())
			if s.MaySendWithoutPart(start, 0) {
				n++
			}
		}
		return n
	}
	other := func(inFlight int) func(*Service, float64) {
		return func(s *Service, draw float64) { s.RecordOtherRejection(start, inFlight, fleet, servers, draw) }
	}
	must.Between(t, 0.45*fleet, float64(maySend(other(1))), 0.55*fleet)
	must.Zero(t, maySend(other(0)))
	must.Zero(t, maySend(func(s *Service, draw float64) { s.RecordRejection(start, fleet, servers, draw) }))
}

// Guards against daemons that leave after another's rejection and return sooner, or later, than idle ones.
func TestServedDaemonsThatLeaveReturnAsIdleOnes(t *testing.T) {
	for _, draw := range []float64{0, 0.25, 0.5, 0.75} {
		var idle, served Service
		idle.RecordOtherRejection(start, 0, 60, 3, draw)
		served.RecordOtherRejection(start, 1, 60, 3, stayRatio+(1-stayRatio)*draw)
		must.Eq(t, idle.retreatUntil, served.retreatUntil)
	}
}

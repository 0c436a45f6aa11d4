package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleetCalls are calls that arrive at daemons before one server that names a rate.
type fleetCalls struct {
	daemons   int
	perSecond float64 // calls of all daemons for which the server is the first choice
	rate      float64
	uneven    bool // one daemon gets half of them
}

const (
	played    = 60 * time.Second
	step      = time.Millisecond
	roundTrip = 2 // steps until a question is answered
	span      = 4 * time.Second
)

// play returns how many calls reached the server, the most of them in a span, and how many
// questions were asked.
func (f fleetCalls) play(seed uint64) (sent, most, asked int) {
	random := rand.New(rand.NewPCG(seed, 0))
	turns := make([]PermitPoller, f.daemons)
	answers := map[int][]int{} // daemons whose questions are answered in a step
	var bucket TokenBucket
	var arrivals []time.Time
	start := time.Now()
	for n := range int(played / step) {
		now := start.Add(time.Duration(n) * step)
		for _, d := range answers[n] {
			granted, wait := bucket.Take(now, PermitRate(f.rate))
			turns[d].Complete(now, wait)
			if granted {
				arrivals = append(arrivals, now)
			}
		}
		delete(answers, n)
		if random.Float64() >= f.perSecond*step.Seconds() {
			continue
		}
		d := random.IntN(f.daemons)
		if f.uneven && random.IntN(2) == 0 {
			d = 0
		}
		if turns[d].TryAsk(now) {
			asked++
			answers[n+roundTrip] = append(answers[n+roundTrip], d)
		}
	}
	first := 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return len(arrivals), most, asked
}

// However many daemons there are, the server gets its rate and no burst of theirs.
func TestFleetKeepsToTheRateOfAServer(t *testing.T) {
	for _, f := range []fleetCalls{
		{daemons: 7, perSecond: 28, rate: 5.8},
		{daemons: 7, perSecond: 28, rate: 5.8, uneven: true},
		{daemons: 73, perSecond: 108, rate: 5.8},
		{daemons: 295, perSecond: 109, rate: 5.8},
		{daemons: 295, perSecond: 109, rate: 5.8, uneven: true},
		{daemons: 295, perSecond: 109, rate: 60},
		{daemons: 390, perSecond: 1600, rate: 100},
	} {
		sent, most, asked := f.play(1)
		perSecond := float64(sent) / played.Seconds()
		t.Logf("%+v: %.1f a second, at most %d in %v, %.1f questions a second", f, perSecond, most, span, float64(asked)/played.Seconds())
		must.LessEq(t, int(1.5*f.rate*span.Seconds())+5, most)
		must.Between(t, 0.55*f.rate, perSecond, f.rate)
		must.LessEq(t, 4*f.rate+float64(f.daemons)/maxWait.Seconds(), float64(asked)/played.Seconds())
	}
}

// Parts of daemons that hear nobody must not add up to more than the rate.
func TestDaemonsThatHearNobodyKeepToTheRate(t *testing.T) {
	for _, rate := range []float64{0, 5.8, 60} {
		const daemons = 295
		random := rand.New(rand.NewPCG(1, 0))
		shares := make([]TokenBucket, daemons)
		for d := range shares {
			shares[d] = NewDaemonBucket(random.Float64())
		}
		var arrivals []time.Time
		start := time.Now()
		for n := range int(5 * time.Minute / (10 * time.Millisecond)) {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			if granted, _ := shares[random.IntN(daemons)].Take(now, PermitRate(rate)/daemons); granted {
				arrivals = append(arrivals, now)
			}
		}
		first, most := 0, 0
		for last, at := range arrivals {
			for at.Sub(arrivals[first]) >= span {
				first++
			}
			most = max(most, last-first+1)
		}
		must.LessEq(t, int(1.5*max(leastRate, rate)*span.Seconds())+5, most, must.Sprint(rate))
		must.Positive(t, len(arrivals))
	}
}

package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleetConfig configures the calls of a fleet of daemons to one server that announces a rate.
type fleetConfig struct {
	daemons        int
	callsPerSecond float64 // calls of all daemons for which the server is the first choice
	rate           float64
	skewed         bool // one daemon gets half of the calls
}

const (
	simDuration = 60 * time.Second
	step        = time.Millisecond
	roundTrip   = 2 // steps until a permit request is answered
	window      = 4 * time.Second
)

// run returns how many calls reached the server, the most of them in any window, and the number of
// permit requests.
func (f fleetConfig) run(seed uint64) (sent, maxInWindow, permitRequests int) {
	random := rand.New(rand.NewPCG(seed, 0))
	pollers := make([]PermitPoller, f.daemons)
	replies := map[int][]int{} // daemons whose permit requests are answered, by step
	var bucket TokenBucket
	var arrivals []time.Time
	start := time.Now()
	for n := range int(simDuration / step) {
		now := start.Add(time.Duration(n) * step)
		for _, d := range replies[n] {
			granted, wait := bucket.Take(now, PermitRate(f.rate))
			pollers[d].Complete(now, wait)
			if granted {
				arrivals = append(arrivals, now)
			}
		}
		delete(replies, n)
		if random.Float64() >= f.callsPerSecond*step.Seconds() {
			continue
		}
		d := random.IntN(f.daemons)
		if f.skewed && random.IntN(2) == 0 {
			d = 0
		}
		if pollers[d].TryAsk(now) {
			permitRequests++
			replies[n+roundTrip] = append(replies[n+roundTrip], d)
		}
	}
	first := 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		maxInWindow = max(maxInWindow, last-first+1)
	}
	return len(arrivals), maxInWindow, permitRequests
}

// For any number of daemons, the server must get its rate and no burst.
func TestFleetKeepsToServerRate(t *testing.T) {
	for _, f := range []fleetConfig{
		{daemons: 7, callsPerSecond: 28, rate: 5.8},
		{daemons: 7, callsPerSecond: 28, rate: 5.8, skewed: true},
		{daemons: 73, callsPerSecond: 108, rate: 5.8},
		{daemons: 295, callsPerSecond: 109, rate: 5.8},
		{daemons: 295, callsPerSecond: 109, rate: 5.8, skewed: true},
		{daemons: 295, callsPerSecond: 109, rate: 60},
		{daemons: 390, callsPerSecond: 1600, rate: 100},
	} {
		sent, maxInWindow, permitRequests := f.run(1)
		perSecond := float64(sent) / simDuration.Seconds()
		t.Logf("%+v: %.1f per second, at most %d in %v, %.1f permit requests per second", f, perSecond, maxInWindow, window, float64(permitRequests)/simDuration.Seconds())
		must.LessEq(t, int(1.5*f.rate*window.Seconds())+5, maxInWindow)
		must.Between(t, 0.55*f.rate, perSecond, f.rate)
		must.LessEq(t, 4*f.rate+float64(f.daemons)/maxRetryWait.Seconds(), float64(permitRequests)/simDuration.Seconds())
	}
}

// The parts of daemons that cannot reach each other must not add up to more than the rate.
func TestIsolatedDaemonsKeepToTheRate(t *testing.T) {
	for _, rate := range []float64{0, 5.8, 60} {
		const daemons = 295
		random := rand.New(rand.NewPCG(1, 0))
		buckets := make([]TokenBucket, daemons)
		for d := range buckets {
			buckets[d] = NewDaemonBucket(random.Float64())
		}
		var arrivals []time.Time
		start := time.Now()
		for n := range int(5 * time.Minute / (10 * time.Millisecond)) {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			if granted, _ := buckets[random.IntN(daemons)].Take(now, PermitRate(rate)/daemons); granted {
				arrivals = append(arrivals, now)
			}
		}
		first, maxInWindow := 0, 0
		for last, at := range arrivals {
			for at.Sub(arrivals[first]) >= window {
				first++
			}
			maxInWindow = max(maxInWindow, last-first+1)
		}
		must.LessEq(t, int(1.5*max(minPermitsPerSecond, rate)*window.Seconds())+5, maxInWindow, must.Sprint(rate))
		must.Positive(t, len(arrivals))
	}
}

package cooldown

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestParsePause(t *testing.T) {
	for _, c := range []struct {
		text  string
		pause time.Duration
		asked bool
		valid bool
	}{
		{"", 0, false, true},
		{"3", 3 * time.Second, true, true},
		{"0.25", 250 * time.Millisecond, true, true},
		{"0", 0, false, true},
		{"3600", maxPause, true, true},
		{"1e300", maxPause, true, true},
		{"+Inf", maxPause, true, true},
		{"-1", unreadablePause, true, false},
		{"NaN", unreadablePause, true, false},
		{"soon", unreadablePause, true, false},
		{"Wed, 21 Oct 2026 07:28:00 GMT", unreadablePause, true, false},
	} {
		pause, asked, err := ParsePause(c.text)
		must.Eq(t, c.pause, pause, must.Sprint(c.text))
		must.Eq(t, c.asked, asked, must.Sprint(c.text))
		must.Eq(t, c.valid, err == nil, must.Sprint(c.text))
	}
}

func TestPause(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var s State
	must.True(t, s.TrySend(at(0)))
	must.True(t, s.Ask(at(0), 3*time.Second, 0))
	must.False(t, s.Ask(at(1), time.Second, 0)) // shorter than what is left
	must.False(t, s.CanSend(at(2.9)))
	must.Eq(t, 100*time.Millisecond, s.Left(at(2.9)).Round(time.Millisecond))
	must.False(t, s.Ask(at(2), 2*time.Second, 0)) // extends the pause
	must.False(t, s.CanSend(at(3.9)))
	must.False(t, s.Served(at(3.9))) // sent before the end
	must.True(t, s.TrySend(at(4)))
	must.False(t, s.TrySend(at(4.1))) // the first is not answered
	must.Eq(t, trialInterval-100*time.Millisecond, s.Wait(at(4.1)).Round(time.Millisecond))
	must.Zero(t, s.Left(at(4.1)))
	must.True(t, s.TrySend(at(4.3)))
	must.True(t, s.Served(at(4)))
	must.True(t, s.TrySend(at(4.31)))
	must.True(t, s.TrySend(at(4.32)))
	must.False(t, s.IsActive())
}

// Guards against daemons that return before a pause ends, or all at the same moment.
func TestFleetReturnsAfterPause(t *testing.T) {
	const (
		pause  = 3 * time.Second
		step   = time.Millisecond
		length = 6 * time.Second
	)
	for _, daemons := range []int{7, 61, 295, 984} {
		random := rand.New(rand.NewPCG(1, 0))
		states, start := make([]State, daemons), time.Now()
		for d := range states {
			states[d].Ask(start, pause, random.Float64())
		}
		early, inTrial := 0, 0
		for n := range int(length / step) {
			now := start.Add(time.Duration(n) * step)
			for d := range states { // each daemon wants to send all the time, and none is answered
				switch {
				case !states[d].TrySend(now):
				case now.Sub(start) < pause:
					early++
				case now.Sub(start) < pause+pause/10:
					inTrial++
				}
			}
		}
		must.Zero(t, early)
		must.Between(t, daemons, inTrial, 2*daemons, must.Sprint(daemons)) // 300 ms hold at most two trials
	}
}

func TestRetryAfterIsNotBeforeTheEnd(t *testing.T) {
	must.Eq(t, 2*time.Second, RetryAfter(2*time.Second, 0))
	must.Eq(t, 2500*time.Millisecond, RetryAfter(2*time.Second, 1))
}

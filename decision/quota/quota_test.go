package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestParseRate(t *testing.T) {
	for _, c := range []struct {
		text    string
		rate    float64
		limited bool
		invalid bool
	}{
		{"", 0, false, false},
		{"5.8", 5.8, true, false},
		{"0", 0, true, false},
		{"1e-9", 1e-9, true, false},
		{"+Inf", 0, false, false},
		{"-1", 0, true, true},
		{"NaN", 0, true, true},
		{"-Inf", 0, true, true},
		{"five", 0, true, true},
		{"5,8", 0, true, true},
		{"1e999", 0, true, true},
	} {
		rate, limited, err := ParseRate(c.text)
		must.Eq(t, c.rate, rate, must.Sprint(c.text))
		must.Eq(t, c.limited, limited, must.Sprint(c.text))
		must.Eq(t, c.invalid, err != nil, must.Sprint(c.text))
	}
}

func TestTokenBucketGrantsTheRate(t *testing.T) {
	for _, rate := range []float64{0, 0.1, 1, 5.8, 200} {
		var b TokenBucket
		start := time.Now()
		granted := 0
		for now := start; now.Before(start.Add(100 * time.Second)); now = now.Add(time.Millisecond) {
			if ok, wait := b.Take(now, PermitRate(rate)); ok {
				granted++
			} else {
				must.Positive(t, wait)
				must.LessEq(t, maxRetryWait, wait)
			}
		}
		must.Between(t, 0.95, float64(granted)/100/PermitRate(rate), 1.05, must.Sprint(rate))
	}
}

// Daemons that are denied a permit must not all ask again at the same moment.
func TestRefusedDaemonsGetDifferentWaits(t *testing.T) {
	var b TokenBucket
	now := time.Now()
	b.Take(now, PermitRate(5))
	_, first := b.Take(now, PermitRate(5))
	_, second := b.Take(now, PermitRate(5))
	must.Eq(t, seconds(1/PermitRate(5)), second-first)
}

func TestOnePermitRequestAtATime(t *testing.T) {
	var poller PermitPoller
	now := time.Now()
	must.True(t, poller.TryAsk(now))
	must.False(t, poller.CanAsk(now))
	must.False(t, poller.TryAsk(now))
	poller.Complete(now, 0)
	must.True(t, poller.TryAsk(now))
	poller.Complete(now, time.Second)
	must.False(t, poller.TryAsk(now.Add(time.Second-1)))
	must.Eq(t, time.Second, poller.Wait(now))
	must.True(t, poller.TryAsk(now.Add(time.Second)))
}

func TestLimitChanges(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l Limit
	must.Eq(t, Unchanged, l.ObserveResponse(at(0), at(1), 0, false))
	must.Eq(t, Added, l.ObserveResponse(at(2), at(10), 5, true))
	must.Eq(t, Unchanged, l.ObserveResponse(at(3), at(12), 5.1, true))
	must.Eq(t, Changed, l.ObserveResponse(at(4), at(13), 8, true))
	// A response that the server started before it came under pressure removes nothing.
	must.Eq(t, Unchanged, l.ObserveResponse(at(1), at(14), 0, false))
	must.Eq(t, Removed, l.ObserveResponse(at(20), at(30), 0, false))
	rate, limited := l.Rate()
	must.Eq(t, 8, rate)
	must.False(t, limited)
	must.Eq(t, Unchanged, l.ObservePeer(at(31), 0, false))
	must.Eq(t, Added, l.ObservePeer(at(32), 3, true))
	must.Eq(t, Removed, l.ObservePeer(at(33), 0, false))
}

// A server that announces its limit in every other response must not cause a broadcast to the whole
// fleet each time.
func TestRapidChangesAreBroadcastTogether(t *testing.T) {
	var pacer BroadcastPacer
	start := time.Now()
	broadcasts := 0
	due := time.Time{}
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		if !due.IsZero() && !now.Before(due) {
			pacer.MarkSent(now)
			broadcasts, due = broadcasts+1, time.Time{}
		}
		if after, ok := pacer.Schedule(now); ok {
			due = now.Add(after)
		}
	}
	must.Between(t, 19, broadcasts, 21)
}

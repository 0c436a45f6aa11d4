package health

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const usualGap = 20 * time.Millisecond

var epoch = time.Unix(1000, 0)

func peers(n int) []*Server {
	ps := make([]*Server, n)
	for i := range ps {
		ps[i] = &Server{}
		gaps(ps[i], 50, usualGap)
	}
	return ps
}

func gaps(p *Server, n int, gap time.Duration) {
	for range n {
		p.ObserveTokenGap(gap)
	}
}

// Streams on one server crawl while all others are fine.
// The server turns five times slower, is left out, and recovers later.
// It must get one request at a time first, then a slow start, then its share.
func TestStragglerIsLeftOutAndReturnsByTrial(t *testing.T) {
	ps, e, now := peers(10), Evaluator{}, epoch
	gaps(ps[3], 50, 5*usualGap)
	ts := e.Evaluate(now, ps)
	must.SliceLen(t, 1, ts)
	test.Eq(t, 3, ts[0].Index)
	test.Eq(t, ReasonSlowerThanPeers, ts[0].Reason)
	test.Zero(t, ps[3].Limit(now, 16))
	must.SliceEmpty(t, e.Evaluate(now.Add(firstPause-1), ps))
	now = now.Add(firstPause)
	must.Eq(t, Probation, e.Evaluate(now, ps)[0].To)
	test.Eq(t, 1, ps[3].Limit(now, 16))
	gaps(ps[3], minSamples, usualGap)
	must.Eq(t, Warming, e.Evaluate(now, ps)[0].To)
	test.Less(t, 4, ps[3].Limit(now, 16))
	test.Between(t, 8, ps[3].Limit(now.Add(rampTime*2/3), 16), 15)
	now = now.Add(rampTime)
	must.Eq(t, Healthy, e.Evaluate(now, ps)[0].To)
	test.Eq(t, 16, ps[3].Limit(now, 16))
}

func TestFailedTrialDoublesThePause(t *testing.T) {
	ps, e, now := peers(5), Evaluator{}, epoch
	for range failureStreak {
		ps[0].RecordFailure()
	}
	must.Eq(t, ReasonConsecutiveFailures, e.Evaluate(now, ps)[0].Reason)
	now = now.Add(firstPause)
	must.Eq(t, Probation, e.Evaluate(now, ps)[0].To)
	gaps(ps[0], minSamples, 3*usualGap)
	must.Eq(t, ReasonProbationFailed, e.Evaluate(now, ps)[0].Reason)
	must.SliceEmpty(t, e.Evaluate(now.Add(2*firstPause-1), ps))
	must.Eq(t, Probation, e.Evaluate(now.Add(2*firstPause), ps)[0].To)
}

// All engines stall or slow down together, for instance under saturation.
// Left out one after the other, none would remain to serve.
func TestCommonSlownessLeavesNobodyOut(t *testing.T) {
	ps, e := peers(10), Evaluator{}
	for _, p := range ps {
		gaps(p, 100, 10*usualGap)
	}
	must.SliceEmpty(t, e.Evaluate(epoch, ps))
}

func TestNeverMoreThanTheCapIsLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ps, e, now := peers(rapid.IntRange(1, 30).Draw(t, "peers")), Evaluator{}, epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms")) * time.Millisecond)
			p := ps[rapid.IntRange(0, len(ps)-1).Draw(t, "peer")]
			if rapid.Bool().Draw(t, "fails") {
				p.RecordFailure()
				p.RecordFailure()
				p.RecordFailure()
			} else {
				gaps(p, 20, time.Duration(rapid.IntRange(1, 500).Draw(t, "gap"))*time.Millisecond)
			}
			e.Evaluate(now, ps)
			out := 0
			for _, p := range ps {
				if p.State() == Ejected || p.State() == Probation {
					out++
				}
			}
			if out > allowedOut(len(ps)) {
				t.Fatalf("%d of %d left out", out, len(ps))
			}
		}
	})
}

func TestRestartBeginsSlowly(t *testing.T) {
	p := &Server{}
	tr := p.RecordRestart(epoch)
	test.Eq(t, ReasonRestart, tr.Reason)
	test.Eq(t, 2, p.Limit(epoch, 16))
	test.Eq(t, 16, p.Limit(epoch.Add(rampTime), 16))
}

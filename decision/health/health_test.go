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

func newServers(n int) []*Server {
	servers := make([]*Server, n)
	for i := range servers {
		servers[i] = &Server{}
		observeGaps(servers[i], 50, usualGap)
	}
	return servers
}

func observeGaps(s *Server, n int, gap time.Duration) {
	for range n {
		s.ObserveTokenGap(gap)
	}
}

// One server becomes five times slower than its peers, is ejected, and recovers later. It must
// first get one request at a time, then a slow start, and then its full share.
func TestStragglerIsEjectedAndReturnsAfterProbation(t *testing.T) {
	servers, e, now := newServers(10), Evaluator{}, epoch
	observeGaps(servers[3], 50, 5*usualGap)
	transitions := e.Evaluate(now, servers)
	must.SliceLen(t, 1, transitions)
	test.Eq(t, 3, transitions[0].Index)
	test.Eq(t, ReasonSlowerThanPeers, transitions[0].Reason)
	test.Zero(t, servers[3].Limit(now, 16))
	must.SliceEmpty(t, e.Evaluate(now.Add(minEjectionTime-1), servers))
	now = now.Add(minEjectionTime)
	must.Eq(t, Probation, e.Evaluate(now, servers)[0].To)
	test.Eq(t, 1, servers[3].Limit(now, 16))
	observeGaps(servers[3], minSampleCount, usualGap)
	must.Eq(t, Warming, e.Evaluate(now, servers)[0].To)
	test.Less(t, 4, servers[3].Limit(now, 16))
	test.Between(t, 8, servers[3].Limit(now.Add(slowStartTime*2/3), 16), 15)
	now = now.Add(slowStartTime)
	must.Eq(t, Healthy, e.Evaluate(now, servers)[0].To)
	test.Eq(t, 16, servers[3].Limit(now, 16))
}

func TestFailedProbationDoublesTheEjectionTime(t *testing.T) {
	servers, e, now := newServers(5), Evaluator{}, epoch
	for range maxConsecutiveFailures {
		servers[0].RecordFailure()
	}
	must.Eq(t, ReasonConsecutiveFailures, e.Evaluate(now, servers)[0].Reason)
	now = now.Add(minEjectionTime)
	must.Eq(t, Probation, e.Evaluate(now, servers)[0].To)
	observeGaps(servers[0], minSampleCount, 3*usualGap)
	must.Eq(t, ReasonProbationFailed, e.Evaluate(now, servers)[0].Reason)
	must.SliceEmpty(t, e.Evaluate(now.Add(2*minEjectionTime-1), servers))
	must.Eq(t, Probation, e.Evaluate(now.Add(2*minEjectionTime), servers)[0].To)
}

// All engines stall or slow down together, for instance under saturation. If they were ejected
// one after the other, none would remain to serve.
func TestCommonSlownessEjectsNoServer(t *testing.T) {
	servers, e := newServers(10), Evaluator{}
	for _, s := range servers {
		observeGaps(s, 100, 10*usualGap)
	}
	must.SliceEmpty(t, e.Evaluate(epoch, servers))
}

func TestEjectionsStayUnderTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers, e, now := newServers(rapid.IntRange(1, 30).Draw(t, "peers")), Evaluator{}, epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms")) * time.Millisecond)
			s := servers[rapid.IntRange(0, len(servers)-1).Draw(t, "peer")]
			if rapid.Bool().Draw(t, "fails") {
				s.RecordFailure()
				s.RecordFailure()
				s.RecordFailure()
			} else {
				observeGaps(s, 20, time.Duration(rapid.IntRange(1, 500).Draw(t, "gap"))*time.Millisecond)
			}
			e.Evaluate(now, servers)
			excluded := 0
			for _, s := range servers {
				if s.State() == Ejected || s.State() == Probation {
					excluded++
				}
			}
			if excluded > ejectionLimit(len(servers)) {
				t.Fatalf("%d of %d servers ejected", excluded, len(servers))
			}
		}
	})
}

func TestRestartBeginsSlowStart(t *testing.T) {
	s := &Server{}
	transition := s.RecordRestart(epoch)
	test.Eq(t, ReasonRestart, transition.Reason)
	test.Eq(t, 2, s.Limit(epoch, 16))
	test.Eq(t, 16, s.Limit(epoch.Add(slowStartTime), 16))
}

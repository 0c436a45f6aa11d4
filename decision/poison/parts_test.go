package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// partTest is a ledger with a clock that starts at zero.
type partTest struct {
	ledger PartLedger[string]
	start  time.Time
}

func (p *partTest) at(offset time.Duration) time.Time { return p.start.Add(offset) }

func (p *partTest) crash(offset time.Duration, server, digest string, parts ...string) bool {
	return p.ledger.RecordCrash(PromptCrash[string]{Server: server, Digest: digest, Parts: parts, At: p.at(offset)})
}

func (p *partTest) survive(offset time.Duration, parts ...string) {
	for _, part := range append([]string{AnyPart}, parts...) {
		p.ledger.RecordSurvival(part, p.at(offset))
	}
}

// forget drops all survivals.
func (p *partTest) forget() { p.ledger.survivals = Survivals{} }

func (p *partTest) finding(now time.Duration, part string) PartFinding {
	for _, r := range p.ledger.Assess(p.at(now)) {
		if slices.Contains(r.Parts, part) {
			return r.Finding
		}
	}
	return PartClear
}

func TestPartFindings(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for _, c := range []struct {
		name string
		play func(*partTest)
		now  time.Duration
		want PartFinding // of the part "x"
	}{
		{"no crash", func(*partTest) {}, s, PartClear},
		{"one request that crashes whatever its parts", func(p *partTest) {
			for n := range 9 {
				p.crash(time.Duration(n)*s, fmt.Sprint(n), "r", "x")
			}
		}, 9 * s, PartClear},
		{"three requests, no survival of anything is known", func(p *partTest) {
			p.forget()
			p.crashServers(3, s, "x")
		}, 9 * s, PartClear},
		{"five servers, no survival of anything is known", func(p *partTest) {
			p.forget()
			p.crashServers(5, s, "x")
		}, 9 * s, PartCrashing},
		{"two requests", func(p *partTest) {
			p.crash(0, "a", "r1", "x")
			p.crash(s, "b", "r2", "x")
		}, s, PartSuspect},
		{"three requests at one server", func(p *partTest) {
			p.crash(0, "a", "r1", "x")
			p.crash(s, "a", "r2", "x")
			p.crash(2*s, "a", "r3", "x")
		}, 2 * s, PartClear},
		{"three requests at servers that terminated together", func(p *partTest) {
			p.crash(0, "a", "r1", "x")
			p.crash(100*ms, "b", "r2", "x")
			p.crash(200*ms, "c", "r3", "x")
		}, s, PartSuspect},
		{"three requests", func(p *partTest) {
			p.crash(0, "a", "r1", "x")
			p.crash(100*ms, "b", "r2", "x")
			p.crash(600*ms, "c", "r3", "x")
		}, 600 * ms, PartCrashing},
		{"three requests, the part survived between", func(p *partTest) {
			p.crash(0, "a", "r1", "x")
			p.crash(100*ms, "b", "r2", "x")
			p.survive(500*ms, "x")
			p.crash(600*ms, "c", "r3", "x")
		}, 600 * ms, PartClear},
		{"three requests, the part survived before", func(p *partTest) {
			p.survive(-s, "x")
			p.crash(0, "a", "r1", "x")
			p.crash(s, "b", "r2", "x")
			p.crash(2*s, "c", "r3", "x")
		}, 3 * s, PartClear},
		{"five servers, the part survived before, nothing since", func(p *partTest) {
			p.survive(-s, "x")
			p.crashServers(5, s, "x")
		}, 9 * s, PartPending},
		{"five servers, the part survived before, another one since", func(p *partTest) {
			p.survive(-s, "x")
			p.crashServers(5, s, "x")
			p.survive(2*s, "y")
		}, 9 * s, PartCrashing},
		{"five servers a moment ago, the part survived before", func(p *partTest) {
			p.survive(-s, "x")
			p.crashServers(5, 250*ms, "x")
			p.survive(500*ms, "y")
		}, s, PartPending},
		{"servers that terminated under prompts with a refused part", func(p *partTest) {
			for n := range 6 {
				p.crash(time.Duration(n)*s, fmt.Sprint(n), fmt.Sprint("bad", n), "z", "bad")
				p.crash(time.Duration(n)*s, fmt.Sprint(n), fmt.Sprint("sound", n), "z", "x")
			}
			p.ledger.Explain([]string{"bad"})
			must.False(t, p.crash(6*s, "5", "late", "x"))
		}, 9 * s, PartClear},
		{"crashes of long ago", func(p *partTest) {
			p.crashServers(5, s, "x")
			p.crash(retention+5*s, "z", "other", "y")
		}, retention + 5*s, PartClear},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &partTest{start: time.Now()}
			p.survive(-time.Hour, "other")
			c.play(p)
			must.Eq(t, c.want, p.finding(c.now, "x"))
		})
	}
}

// crashServers crashes n servers under different requests with a part, at an interval.
func (p *partTest) crashServers(n int, interval time.Duration, part string) {
	for i := range n {
		p.crash(time.Duration(i)*interval, fmt.Sprint("s", i), fmt.Sprint("r", i), part)
	}
}

// Guards against the refusal of a part that all prompts share, for crashes whose cause is not reported.
func TestCommonPartIsNotRefusedForMissingReports(t *testing.T) {
	for _, c := range []struct {
		culprits, bystanders int // servers with a report of a culprit, and of another prompt alone
		want                 []string
	}{
		{2, 3, nil},
		{3, 3, nil},
		{5, 1, []string{"bad", "common"}},
		{5, 4, []string{"bad", "common"}},
		{9, 3, []string{"bad", "common"}},
	} {
		p := &partTest{start: time.Now()}
		for n := range c.culprits + c.bystanders {
			at, server := time.Duration(n)*500*time.Millisecond, fmt.Sprint(n)
			if n >= c.bystanders {
				p.crash(at, server, fmt.Sprint("bad", n), "common", "bad")
			}
			p.crash(at, server, fmt.Sprint("by", n), "common")
		}
		var refused []string
		if reports := p.ledger.Assess(p.at(10 * time.Second)); len(reports) > 0 && reports[0].Finding == PartCrashing {
			refused = reports[0].Parts
		}
		must.Eq(t, c.want, refused, must.Sprintf("%+v", c))
	}
}

// Guards against the refusal of a part that all prompts of a route share, beside prompts of other routes.
func TestCommonPartIsNotRefusedWhileOtherPartsSurvive(t *testing.T) {
	for _, bystanders := range []int{0, 1} { // servers without a report of a culprit
		p := &partTest{start: time.Now()}
		for n := range 5 + bystanders {
			at, server := time.Duration(n)*500*time.Millisecond, fmt.Sprint(n)
			if n >= bystanders {
				p.crash(at, server, fmt.Sprint("bad", n), "common", "bad")
			}
			p.crash(at, server, fmt.Sprint("by", n), "common")
		}
		p.survive(time.Second, "other")
		reports := p.ledger.Assess(p.at(10 * time.Second))
		must.Eq(t, PartCrashing, reports[0].Finding)
		must.Eq(t, []string{"bad", "common"}, reports[0].Parts)
		must.Len(t, 1, reports, must.Sprintf("%+v", reports))
	}
}

// Guards against the refusal of a common part by a daemon that has seen one of the requests with the cause.
func TestCommonPartIsNotRefusedBesideOneCrashingRequest(t *testing.T) {
	const ms = time.Millisecond
	p := &partTest{start: time.Now()}
	for n, at := range []time.Duration{0, 175 * ms, 343 * ms} {
		p.crash(at, fmt.Sprint(n), "bad", "common", "bad")
	}
	p.crash(340*ms, "2", "by1", "common")
	p.crash(465*ms, "3", "by1", "common")
	p.crash(474*ms, "3", "by2", "common")
	p.crash(1654*ms, "4", "by3", "common")
	must.Eq(t, PartClear, p.finding(10*time.Second, "common"))
}

// Guards against a common part that is refused because only the survivals of a narrower one were asked for.
func TestSurvivalsOfCommonPartsAreAskedFor(t *testing.T) {
	p := &partTest{start: time.Now()}
	p.survive(-time.Second, "common", "bad")
	for n := range 8 {
		at, server := time.Duration(n)*300*time.Millisecond, fmt.Sprint(n)
		p.crash(at, server, fmt.Sprint("bad", n), "common", "bad")
		p.crash(at+10*time.Millisecond, server, fmt.Sprint("by", n), "common")
	}
	now := p.at(5 * time.Second)
	var elsewhere Survivals // seen by other daemons
	for _, part := range []string{AnyPart, "common", "bad"} {
		elsewhere.Record(part, p.at(time.Second))
	}
	for _, part := range Questions(p.ledger.Assess(now)) {
		if begun, ok := elsewhere.Last(part); ok {
			p.ledger.RecordSurvival(part, begun)
		}
	}
	for _, r := range p.ledger.Assess(now) {
		must.Eq(t, []string{"bad"}, r.Parts)
	}
}

// The part that crashes servers must be found before the parts that its prompts share with others.
func TestMostLikelyPartComesFirst(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(*partTest)
		want []string
	}{
		{"common part survived before", func(p *partTest) {
			p.survive(-time.Second, "common")
			for n := range 8 {
				p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint(n), "common", "bad")
			}
			p.survive(time.Second, "other")
		}, []string{"bad"}},
		{"first part, middle parts differ", func(p *partTest) {
			for n := range 4 {
				p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint(n), "bad", fmt.Sprint("m", n%2))
			}
			p.survive(time.Second, "other")
		}, []string{"bad"}},
		{"rare parts of bystanders", func(p *partTest) {
			for n := range 4 {
				p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint(n), "common", "bad")
				if n > 0 {
					p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint("by", n), "common2", "session")
				}
			}
		}, []string{"common", "bad"}},
		{"new common part, bystanders", func(p *partTest) {
			for n := range 4 {
				p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint(n), "common", "bad")
				p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint("by", n), "common")
			}
		}, []string{"bad", "common"}},
		{"parts within parts", func(p *partTest) {
			for n := range 4 {
				p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint(n), "route", "account", "bad")
			}
			p.crash(0, "0", "by0", "route", "account")
			p.crash(time.Second, "1", "by1", "route")
			p.survive(2*time.Second, "other")
		}, []string{"bad", "route", "account"}},
		{"always together", func(p *partTest) {
			for n := range 4 {
				p.crash(time.Duration(n)*time.Second, fmt.Sprint(n), fmt.Sprint(n), "bad", "common", fmt.Sprint("m", n%2))
			}
			p.survive(time.Second, "other")
		}, []string{"bad", "common"}},
	} {
		p := &partTest{start: time.Now()}
		p.survive(-time.Hour, "other")
		c.play(p)
		reports := p.ledger.Assess(p.at(10 * time.Second))
		must.Eq(t, PartCrashing, reports[0].Finding, must.Sprint(c.name))
		must.Eq(t, c.want, reports[0].Parts, must.Sprint(c.name))
		p.ledger.Explain(c.want)
		must.SliceEmpty(t, p.ledger.Assess(p.at(10*time.Second)), must.Sprint(c.name))
	}
}

func TestPartLedgerIsBounded(t *testing.T) {
	p := &partTest{start: time.Now()}
	p.survive(0, "other")
	for n := range 4 * maxPromptCrashes {
		p.crash(time.Duration(n)*time.Millisecond, fmt.Sprint(n), fmt.Sprint(n), "x")
	}
	must.LessEq(t, maxPromptCrashes, len(p.ledger.crashes))
	must.Eq(t, PartCrashing, p.finding(time.Hour, "x"))
}

func TestFullSurvivalsEvictOldest(t *testing.T) {
	var s Survivals
	now := time.Now()
	for n := range 2 * maxSurvivingParts {
		s.Record(fmt.Sprint(n), now.Add(time.Duration(n)))
		s.Record("often", now.Add(time.Duration(n)))
		s.Record(AnyPart, now)
	}
	must.LessEq(t, maxSurvivingParts, len(s.last))
	for _, part := range []string{"often", AnyPart, fmt.Sprint(2*maxSurvivingParts - 1)} {
		_, ok := s.Last(part)
		must.True(t, ok)
	}
	_, ok := s.Last("0")
	must.False(t, ok)
	s.Record("often", now.Add(-time.Hour))
	last, _ := s.Last("often")
	must.True(t, last.After(now))
}

// BenchmarkAssess assesses a full ledger whose servers terminated in the same second.
func BenchmarkAssess(b *testing.B) {
	p := &partTest{start: time.Now()}
	for n := range maxPromptCrashes {
		p.crash(time.Duration(n)*2*time.Millisecond, fmt.Sprint(n), fmt.Sprint(n), "route", fmt.Sprint("session", n/3), fmt.Sprint("part", n))
	}
	for b.Loop() {
		p.ledger.Assess(p.at(time.Minute))
	}
}

package rollout

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is what a sample measures.
type Kind uint8

// The kinds.
const (
	// Whole: the time of a whole answer.
	ResponseTime Kind = iota
	// First: the time to the first event of a stream.
	TimeToFirstEvent
	// Pace: the mean time between events of a stream.
	EventInterval
	kinds
)

// String returns the word used in logs.
func (k Kind) String() string { return [...]string{"whole", "first", "pace", ""}[min(k, kinds)] }

// Outcome is how what a sample measures ended.
type Outcome uint8

// The outcomes.
const (
	// Good: the server did what it was asked for.
	Succeeded Outcome = iota
	// Failed: the server answered with a failure.
	Failed
	// Broke: the connection broke off, or was not made.
	Disconnected
	// Waiting: nothing has come yet after the time measured.
	Unanswered
)

// Sample is what one daemon saw of one request at one server.
type Sample struct {
	Route    string
	Server   string
	Zone     string
	OnTarget bool // the server has the target's version
	Kind     Kind
	Outcome  Outcome
	Duration time.Duration
	// EndedAt is when it ended, on the clock of whom judges.
	EndedAt time.Duration
}

const (
	// slower is how many times the median of the version before counts as slow.
	slower = 2.6
	// slowerAlone is the same where the version before shows too little of the same seconds: a
	// service may be slow for reasons of its own.
	slowerAlone = 4
	// fewOld is how many samples of the version before it takes to tell what is slow.
	fewOld = 12
	// together is the time within which answers of one zone that break off have one cause.
	together = time.Second
	// bin is the length of the seconds that are compared with each other.
	bin = 2 * time.Second
	// binWeight is how many samples of the whole time stand for those that a bin lacks.
	binWeight = 8
	// minBad is how many samples show that a version is bad at least.
	minBad = 2
)

// How improbable what is found of a version as good as the one before has to be for the target to
// be bad: in any look, and in one before it gets more.
const (
	anyLook  = 5e-5
	lastLook = 2e-3
)

// restSigmas is by how much the target has to be worse without its worst server.
const restSigmas = 2.6

// unseen is what is expected of the target on top, for what little the version before showed.
const unseen = 0.03

// Evidence adds up what daemons saw during one roll-out. It is not safe for concurrent use.
type Evidence struct {
	samples []Sample
	old     []int // indices in samples of those of the version before
	seenOld int
	random  rand.PCG
}

const (
	// maxOld is how many samples of the version before are kept, chosen evenly from all: more
	// tell hardly more, and cost whom decides its processor.
	maxOld = 3000
	// maxNew bounds those of the target.
	maxNew = 5000
)

// Add takes in samples.
func (e *Evidence) Add(samples ...Sample) {
	for _, s := range samples {
		switch {
		case s.OnTarget && len(e.samples)-len(e.old) < maxNew:
			e.samples = append(e.samples, s)
		case s.OnTarget:
		case len(e.old) < maxOld:
			e.seenOld++
			e.old = append(e.old, len(e.samples))
			e.samples = append(e.samples, s)
		default:
			e.seenOld++
			if n := rand.New(&e.random).IntN(e.seenOld); n < maxOld {
				e.samples[e.old[n]] = s
			}
		}
	}
}

// commonShare is the part of a service's requests from which those of a route are many.
const commonShare = 0.1

// common are the routes of which many requests were seen, as State.Common.
func (e *Evidence) common() string {
	routes := map[string]int{}
	for _, s := range e.samples {
		routes[s.Route]++
	}
	var list []string
	for route, n := range routes {
		if float64(n) >= commonShare*float64(len(e.samples)) {
			list = append(list, route)
		}
	}
	slices.Sort(list)
	return strings.Join(list[:min(maxCommon, len(list))], separator)
}

// Analysis is what the evidence shows.
type Analysis struct {
	// PValue is how probable what is found would be of a version as good as the one before; 1 where
	// nothing speaks against the target. Route is where that is, "" for all routes, and Kind by
	// what.
	PValue float64
	Route  string
	Kind   Kind
	// Compared, Found and Expected are the samples of the target, those of them that are bad, and
	// how many would be if it were like the version before, where that is worst for it.
	Compared, BadSamples int
	ExpectedBad          float64
	// TargetSamples is how many samples of the target there are.
	TargetSamples int
	// BaselineP95 is the time within which nearly all answers of the version before are whole; 0 if
	// none was.
	BaselineP95 time.Duration
}

// Analyze compares the versions. waiting are requests under way now.
func (e *Evidence) Analyze(waiting []Sample) Analysis {
	all := e.samples
	if len(waiting) > 0 {
		all = slices.Concat(e.samples, waiting)
	}
	f := Analysis{PValue: 1, BaselineP95: long(all)}
	for _, s := range all {
		if s.OnTarget && s.Outcome != Unanswered {
			f.TargetSamples++
		}
	}
	excused, sole := commonLosses(all), oneServer(all)
	for kind := range kinds {
		for _, group := range groups(all, kind) {
			c := compare(group, sole, excused)
			odds := 1.0
			if c.found >= minBad && c.rest > restSigmas {
				odds = atLeast(c.found, c.expected+unseen)
			}
			if odds < f.PValue || f.Compared == 0 {
				f.PValue, f.Route, f.Kind = odds, group.route, kind
				f.Compared, f.BadSamples, f.ExpectedBad = c.compared, c.found, c.expected
			}
		}
	}
	return f
}

// atLeast is the probability of n or more where mean are expected, by Poisson's law.
func atLeast(n int, mean float64) float64 {
	term, below := math.Exp(-mean), 0.0
	for k := range n {
		below += term
		term *= mean / float64(k+1)
	}
	if below < 0.5 {
		return 1 - below
	}
	tail := 0.0
	for k := n; term > 1e-15*tail || tail == 0; k++ {
		tail += term
		term *= mean / float64(k+1)
		if term == 0 {
			break
		}
	}
	return tail
}

// sureness is the variance of what is expected from what little the version before showed.
const sureness = 0.15

// group are samples of one kind, of one route or of all.
type group struct {
	route   string
	samples []Sample
}

// groups are the samples of a kind by route, and all of them where there are several.
func groups(all []Sample, kind Kind) []group {
	byRoute := map[string][]Sample{}
	var whole []Sample
	for _, s := range all {
		if s.Kind == kind {
			byRoute[s.Route] = append(byRoute[s.Route], s)
			whole = append(whole, s)
		}
	}
	var list []group
	for route, samples := range byRoute {
		list = append(list, group{route, samples})
	}
	slices.SortFunc(list, func(a, b group) int { return cmp.Compare(a.route, b.route) })
	if len(list) > 1 {
		list = append(list, group{"", whole})
	}
	return list
}

// comparison is how many samples of the target were compared, are bad, and would be.
type comparison struct {
	compared, found int
	expected        float64
	// rest is by how many sigmas the target is worse than expected without its worst server.
	rest float64
}

// share is how many of some samples are bad.
type share struct{ bad, all float64 }

// compare judges one group. A sample of the target is expected to be bad as often as one of the
// version before is in the same seconds, or at any time where that has few.
func compare(g group, sole bool, excused func(Sample) bool) comparison {
	usual, known := usualTime(g.samples)
	beside := oldBeside(g.samples)
	bad := func(s Sample) bool {
		switch s.Outcome {
		case Failed:
			return true
		case Disconnected:
			return !excused(s)
		}
		factor := slower
		if s.OnTarget && beside[s.EndedAt/bin] < fewBeside {
			factor = slowerAlone
		}
		return known && float64(s.Duration) > factor*float64(usual)
	}
	old := map[time.Duration]share{}
	var whole share
	for _, s := range g.samples {
		if s.OnTarget || s.Outcome == Unanswered && !bad(s) || s.Outcome == Disconnected && excused(s) {
			continue
		}
		one := old[s.EndedAt/bin]
		one.all, whole.all = one.all+1, whole.all+1
		if bad(s) {
			one.bad, whole.bad = one.bad+1, whole.bad+1
		}
		old[s.EndedAt/bin] = one
	}
	if whole.all < fewOld {
		return comparison{}
	}
	overall := (whole.bad + 0.4) / (whole.all + 0.8)
	servers := map[string]*comparison{}
	for _, s := range g.samples {
		if !s.OnTarget || s.Outcome == Unanswered && !bad(s) || s.Outcome == Disconnected && excused(s) {
			continue
		}
		one := servers[s.Server]
		if one == nil {
			one = &comparison{}
			servers[s.Server] = one
		}
		one.compared++
		if bad(s) {
			one.found++
		}
		same := old[s.EndedAt/bin]
		one.expected += (same.bad + binWeight*overall) / (same.all + binWeight)
	}
	return addUp(servers, sole)
}

// oneServer reports whether a single server of the target was tried.
func oneServer(all []Sample) bool {
	first := ""
	for _, s := range all {
		if s.OnTarget && first != "" && s.Server != first {
			return false
		}
		if s.OnTarget {
			first = s.Server
		}
	}
	return true
}

// addUp adds up servers. One of them may be bad by itself: rest leaves out the worst, unless there
// is no other.
func addUp(servers map[string]*comparison, sole bool) (sum comparison) {
	excess, variance, worst := 0.0, sureness, math.Inf(-1)
	var worstVariance float64
	for _, c := range servers {
		sum.compared += c.compared
		sum.found += c.found
		sum.expected += c.expected
		over := float64(c.found) - c.expected
		excess, variance = excess+over, variance+c.expected
		if over > worst {
			worst, worstVariance = over, c.expected
		}
	}
	if !sole {
		excess, variance = excess-worst, variance-worstVariance
	}
	sum.rest = excess / math.Sqrt(variance)
	return sum
}

// fewBeside is how many samples of the version before show how long answers take in a bin.
const fewBeside = 4

// oldBeside is how many samples of the version before there are by bin.
func oldBeside(samples []Sample) map[time.Duration]int {
	beside := map[time.Duration]int{}
	for _, s := range samples {
		if !s.OnTarget && s.Outcome == Succeeded {
			beside[s.EndedAt/bin]++
		}
	}
	return beside
}

// usualTime is the median time of the version before; known is false where it showed too little.
func usualTime(samples []Sample) (usual time.Duration, known bool) {
	var took []time.Duration
	for _, s := range samples {
		if !s.OnTarget && s.Outcome == Succeeded {
			took = append(took, s.Duration)
		}
	}
	if len(took) < fewOld {
		return 0, false
	}
	slices.Sort(took)
	return took[len(took)/2], true
}

// long is the time within which nineteen of twenty answers of the version before are whole.
func long(samples []Sample) time.Duration {
	var took []time.Duration
	for _, s := range samples {
		if !s.OnTarget && s.Kind == ResponseTime && s.Outcome == Succeeded {
			took = append(took, s.Duration)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)*19/20]
}

// commonLosses says which answers broke off with most others of their zone: a zone, or the way to
// it, was lost, which says nothing of a version.
func commonLosses(all []Sample) func(Sample) bool {
	type when struct {
		zone string
		at   time.Duration
	}
	broke, good := map[when]int{}, map[when]int{}
	for _, s := range all {
		at := when{s.Zone, s.EndedAt / together}
		switch s.Outcome {
		case Disconnected:
			broke[at]++
		case Succeeded, Failed:
			good[at]++
		case Unanswered:
		}
	}
	return func(s Sample) bool {
		at := s.EndedAt / together
		lost, kept := 0, 0
		for _, near := range []time.Duration{at - 1, at, at + 1} {
			lost += broke[when{s.Zone, near}]
			kept += good[when{s.Zone, near}]
		}
		return lost > kept || broke[when{s.Zone, at}] > good[when{s.Zone, at}]
	}
}

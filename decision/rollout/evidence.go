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
	kindCount
)

// String returns the word used in logs.
func (k Kind) String() string { return [...]string{"whole", "first", "pace", ""}[min(k, kindCount)] }

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
	// slowRatio is how many times the median of the version before counts as slow.
	slowRatio = 2.6
	// sparseSlowRatio is the same where the version before shows too little of the same seconds: a
	// service may be slow for reasons of its own.
	sparseSlowRatio = 4
	// minBaselineSamples is how many samples of the version before it takes to tell what is slow.
	minBaselineSamples = 12
	// zoneLossWindow is the time within which answers of one zone that break off have one cause.
	zoneLossWindow = time.Second
	// binWidth is the length of the seconds that are compared with each other.
	binWidth = 2 * time.Second
	// binPriorSamples is how many samples of the whole time stand for those that a bin lacks.
	binPriorSamples = 8
	// minBadSamples is how many samples show that a version is bad at least.
	minBadSamples = 2
)

// How improbable what is found of a version as good as the one before has to be for the target to
// be bad: in any look, and in one before it gets more.
const (
	rollbackSignificance  = 5e-5
	promotionSignificance = 2e-3
)

// minSigmasWithoutWorst is by how much the target has to be worse without its worst server.
const minSigmasWithoutWorst = 2.6

// expectedBadMargin is what is expected of the target on top, for what little the version before showed.
const expectedBadMargin = 0.03

// Evidence adds up what daemons saw during one roll-out. It is not safe for concurrent use.
type Evidence struct {
	samples      []Sample
	baseline     []int // indices in samples of those of the version before
	baselineSeen int
	random       rand.PCG
}

const (
	// maxBaselineSamples is how many samples of the version before are kept, chosen evenly from all: more
	// tell hardly more, and cost whom decides its processor.
	maxBaselineSamples = 3000
	// maxTargetSamples bounds those of the target.
	maxTargetSamples = 5000
)

// Add takes in samples.
func (e *Evidence) Add(samples ...Sample) {
	for _, s := range samples {
		switch {
		case s.OnTarget && len(e.samples)-len(e.baseline) < maxTargetSamples:
			e.samples = append(e.samples, s)
		case s.OnTarget:
		case len(e.baseline) < maxBaselineSamples:
			e.baselineSeen++
			e.baseline = append(e.baseline, len(e.samples))
			e.samples = append(e.samples, s)
		default:
			e.baselineSeen++
			if n := rand.New(&e.random).IntN(e.baselineSeen); n < maxBaselineSamples {
				e.samples[e.baseline[n]] = s
			}
		}
	}
}

// commonRouteRatio is the part of a service's requests from which those of a route are many.
const commonRouteRatio = 0.1

// commonRoutes are the routes of which many requests were seen, as State.Common.
func (e *Evidence) commonRoutes() string {
	routes := map[string]int{}
	for _, s := range e.samples {
		routes[s.Route]++
	}
	var list []string
	for route, n := range routes {
		if float64(n) >= commonRouteRatio*float64(len(e.samples)) {
			list = append(list, route)
		}
	}
	slices.Sort(list)
	return strings.Join(list[:min(maxCommonRoutes, len(list))], routeSeparator)
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
func (e *Evidence) Analyze(unanswered []Sample) Analysis {
	all := e.samples
	if len(unanswered) > 0 {
		all = slices.Concat(e.samples, unanswered)
	}
	a := Analysis{PValue: 1, BaselineP95: baselineP95(all)}
	for _, s := range all {
		if s.OnTarget && s.Outcome != Unanswered {
			a.TargetSamples++
		}
	}
	isZoneLoss, singleServer := zoneLosses(all), hasSingleTargetServer(all)
	for kind := range kindCount {
		for _, g := range groupSamples(all, kind) {
			c := compare(g, singleServer, isZoneLoss)
			pValue := 1.0
			if c.bad >= minBadSamples && c.sigmasWithoutWorst > minSigmasWithoutWorst {
				pValue = poissonTail(c.bad, c.expectedBad+expectedBadMargin)
			}
			if pValue < a.PValue || a.Compared == 0 {
				a.PValue, a.Route, a.Kind = pValue, g.route, kind
				a.Compared, a.BadSamples, a.ExpectedBad = c.compared, c.bad, c.expectedBad
			}
		}
	}
	return a
}

// poissonTail is the probability of n or more where mean are expected, by Poisson's law.
func poissonTail(n int, mean float64) float64 {
	term, cumulative := math.Exp(-mean), 0.0
	for k := range n {
		cumulative += term
		term *= mean / float64(k+1)
	}
	if cumulative < 0.5 {
		return 1 - cumulative
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

// baseVariance is the variance of what is expected from what little the version before showed.
const baseVariance = 0.15

// sampleGroup are samples of one kind, of one route or of all.
type sampleGroup struct {
	route   string
	samples []Sample
}

// groupSamples are the samples of a kind by route, and all of them where there are several.
func groupSamples(all []Sample, kind Kind) []sampleGroup {
	byRoute := map[string][]Sample{}
	var combined []Sample
	for _, s := range all {
		if s.Kind == kind {
			byRoute[s.Route] = append(byRoute[s.Route], s)
			combined = append(combined, s)
		}
	}
	var list []sampleGroup
	for route, samples := range byRoute {
		list = append(list, sampleGroup{route, samples})
	}
	slices.SortFunc(list, func(a, b sampleGroup) int { return cmp.Compare(a.route, b.route) })
	if len(list) > 1 {
		list = append(list, sampleGroup{"", combined})
	}
	return list
}

// comparison is how many samples of the target were compared, are bad, and would be.
type comparison struct {
	compared, bad int
	expectedBad   float64
	// sigmasWithoutWorst is by how many sigmas the target is worse than expected without its worst server.
	sigmasWithoutWorst float64
}

// badTally is how many of some samples are bad.
type badTally struct{ bad, total float64 }

// compare judges one group. A sample of the target is expected to be bad as often as one of the
// version before is in the same seconds, or at any time where that has few.
func compare(g sampleGroup, singleServer bool, isZoneLoss func(Sample) bool) comparison {
	median, hasMedian := baselineMedian(g.samples)
	binCounts := baselineCounts(g.samples)
	isBad := func(s Sample) bool {
		switch s.Outcome {
		case Failed:
			return true
		case Disconnected:
			return !isZoneLoss(s)
		}
		ratio := slowRatio
		if s.OnTarget && binCounts[s.EndedAt/binWidth] < minBinSamples {
			ratio = sparseSlowRatio
		}
		return hasMedian && float64(s.Duration) > ratio*float64(median)
	}
	baseline := map[time.Duration]badTally{}
	var total badTally
	for _, s := range g.samples {
		if s.OnTarget || s.Outcome == Unanswered && !isBad(s) || s.Outcome == Disconnected && isZoneLoss(s) {
			continue
		}
		tally := baseline[s.EndedAt/binWidth]
		tally.total, total.total = tally.total+1, total.total+1
		if isBad(s) {
			tally.bad, total.bad = tally.bad+1, total.bad+1
		}
		baseline[s.EndedAt/binWidth] = tally
	}
	if total.total < minBaselineSamples {
		return comparison{}
	}
	badRatio := (total.bad + 0.4) / (total.total + 0.8)
	servers := map[string]*comparison{}
	for _, s := range g.samples {
		if !s.OnTarget || s.Outcome == Unanswered && !isBad(s) || s.Outcome == Disconnected && isZoneLoss(s) {
			continue
		}
		server := servers[s.Server]
		if server == nil {
			server = &comparison{}
			servers[s.Server] = server
		}
		server.compared++
		if isBad(s) {
			server.bad++
		}
		concurrent := baseline[s.EndedAt/binWidth]
		server.expectedBad += (concurrent.bad + binPriorSamples*badRatio) / (concurrent.total + binPriorSamples)
	}
	return combineServers(servers, singleServer)
}

// hasSingleTargetServer reports whether a single server of the target was tried.
func hasSingleTargetServer(all []Sample) bool {
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

// combineServers adds up servers. One of them may be bad by itself: rest leaves out the worst, unless there
// is no other.
func combineServers(servers map[string]*comparison, singleServer bool) (sum comparison) {
	excess, variance, worst := 0.0, baseVariance, math.Inf(-1)
	var worstVariance float64
	for _, c := range servers {
		sum.compared += c.compared
		sum.bad += c.bad
		sum.expectedBad += c.expectedBad
		surplus := float64(c.bad) - c.expectedBad
		excess, variance = excess+surplus, variance+c.expectedBad
		if surplus > worst {
			worst, worstVariance = surplus, c.expectedBad
		}
	}
	if !singleServer {
		excess, variance = excess-worst, variance-worstVariance
	}
	sum.sigmasWithoutWorst = excess / math.Sqrt(variance)
	return sum
}

// minBinSamples is how many samples of the version before show how long answers take in a bin.
const minBinSamples = 4

// baselineCounts is how many samples of the version before there are by bin.
func baselineCounts(samples []Sample) map[time.Duration]int {
	counts := map[time.Duration]int{}
	for _, s := range samples {
		if !s.OnTarget && s.Outcome == Succeeded {
			counts[s.EndedAt/binWidth]++
		}
	}
	return counts
}

// baselineMedian is the median time of the version before; known is false where it showed too little.
func baselineMedian(samples []Sample) (median time.Duration, known bool) {
	var durations []time.Duration
	for _, s := range samples {
		if !s.OnTarget && s.Outcome == Succeeded {
			durations = append(durations, s.Duration)
		}
	}
	if len(durations) < minBaselineSamples {
		return 0, false
	}
	slices.Sort(durations)
	return durations[len(durations)/2], true
}

// baselineP95 is the time within which nineteen of twenty answers of the version before are whole.
func baselineP95(samples []Sample) time.Duration {
	var durations []time.Duration
	for _, s := range samples {
		if !s.OnTarget && s.Kind == ResponseTime && s.Outcome == Succeeded {
			durations = append(durations, s.Duration)
		}
	}
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)*19/20]
}

// zoneLosses says which answers broke off with most others of their zone: a zone, or the way to
// it, was lost, which says nothing of a version.
func zoneLosses(all []Sample) func(Sample) bool {
	type zoneWindow struct {
		zone  string
		index time.Duration
	}
	disconnected, answered := map[zoneWindow]int{}, map[zoneWindow]int{}
	for _, s := range all {
		window := zoneWindow{s.Zone, s.EndedAt / zoneLossWindow}
		switch s.Outcome {
		case Disconnected:
			disconnected[window]++
		case Succeeded, Failed:
			answered[window]++
		case Unanswered:
		}
	}
	return func(s Sample) bool {
		index := s.EndedAt / zoneLossWindow
		lost, answers := 0, 0
		for _, i := range []time.Duration{index - 1, index, index + 1} {
			lost += disconnected[zoneWindow{s.Zone, i}]
			answers += answered[zoneWindow{s.Zone, i}]
		}
		return lost > answers || disconnected[zoneWindow{s.Zone, index}] > answered[zoneWindow{s.Zone, index}]
	}
}

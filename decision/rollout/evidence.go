package rollout

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the quantity that a sample measures.
type Kind uint8

// The kinds.
const (
	// ResponseTime is the time until the response is complete.
	ResponseTime Kind = iota
	// TimeToFirstEvent is the time to the first event of a stream.
	TimeToFirstEvent
	// EventInterval is the mean time between two events of a stream.
	EventInterval
	kindCount
)

// String returns the name used in logs.
func (k Kind) String() string { return [...]string{"whole", "first", "pace", ""}[min(k, kindCount)] }

// Outcome is how the measured request ended.
type Outcome uint8

// The outcomes.
const (
	// Succeeded means that the server completed the request.
	Succeeded Outcome = iota
	// Failed means that the server returned an error.
	Failed
	// Disconnected means that the connection broke or could not be established.
	Disconnected
	// Unanswered means that there was no response within the measured time.
	Unanswered
)

// Sample is one daemon's measurement of one request at one server.
type Sample struct {
	Route    string
	Server   string
	Zone     string
	OnTarget bool // the server runs the target version
	Kind     Kind
	Outcome  Outcome
	Duration time.Duration
	// EndedAt is when the measurement ended, on the clock of the deciding daemon.
	EndedAt time.Duration
}

const (
	// slowRatio is the multiple of the baseline's median above which a sample counts as slow.
	slowRatio = 2.6
	// slowPaceRatio is the same for the time between events. It is larger because two prompts that
	// an engine prefills beside a stream triple the mean of its first events, on any version.
	slowPaceRatio = 3.6
	// sparseSlowRatio replaces slowRatio where there are too few baseline samples of the same time
	// bin, because the service may be slow for reasons other than its version.
	sparseSlowRatio = 4
	// minBaselineSamples is how many baseline samples are needed to tell which responses are slow,
	// and minFailureBaseline how many to tell how many responses fail.
	minBaselineSamples, minFailureBaseline = 12, 4
	// zoneLossWindow is the time within which disconnects in one availability zone are attributed
	// to the same cause.
	zoneLossWindow = time.Second
	// binWidth is the width of the time bins in which the versions are compared.
	binWidth = 2 * time.Second
	// binPriorSamples is the weight, in samples, of the overall ratio of bad samples when the ratio
	// of one bin is estimated.
	binPriorSamples = 8
	// minBadSamples is the least number of bad samples that can show that a version is bad.
	minBadSamples = 2
)

// Significance levels: the target is bad if the probability of its samples, given a version as good
// as the baseline, is lower. rollbackSignificance applies to every step, promotionSignificance
// before the target gets more requests.
const (
	rollbackSignificance  = 5e-5
	promotionSignificance = 2e-3
)

// minSigmasWithoutWorst is how many standard deviations worse than the baseline the target must be
// without its worst server.
const minSigmasWithoutWorst = 2.6

// expectedBadMargin is added to the expected number of bad samples, because the baseline may have
// shown too few samples to be exact.
const expectedBadMargin = 0.03

// Evidence collects the samples of one roll-out. It is not safe for concurrent use.
type Evidence struct {
	samples      []Sample
	baseline     []int // indices of the baseline samples in samples
	baselineSeen int
	random       rand.PCG
}

const (
	// maxBaselineSamples bounds the baseline samples, which are kept by uniform reservoir sampling.
	// More of them add little information and cost the deciding daemon CPU time.
	maxBaselineSamples = 3000
	// maxTargetSamples bounds the target samples.
	maxTargetSamples = 5000
)

// Add adds samples.
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

// commonRouteRatio is the fraction of a service's requests from which a route counts as common.
const commonRouteRatio = 0.2

// commonRoutes returns the common routes in the format of State.CommonRoutes, and the mean weight
// of a request when the requests of all other routes have rareRouteWeight.
func (e *Evidence) commonRoutes() (list string, meanWeight float64) {
	routes := map[string]int{}
	for _, s := range e.samples {
		routes[s.Route]++
	}
	var common []string
	for route, n := range routes {
		if float64(n) >= commonRouteRatio*float64(len(e.samples)) {
			common = append(common, route)
		}
	}
	slices.Sort(common)
	common = common[:min(maxCommonRoutes, len(common))]
	if len(common) == 0 {
		return "", 1
	}
	inCommon := 0
	for _, route := range common {
		inCommon += routes[route]
	}
	rare := 1 - float64(inCommon)/float64(len(e.samples))
	return strings.Join(common, routeSeparator), 1 + (rareRouteWeight-1)*rare
}

// Analysis is the result of comparing the versions.
type Analysis struct {
	// PValue is the probability of the observed samples, given a version as good as the baseline; 1
	// if nothing indicates that the target is worse. Route and Kind say for which samples it was
	// found; Route is "" for all routes together.
	PValue float64
	Route  string
	Kind   Kind
	// Compared is the number of target samples in that group, BadSamples how many of them are bad,
	// and ExpectedBad how many would be bad if the target were like the baseline.
	Compared, BadSamples int
	ExpectedBad          float64
	// TargetSamples is the number of all target samples.
	TargetSamples int
	// Confidence says whether the target may get more requests than its limits allow a bad version.
	Confidence Confidence
	// BaselineP95 is the 95th percentile of the baseline's response times; 0 if there is no sample.
	BaselineP95 time.Duration
}

// Analyze compares the versions. unanswered holds the requests currently in flight.
func (e *Evidence) Analyze(unanswered []Sample) Analysis {
	all := e.samples
	if len(unanswered) > 0 {
		all = slices.Concat(e.samples, unanswered)
	}
	a := Analysis{PValue: 1, BaselineP95: baselineP95(all, ResponseTime), Confidence: cohortConfidence(all)}
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
			a.Confidence = min(a.Confidence, c.confidence())
			if pValue < a.PValue || a.Compared == 0 {
				a.PValue, a.Route, a.Kind = pValue, g.route, kind
				a.Compared, a.BadSamples, a.ExpectedBad = c.compared, c.bad, c.expectedBad
			}
		}
	}
	return a
}

// poissonTail returns the probability of n or more events of a Poisson distribution with the given
// mean.
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

// baseVariance is the variance added because the expected number of bad samples is itself estimated
// from few baseline samples.
const baseVariance = 0.15

// sampleGroup holds the samples of one kind, of one route or of all routes.
type sampleGroup struct {
	route   string
	samples []Sample
}

// groupSamples groups the samples of a kind by route and, if there are several routes, adds a group
// of all samples.
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

// comparison counts the compared target samples, the bad ones, and how many bad ones are expected.
type comparison struct {
	compared, bad int
	expectedBad   float64
	// sigmasWithoutWorst is how many standard deviations worse than expected the target is without
	// its worst server.
	sigmasWithoutWorst float64
}

// badTally counts samples and the bad ones among them.
type badTally struct{ bad, total float64 }

func (t badTally) plus(isBad bool) badTally {
	t.total++
	if isBad {
		t.bad++
	}
	return t
}

// smoothedRatio estimates the fraction of bad samples. It is above 0 even if none is bad.
func (t badTally) smoothedRatio() float64 { return (t.bad + 0.4) / (t.total + 0.8) }

// compare compares the versions in one group. A target sample is expected to be bad as often as the
// baseline samples of the same time bin, or as the baseline samples of any time if the bin has few.
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
		if s.Kind == EventInterval {
			ratio = slowPaceRatio
		}
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
		baseline[s.EndedAt/binWidth] = baseline[s.EndedAt/binWidth].plus(isBad(s))
		total = total.plus(isBad(s))
	}
	if total.total < minFailureBaseline {
		return comparison{}
	}
	badRatio := total.smoothedRatio()
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

// hasSingleTargetServer reports whether only one target server received requests.
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

// combineServers sums up the target servers. A single server may be bad for reasons of its own, so
// sigmasWithoutWorst leaves out the worst server unless it is the only one.
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

// minBinSamples is how many baseline samples are needed to know the response times of a time bin.
const minBinSamples = 4

// baselineCounts returns the number of successful baseline samples by time bin.
func baselineCounts(samples []Sample) map[time.Duration]int {
	counts := map[time.Duration]int{}
	for _, s := range samples {
		if !s.OnTarget && s.Outcome == Succeeded {
			counts[s.EndedAt/binWidth]++
		}
	}
	return counts
}

// baselineMedian returns the median of the baseline's times; known is false if there are too few
// samples.
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

// baselineP95 returns the 95th percentile of the baseline's successful samples of a kind, or 0 if
// there are none.
func baselineP95(samples []Sample, kind Kind) time.Duration {
	var durations []time.Duration
	for _, s := range samples {
		if !s.OnTarget && s.Kind == kind && s.Outcome == Succeeded {
			durations = append(durations, s.Duration)
		}
	}
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)*19/20]
}

// zoneLosses returns a function that tells which disconnects happened together with most other
// requests of their availability zone. These come from the loss of the zone, or of the network path
// to it, and say nothing about a version.
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

package rollout

import (
	"slices"
	"time"
)

// Confidence says how well the samples show that the target is as good as the baseline. A low
// p-value shows that a version is bad; the lack of one shows nothing while there are few samples.
type Confidence uint8

// The levels of confidence.
const (
	// Suspected means that some samples are bad that are not expected to be.
	Suspected Confidence = iota
	// Unproven means that there are too few samples.
	Unproven
	// Proven means that every route has enough samples, recent ones among them, and none is
	// suspected.
	Proven
)

const (
	// minProvingSamples is the number of target samples that prove a route, or the requests of a
	// recent time. A version of which half of the responses are bad almost surely shows it in as
	// many.
	minProvingSamples = 12
	// provingRatio bounds minProvingSamples on routes with few requests: no more than this fraction
	// of them goes to the target.
	provingRatio = 0.4
	// suspicionSignificance is the probability of a group's bad samples, given a version as good as
	// the baseline, below which the target is suspected.
	suspicionSignificance = 0.05
	// minUnexpectedBad is how many more samples than expected must be bad to suspect a route with
	// fewer than minProvingSamples.
	minUnexpectedBad = 0.5
	// cohortAge bounds the time since the recent requests began. It is long enough that several
	// times minProvingSamples begin at usual shares.
	cohortAge = 7 * time.Second
	// overdueRatio is the multiple of the baseline's 95th percentile from which a request without a
	// response counts as overdue. Hardly any request of a good version takes as long.
	overdueRatio = 1.5
)

// confidence returns what one group of samples shows.
func (c comparison) confidence() Confidence {
	switch {
	case c.bad >= minBadSamples && poissonTail(c.bad, c.expectedBad+expectedBadMargin) < suspicionSignificance:
		return Suspected
	case c.compared < minProvingSamples && float64(c.bad) >= c.expectedBad+minUnexpectedBad:
		return Suspected
	}
	return Proven
}

// cohortConfidence returns what the requests of the last seconds show, by their first result. Older
// samples hide a version that turns bad later, and requests that wait too long are known before
// their result is.
func cohortConfidence(all []Sample) Confidence {
	kind := firstResultKind(all)
	var now time.Duration
	for _, s := range all {
		now = max(now, s.EndedAt)
	}
	overdue := time.Duration(overdueRatio * float64(baselineP95(all, kind)))
	var target, baseline badTally
	routes := map[string]routeTally{}
	for _, s := range all {
		if s.Kind != kind || s.Outcome == Disconnected {
			continue
		}
		if s.Outcome != Unanswered {
			routes[s.Route] = routes[s.Route].plus(s)
		}
		if age := now - (s.EndedAt - s.Duration); age < overdue || age > cohortAge {
			continue
		}
		isBad := s.Outcome != Succeeded || s.Duration > overdue
		if s.OnTarget {
			target = target.plus(isBad)
		} else {
			baseline = baseline.plus(isBad)
		}
	}
	expected := target.total*baseline.smoothedRatio() + expectedBadMargin
	switch {
	case target.bad >= minBadSamples && poissonTail(int(target.bad), expected) < suspicionSignificance:
		return Suspected
	case target.total < minProvingSamples || hasUnprovenRoute(routes):
		return Unproven
	}
	return Proven
}

// firstResultKind returns the kind of the first sample that each request yields.
func firstResultKind(all []Sample) Kind {
	if slices.ContainsFunc(all, func(s Sample) bool { return s.Kind == TimeToFirstEvent }) {
		return TimeToFirstEvent
	}
	return ResponseTime
}

// routeTally counts the samples of a route and those of the target among them.
type routeTally struct{ total, target int }

func (t routeTally) plus(s Sample) routeTally {
	t.total++
	if s.OnTarget {
		t.target++
	}
	return t
}

// hasUnprovenRoute reports whether a route has too few target samples for its number of requests.
func hasUnprovenRoute(routes map[string]routeTally) bool {
	for _, t := range routes {
		if float64(t.target) < min(minProvingSamples, provingRatio*float64(t.total)) {
			return true
		}
	}
	return false
}

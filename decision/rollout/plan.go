package rollout

import "time"

// Limits bound the requests that a bad version may get. The operator sets them.
type Limits struct {
	// Share is the fraction of a service's requests that a bad version may get, from 0 to 1; Slack
	// is the number of requests that it may get in addition.
	Share, Slack float64
}

// Input holds everything that the next step depends on.
type Input struct {
	State  State
	Limits Limits
	// Elapsed is an upper bound of the time since the order was given; Period is the time allowed
	// for the whole roll-out.
	Elapsed, Period time.Duration
	// BaselineServers and TargetServers count the servers of each version that accept requests.
	BaselineServers, TargetServers int
	// DaemonsReporting is how many of the Daemons reported their samples recently.
	DaemonsReporting, Daemons int
	// RequestsPerSecond is the rate of new requests to the service, and TargetRequests is how many
	// requests were selected for the target so far.
	RequestsPerSecond float64
	TargetRequests    int
	// BaselineInFlight is the number of requests in flight on the baseline.
	BaselineInFlight int
	// DefaultResponseTime is the longest expected response time, used while there is no sample of
	// the baseline; 0 if it is unknown.
	DefaultResponseTime time.Duration
	// CanMigrate says that a response in progress can continue on another server from a copy of its
	// state.
	CanMigrate bool
	// Evidence holds all samples of the roll-out, and Unanswered the requests that currently wait
	// for a response.
	Evidence   *Evidence
	Unanswered []Sample
}

// Reason says why a step is taken.
type Reason string

// The reasons.
const (
	TooEarly        Reason = "too_early"
	NoTargetServers Reason = "no_servers_of_target"
	TooFewReports   Reason = "too_few_daemons_heard"
	TooFewSamples   Reason = "too_little_seen"
	Started         Reason = "began"
	NotWorse        Reason = "as_good_as_before"
	Worse           Reason = "bad"
	NoTraffic       Reason = "nobody_asks"
	AlreadyRunning  Reason = "version_runs_already"
	Drained         Reason = "nothing_under_way"
	DeadlineReached Reason = "time_is_up"
	TargetSuspected Reason = "suspected"
	TargetUnproven  Reason = "too_little_seen_lately"
)

// Step is the next state of a roll-out.
type Step struct {
	State    State
	Reason   Reason
	Analysis Analysis
}

const (
	// completionMargin is reserved at the end of the period for writing the last step and for the
	// daemons to read it; streamCompletionMargin is the same where responses can migrate. Both also
	// cover an order that is older than Input.Elapsed says.
	completionMargin       = 700 * time.Millisecond
	streamCompletionMargin = 1500 * time.Millisecond
	// minDrainTime is the time that short responses need to finish at all daemons and that the
	// reports of it take to arrive.
	minDrainTime = 200 * time.Millisecond
	// streamCutoverRatio is the earliest point of the period at which the target gets all requests,
	// where responses are too long to finish in the remaining time but can migrate.
	streamCutoverRatio = 0.66
	// minCutoverRatio is the same for responses that cannot migrate.
	minCutoverRatio = 0.25
	// migrationTime is reserved before the end for moving the responses in progress.
	migrationTime = 1300 * time.Millisecond
	// longCanaryRatio and shortCanaryRatio are the canary share as a fraction of the limit, for
	// long and for short responses: with short responses a version that is bad from the start is
	// detected almost immediately.
	longCanaryRatio, shortCanaryRatio = 0.85, 0.4
	// minPartialRatio and maxPartialShare bound the share of the Partial stage; minPartialRatio is
	// a fraction of the limit.
	minPartialRatio, maxPartialShare = 0.15, 0.4
	// orderAgeUncertainty is how much younger the order may be than Input.Elapsed says.
	orderAgeUncertainty = 200 * time.Millisecond
	// rateWarmup is the time needed to measure the request rate.
	rateWarmup = 2500 * time.Millisecond
	// minTargetPerSecond is the rate of selected requests that is enough to also cover routes with
	// few requests.
	minTargetPerSecond = 15
	// usableSlackRatio is the fraction of the slack that the plan uses.
	usableSlackRatio = 0.8
	// detectionTime is how long the target gets all requests before a regression is detected.
	detectionTime = 1500 * time.Millisecond
	// minTargetSamples is the number of target samples that show that the target works. If few
	// requests were selected, half of these are enough.
	minTargetSamples = 12
	// quorumRatio is the fraction of daemons that must have reported before the target gets more
	// requests.
	quorumRatio = 0.5
)

// schedule holds the times since the order at which the Full stage, the Migrating stage and the end
// of the roll-out are due.
type schedule struct{ full, migrate, end time.Duration }

// newSchedule returns the latest schedule that leaves the responses in progress enough time to
// finish.
func newSchedule(in Input, p95 time.Duration) schedule {
	if p95 == 0 {
		p95 = in.DefaultResponseTime
	}
	end := in.Period - completionMargin
	if in.CanMigrate {
		end = in.Period - streamCompletionMargin
	}
	full := end - max(minDrainTime, p95+p95/3)
	if p95 == 0 {
		full = 0 // no response is known to be short
	}
	earliest := time.Duration(minCutoverRatio * float64(in.Period))
	if in.CanMigrate {
		earliest = time.Duration(streamCutoverRatio * float64(in.Period))
	}
	return schedule{full: max(full, earliest), migrate: end - migrationTime, end: end}
}

// fullWithinLimits reports whether the target may get all requests from now on without exceeding
// the limits before the end of the period, even if it is bad and nobody notices.
func (in Input) fullWithinLimits() bool {
	allowed := in.Limits.Share*in.RequestsPerSecond*in.Period.Seconds() + usableSlackRatio*in.Limits.Slack
	remaining := max(0, in.Period-in.Elapsed+orderAgeUncertainty)
	return float64(in.TargetRequests)+in.RequestsPerSecond*remaining.Seconds() <= allowed
}

// canaryShare returns the share of the Canary stage. With short responses, most of the requests
// that a bad version may get are reserved for the end.
func canaryShare(in Input) float64 {
	if in.Period-newSchedule(in, 0).full < time.Duration(in.Limits.Share*float64(in.Period)) {
		return shortCanaryRatio * in.Limits.Share
	}
	return longCanaryRatio * in.Limits.Share
}

// partialShare returns the share of the Partial stage. It spends what a bad version may get, minus
// the requests that the target already had and those that it will get in the Full stage until a
// regression is detected. With short responses the total stays below the limit, so that a version
// that turns bad at the end does not exceed it either. With few requests the slack raises the share
// above the share of the limit.
func partialShare(in Input, sched schedule) float64 {
	allowed := in.Limits.Share*in.RequestsPerSecond*in.Period.Seconds() + usableSlackRatio*in.Limits.Slack
	fullExposure := min(detectionTime, in.Period-sched.full+orderAgeUncertainty).Seconds() * in.RequestsPerSecond
	remaining := max(0, sched.full-in.Elapsed).Seconds() * in.RequestsPerSecond
	minShare := minPartialRatio * in.Limits.Share
	if remaining == 0 {
		return minShare
	}
	return min(maxPartialShare, max(minShare, (allowed-fullExposure-float64(in.TargetRequests))/remaining))
}

// stay returns a step that leaves the state unchanged.
func (in Input) stay(r Reason) Step { return Step{State: in.State, Reason: r} }

// moveTo returns a step to another stage.
func (in Input) moveTo(stage Stage, share float64, r Reason, a Analysis) Step {
	in.State.Stage, in.State.Share = stage, share
	return Step{State: in.State, Reason: r, Analysis: a}
}

// Next decides the next step of a roll-out.
func Next(in Input) Step {
	s := in.State
	switch {
	case s.Stage == Idle, s.Stage.IsTerminal():
		return in.stay(TooEarly)
	case s.Stage == Pending:
		return start(in)
	}
	a := in.Evidence.Analyze(in.Unanswered)
	if a.PValue < rollbackSignificance && s.Baseline != s.Target {
		return in.moveTo(RolledBack, 0, Worse, a)
	}
	if in.TargetServers == 0 && s.Baseline != s.Target {
		if s.Stage >= Full || in.Elapsed > in.Period {
			return in.moveTo(RolledBack, 0, NoTargetServers, a)
		}
		return in.stay(NoTargetServers)
	}
	sched := newSchedule(in, a.BaselineP95)
	switch {
	case s.Stage <= Partial && in.Elapsed >= sched.full:
		return promote(in, a, sched, Full, 1)
	case s.Stage == Canary && in.Elapsed >= rateWarmup:
		share := partialShare(in, sched)
		if share*in.RequestsPerSecond < minTargetPerSecond {
			var meanWeight float64
			in.State.CommonRoutes, meanWeight = in.Evidence.commonRoutes()
			share /= meanWeight
		}
		return promote(in, a, sched, Partial, share)
	case s.Stage <= Partial:
		return in.stay(TooEarly)
	case float64(in.DaemonsReporting) < quorumRatio*float64(in.Daemons):
		return in.stay(TooFewReports)
	case in.BaselineInFlight == 0 && in.Elapsed >= sched.full+minDrainTime/2:
		return complete(in, a, Drained)
	case in.CanMigrate && s.Stage == Full && in.Elapsed >= sched.migrate:
		return in.moveTo(Migrating, 1, DeadlineReached, a)
	case in.CanMigrate && in.Elapsed >= sched.end:
		return complete(in, a, DeadlineReached)
	}
	return in.stay(TooEarly)
}

// start starts a roll-out once there is a target server.
func start(in Input) Step {
	switch {
	case in.State.Baseline == in.State.Target:
		return in.moveTo(Full, 1, AlreadyRunning, Analysis{})
	case in.TargetServers == 0 && in.Elapsed > in.Period:
		return in.moveTo(RolledBack, 0, NoTargetServers, Analysis{})
	case in.TargetServers == 0:
		return in.stay(NoTargetServers)
	case in.BaselineServers == 0 && in.State.Baseline == "":
		return in.moveTo(Full, 1, AlreadyRunning, Analysis{})
	}
	return in.moveTo(Canary, canaryShare(in), Started, Analysis{})
}

// requiredSamples returns the number of target samples needed before the target gets all requests.
func (in Input) requiredSamples() int { return min(minTargetSamples, (in.TargetRequests+1)/2) }

// promote moves the roll-out to a stage with a larger share if the target is no worse than the
// baseline. A target that would exceed its limits if it turned out to be bad gets all requests only
// once it is proven. It keeps its share until then: for as long as it is suspected, at the expense
// of the period, and otherwise until the responses in progress have to migrate.
func promote(in Input, a Analysis, sched schedule, stage Stage, share float64) Step {
	switch {
	case a.PValue < promotionSignificance:
		return in.moveTo(RolledBack, 0, Worse, a)
	case float64(in.DaemonsReporting) < quorumRatio*float64(in.Daemons):
		return in.stay(TooFewReports)
	case stage == Full && a.TargetSamples < in.requiredSamples() && in.Elapsed < 2*in.Period:
		return in.stay(TooFewSamples)
	case stage == Full && !in.fullWithinLimits() && a.Confidence == Suspected:
		return in.stay(TargetSuspected)
	case stage == Full && !in.fullWithinLimits() && a.Confidence == Unproven && in.Elapsed < sched.migrate:
		return in.stay(TargetUnproven)
	case a.TargetSamples == 0 && in.RequestsPerSecond*in.Period.Seconds() < in.Limits.Slack:
		return in.moveTo(stage, share, NoTraffic, a)
	case a.TargetSamples == 0 && in.Elapsed < in.Period:
		return in.stay(TooFewSamples)
	case a.TargetSamples == 0:
		return in.moveTo(RolledBack, 0, TooFewSamples, a)
	}
	return in.moveTo(stage, share, NotWorse, a)
}

// complete ends a roll-out if the target is no worse than the baseline.
func complete(in Input, a Analysis, r Reason) Step {
	if a.PValue < promotionSignificance && in.State.Baseline != in.State.Target {
		return in.moveTo(RolledBack, 0, Worse, a)
	}
	return in.moveTo(Completed, 1, r, a)
}

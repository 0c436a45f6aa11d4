package rollout

import "time"

// Limits are what an operator allows.
type Limits struct {
	// Share is the part of a service's requests that a bad version may get, 0 to 1, and Slack how
	// many it may get beyond that.
	Share, Slack float64
}

// Input is what the next step is decided by.
type Input struct {
	State  State
	Limits Limits
	// Elapsed is how long ago the order was given, at most; Period is the time for all of it.
	Elapsed, Period time.Duration
	// BaselineServers and Target are the servers of both versions that take requests.
	BaselineServers, TargetServers int
	// DaemonsReporting is how many of Daemons told lately what they saw.
	DaemonsReporting, Daemons int
	// RequestsPerSecond is how many requests of the service begin, and Drawn how many were drawn for the
	// target.
	RequestsPerSecond float64
	TargetRequests    int
	// BaselineInFlight is how many requests are under way at the version before.
	BaselineInFlight int
	// DefaultResponseTime is how long an answer takes at most while none of the version before was seen; 0 where
	// nothing is known.
	DefaultResponseTime time.Duration
	// CanMigrate says that an answer can go on at another server from a copy.
	CanMigrate bool
	// Evidence is all that was seen, and Waiting what waits now.
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
)

// Step is what the roll-out comes to next.
type Step struct {
	State    State
	Reason   Reason
	Analysis Analysis
}

const (
	// completionMargin is kept at the end of the period for the last step to be written and read, and
	// longFinish where answers are long: the order may be older than it seems.
	completionMargin       = 700 * time.Millisecond
	streamCompletionMargin = 1500 * time.Millisecond
	// minDrainTime is what short answers take to end at all daemons, and what it takes to hear that.
	minDrainTime = 200 * time.Millisecond
	// streamCutoverRatio is the part of the period after which the target gets everything where answers
	// are too long to end within the rest, and can go on elsewhere.
	streamCutoverRatio = 0.66
	// minCutoverRatio is the same for answers that cannot.
	minCutoverRatio = 0.25
	// migrationTime is the time for answers under way to go on elsewhere before the end.
	migrationTime = 1300 * time.Millisecond
	// longCanaryRatio and fewShort are the share of few, in terms of the limit, where answers are long and
	// where they are short: what is bad at once shows in a moment.
	longCanaryRatio, shortCanaryRatio = 0.85, 0.4
	// minPartialRatio and mostSome bound the share after it: the first in terms of the limit.
	minPartialRatio, maxPartialShare = 0.15, 0.4
	// orderAgeUncertainty is by how much the order may be younger than it seems.
	orderAgeUncertainty = 200 * time.Millisecond
	// rateWarmup is how long it takes to know how many requests there are.
	rateWarmup = 2500 * time.Millisecond
	// minTargetPerSecond is how many drawn requests a second show routes with few of them too.
	minTargetPerSecond = 15
	// usableSlackRatio is the part of the slack that is planned with.
	usableSlackRatio = 0.8
	// detectionTime is how long the target gets everything before what is bad of it is noticed.
	detectionTime = 1500 * time.Millisecond
	// minTargetSamples is how many samples of the target show that it works, or those of half of the requests
	// that were drawn where these are few.
	minTargetSamples = 12
	// quorumRatio is the part of the daemons that have to be heard before the target gets more.
	quorumRatio = 0.5
)

// schedule is when the target gets more, in time since the order.
type schedule struct{ full, migrate, end time.Duration }

// newSchedule is as late as the answers under way allow.
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
		full = 0 // none is known to be short
	}
	earliest := time.Duration(minCutoverRatio * float64(in.Period))
	if in.CanMigrate {
		earliest = time.Duration(streamCutoverRatio * float64(in.Period))
	}
	return schedule{full: max(full, earliest), migrate: end - migrationTime, end: end}
}

// canaryShare is the share with which the target begins. Where answers are short most of what a bad version
// may have is kept for the end.
func canaryShare(in Input) float64 {
	if in.Period-newSchedule(in, 0).full < time.Duration(in.Limits.Share*float64(in.Period)) {
		return shortCanaryRatio * in.Limits.Share
	}
	return longCanaryRatio * in.Limits.Share
}

// partialShare is the share that the target gets from now until it gets everything: of what a bad version
// may have, all but what it has had, and what it gets then until it is noticed. Where answers are
// short everything it gets stays below the bound, so that one that turns bad at the end does not get
// too much either. Where there are few requests the slack makes it more than the limit's share.
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

// stay is the step of a roll-out that stays where it is.
func (in Input) stay(r Reason) Step { return Step{State: in.State, Reason: r} }

// moveTo is the step to another stage.
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
		return promote(in, a, Full, 1)
	case s.Stage == Canary && in.Elapsed >= rateWarmup:
		share := partialShare(in, sched)
		if share*in.RequestsPerSecond < minTargetPerSecond {
			in.State.CommonRoutes = in.Evidence.commonRoutes()
		}
		return promote(in, a, Partial, share)
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

// start starts a roll-out once there is a server of the target.
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

// requiredSamples is how many samples of the target there have to be before it gets everything.
func (in Input) requiredSamples() int { return min(minTargetSamples, (in.TargetRequests+1)/2) }

// promote gives the target more, if it is as good as the version before.
func promote(in Input, a Analysis, stage Stage, share float64) Step {
	switch {
	case a.PValue < promotionSignificance:
		return in.moveTo(RolledBack, 0, Worse, a)
	case float64(in.DaemonsReporting) < quorumRatio*float64(in.Daemons):
		return in.stay(TooFewReports)
	case stage == Full && a.TargetSamples < in.requiredSamples() && in.Elapsed < 2*in.Period:
		return in.stay(TooFewSamples)
	case a.TargetSamples == 0 && in.RequestsPerSecond*in.Period.Seconds() < in.Limits.Slack:
		return in.moveTo(stage, share, NoTraffic, a)
	case a.TargetSamples == 0 && in.Elapsed < in.Period:
		return in.stay(TooFewSamples)
	case a.TargetSamples == 0:
		return in.moveTo(RolledBack, 0, TooFewSamples, a)
	}
	return in.moveTo(stage, share, NotWorse, a)
}

// complete ends a roll-out whose target is as good as the version before.
func complete(in Input, a Analysis, r Reason) Step {
	if a.PValue < promotionSignificance && in.State.Baseline != in.State.Target {
		return in.moveTo(RolledBack, 0, Worse, a)
	}
	return in.moveTo(Completed, 1, r, a)
}

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
	// finish is kept at the end of the period for the last step to be written and read, and
	// longFinish where answers are long: the order may be older than it seems.
	finish     = 700 * time.Millisecond
	longFinish = 1500 * time.Millisecond
	// drained is what short answers take to end at all daemons, and what it takes to hear that.
	drained = 200 * time.Millisecond
	// longShare is the part of the period after which the target gets everything where answers
	// are too long to end within the rest, and can go on elsewhere.
	longShare = 0.66
	// leastShare is the same for answers that cannot.
	leastShare = 0.25
	// moving is the time for answers under way to go on elsewhere before the end.
	moving = 1300 * time.Millisecond
	// fewLong and fewShort are the share of few, in terms of the limit, where answers are long and
	// where they are short: what is bad at once shows in a moment.
	fewLong, fewShort = 0.85, 0.4
	// leastSome and mostSome bound the share after it: the first in terms of the limit.
	leastSome, mostSome = 0.15, 0.4
	// unsure is by how much the order may be younger than it seems.
	unsure = 200 * time.Millisecond
	// rateKnown is how long it takes to know how many requests there are.
	rateKnown = 2500 * time.Millisecond
	// manyDrawn is how many drawn requests a second show routes with few of them too.
	manyDrawn = 15
	// slackUsed is the part of the slack that is planned with.
	slackUsed = 0.8
	// noticed is how long the target gets everything before what is bad of it is noticed.
	noticed = 1500 * time.Millisecond
	// enough is how many samples of the target show that it works, or those of half of the requests
	// that were drawn where these are few.
	enough = 12
	// quorum is the part of the daemons that have to be heard before the target gets more.
	quorum = 0.5
)

// schedule is when the target gets more, in time since the order.
type schedule struct{ all, last, end time.Duration }

// scheduleOf is as late as the answers under way allow.
func scheduleOf(in Input, long time.Duration) schedule {
	if long == 0 {
		long = in.DefaultResponseTime
	}
	end := in.Period - finish
	if in.CanMigrate {
		end = in.Period - longFinish
	}
	all := end - max(drained, long+long/3)
	if long == 0 {
		all = 0 // none is known to be short
	}
	least := time.Duration(leastShare * float64(in.Period))
	if in.CanMigrate {
		least = time.Duration(longShare * float64(in.Period))
	}
	return schedule{all: max(all, least), last: end - moving, end: end}
}

// few is the share with which the target begins. Where answers are short most of what a bad version
// may have is kept for the end.
func few(in Input) float64 {
	if in.Period-scheduleOf(in, 0).all < time.Duration(in.Limits.Share*float64(in.Period)) {
		return fewShort * in.Limits.Share
	}
	return fewLong * in.Limits.Share
}

// some is the share that the target gets from now until it gets everything: of what a bad version
// may have, all but what it has had, and what it gets then until it is noticed. Where answers are
// short everything it gets stays below the bound, so that one that turns bad at the end does not get
// too much either. Where there are few requests the slack makes it more than the limit's share.
func some(in Input, s schedule) float64 {
	allowed := in.Limits.Share*in.RequestsPerSecond*in.Period.Seconds() + slackUsed*in.Limits.Slack
	later := min(noticed, in.Period-s.all+unsure).Seconds() * in.RequestsPerSecond
	before := max(0, s.all-in.Elapsed).Seconds() * in.RequestsPerSecond
	least := leastSome * in.Limits.Share
	if before == 0 {
		return least
	}
	return min(mostSome, max(least, (allowed-later-float64(in.TargetRequests))/before))
}

// stay is the step of a roll-out that stays where it is.
func (in Input) stay(r Reason) Step { return Step{State: in.State, Reason: r} }

// to is the step to another stage.
func (in Input) to(stage Stage, share float64, r Reason, f Analysis) Step {
	in.State.Stage, in.State.Share = stage, share
	return Step{State: in.State, Reason: r, Analysis: f}
}

// Next decides the next step of a roll-out.
func Next(in Input) Step {
	s := in.State
	switch {
	case s.Stage == Idle, s.Stage.IsTerminal():
		return in.stay(TooEarly)
	case s.Stage == Pending:
		return begin(in)
	}
	f := in.Evidence.Analyze(in.Unanswered)
	if f.PValue < anyLook && s.Baseline != s.Target {
		return in.to(RolledBack, 0, Worse, f)
	}
	if in.TargetServers == 0 && s.Baseline != s.Target {
		if s.Stage >= Full || in.Elapsed > in.Period {
			return in.to(RolledBack, 0, NoTargetServers, f)
		}
		return in.stay(NoTargetServers)
	}
	at := scheduleOf(in, f.BaselineP95)
	switch {
	case s.Stage <= Partial && in.Elapsed >= at.all:
		return grow(in, f, Full, 1)
	case s.Stage == Canary && in.Elapsed >= rateKnown:
		share := some(in, at)
		if share*in.RequestsPerSecond < manyDrawn {
			in.State.CommonRoutes = in.Evidence.common()
		}
		return grow(in, f, Partial, share)
	case s.Stage <= Partial:
		return in.stay(TooEarly)
	case float64(in.DaemonsReporting) < quorum*float64(in.Daemons):
		return in.stay(TooFewReports)
	case in.BaselineInFlight == 0 && in.Elapsed >= at.all+drained/2:
		return complete(in, f, Drained)
	case in.CanMigrate && s.Stage == Full && in.Elapsed >= at.last:
		return in.to(Migrating, 1, DeadlineReached, f)
	case in.CanMigrate && in.Elapsed >= at.end:
		return complete(in, f, DeadlineReached)
	}
	return in.stay(TooEarly)
}

// begin starts a roll-out once there is a server of the target.
func begin(in Input) Step {
	switch {
	case in.State.Baseline == in.State.Target:
		return in.to(Full, 1, AlreadyRunning, Analysis{})
	case in.TargetServers == 0 && in.Elapsed > in.Period:
		return in.to(RolledBack, 0, NoTargetServers, Analysis{})
	case in.TargetServers == 0:
		return in.stay(NoTargetServers)
	case in.BaselineServers == 0 && in.State.Baseline == "":
		return in.to(Full, 1, AlreadyRunning, Analysis{})
	}
	return in.to(Canary, few(in), Started, Analysis{})
}

// enough is how many samples of the target there have to be before it gets everything.
func (in Input) enough() int { return min(enough, (in.TargetRequests+1)/2) }

// grow gives the target more, if it is as good as the version before.
func grow(in Input, f Analysis, stage Stage, share float64) Step {
	switch {
	case f.PValue < lastLook:
		return in.to(RolledBack, 0, Worse, f)
	case float64(in.DaemonsReporting) < quorum*float64(in.Daemons):
		return in.stay(TooFewReports)
	case stage == Full && f.TargetSamples < in.enough() && in.Elapsed < 2*in.Period:
		return in.stay(TooFewSamples)
	case f.TargetSamples == 0 && in.RequestsPerSecond*in.Period.Seconds() < in.Limits.Slack:
		return in.to(stage, share, NoTraffic, f)
	case f.TargetSamples == 0 && in.Elapsed < in.Period:
		return in.stay(TooFewSamples)
	case f.TargetSamples == 0:
		return in.to(RolledBack, 0, TooFewSamples, f)
	}
	return in.to(stage, share, NotWorse, f)
}

// complete ends a roll-out whose target is as good as the version before.
func complete(in Input, f Analysis, r Reason) Step {
	if f.PValue < lastLook && in.State.Baseline != in.State.Target {
		return in.to(RolledBack, 0, Worse, f)
	}
	return in.to(Completed, 1, r, f)
}

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
	// Base and Target are the servers of both versions that take requests.
	Base, Target int
	// Heard is how many of Daemons told lately what they saw.
	Heard, Daemons int
	// PerSecond is how many requests of the service begin, and Drawn how many were drawn for the
	// target.
	PerSecond float64
	Drawn     int
	// UnderWay is how many requests are under way at the version before.
	UnderWay int
	// Usual is how long an answer takes at most while none of the version before was seen; 0 where
	// nothing is known.
	Usual time.Duration
	// Moves says that an answer can go on at another server from a copy.
	Moves bool
	// Evidence is all that was seen, and Waiting what waits now.
	Evidence *Evidence
	Waiting  []Sample
}

// Reason says why a step is taken.
type Reason string

// The reasons.
const (
	TooEarly    Reason = "too_early"
	NoServers   Reason = "no_servers_of_target"
	TooFewHeard Reason = "too_few_daemons_heard"
	TooLittle   Reason = "too_little_seen"
	Began       Reason = "began"
	AsGood      Reason = "as_good_as_before"
	Bad         Reason = "bad"
	NobodyAsks  Reason = "nobody_asks"
	Same        Reason = "version_runs_already"
	NothingLeft Reason = "nothing_under_way"
	TimeIsUp    Reason = "time_is_up"
)

// Step is what the roll-out comes to next.
type Step struct {
	State   State
	Reason  Reason
	Finding Finding
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
		long = in.Usual
	}
	end := in.Period - finish
	if in.Moves {
		end = in.Period - longFinish
	}
	all := end - max(drained, long+long/3)
	if long == 0 {
		all = 0 // none is known to be short
	}
	least := time.Duration(leastShare * float64(in.Period))
	if in.Moves {
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
	allowed := in.Limits.Share*in.PerSecond*in.Period.Seconds() + slackUsed*in.Limits.Slack
	later := min(noticed, in.Period-s.all+unsure).Seconds() * in.PerSecond
	before := max(0, s.all-in.Elapsed).Seconds() * in.PerSecond
	least := leastSome * in.Limits.Share
	if before == 0 {
		return least
	}
	return min(mostSome, max(least, (allowed-later-float64(in.Drawn))/before))
}

// stay is the step of a roll-out that stays where it is.
func (in Input) stay(r Reason) Step { return Step{State: in.State, Reason: r} }

// to is the step to another stage.
func (in Input) to(stage Stage, share float64, r Reason, f Finding) Step {
	in.State.Stage, in.State.Share = stage, share
	return Step{State: in.State, Reason: r, Finding: f}
}

// Next decides the next step of a roll-out.
func Next(in Input) Step {
	s := in.State
	switch {
	case s.Stage == Idle, s.Stage.Over():
		return in.stay(TooEarly)
	case s.Stage == Pending:
		return begin(in)
	}
	f := in.Evidence.Judge(in.Waiting)
	if f.Odds < anyLook && s.Base != s.Target {
		return in.to(RolledBack, 0, Bad, f)
	}
	if in.Target == 0 && s.Base != s.Target {
		if s.Stage >= All || in.Elapsed > in.Period {
			return in.to(RolledBack, 0, NoServers, f)
		}
		return in.stay(NoServers)
	}
	at := scheduleOf(in, f.Long)
	switch {
	case s.Stage <= Some && in.Elapsed >= at.all:
		return grow(in, f, All, 1)
	case s.Stage == Few && in.Elapsed >= rateKnown:
		share := some(in, at)
		if share*in.PerSecond < manyDrawn {
			in.State.Common = in.Evidence.common()
		}
		return grow(in, f, Some, share)
	case s.Stage <= Some:
		return in.stay(TooEarly)
	case float64(in.Heard) < quorum*float64(in.Daemons):
		return in.stay(TooFewHeard)
	case in.UnderWay == 0 && in.Elapsed >= at.all+drained/2:
		return complete(in, f, NothingLeft)
	case in.Moves && s.Stage == All && in.Elapsed >= at.last:
		return in.to(Last, 1, TimeIsUp, f)
	case in.Moves && in.Elapsed >= at.end:
		return complete(in, f, TimeIsUp)
	}
	return in.stay(TooEarly)
}

// begin starts a roll-out once there is a server of the target.
func begin(in Input) Step {
	switch {
	case in.State.Base == in.State.Target:
		return in.to(All, 1, Same, Finding{})
	case in.Target == 0 && in.Elapsed > in.Period:
		return in.to(RolledBack, 0, NoServers, Finding{})
	case in.Target == 0:
		return in.stay(NoServers)
	case in.Base == 0 && in.State.Base == "":
		return in.to(All, 1, Same, Finding{})
	}
	return in.to(Few, few(in), Began, Finding{})
}

// enough is how many samples of the target there have to be before it gets everything.
func (in Input) enough() int { return min(enough, (in.Drawn+1)/2) }

// grow gives the target more, if it is as good as the version before.
func grow(in Input, f Finding, stage Stage, share float64) Step {
	switch {
	case f.Odds < lastLook:
		return in.to(RolledBack, 0, Bad, f)
	case float64(in.Heard) < quorum*float64(in.Daemons):
		return in.stay(TooFewHeard)
	case stage == All && f.New < in.enough() && in.Elapsed < 2*in.Period:
		return in.stay(TooLittle)
	case f.New == 0 && in.PerSecond*in.Period.Seconds() < in.Limits.Slack:
		return in.to(stage, share, NobodyAsks, f)
	case f.New == 0 && in.Elapsed < in.Period:
		return in.stay(TooLittle)
	case f.New == 0:
		return in.to(RolledBack, 0, TooLittle, f)
	}
	return in.to(stage, share, AsGood, f)
}

// complete ends a roll-out whose target is as good as the version before.
func complete(in Input, f Finding, r Reason) Step {
	if f.Odds < lastLook && in.State.Base != in.State.Target {
		return in.to(RolledBack, 0, Bad, f)
	}
	return in.to(Completed, 1, r, f)
}

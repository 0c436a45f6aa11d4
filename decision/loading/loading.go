// Package loading decides whether a request whose model no backend server has ready waits for a
// load in progress or is refused.
//
// Load pattern: a version change or a replaced VM leaves a model without ready servers for a minute
// while others load it.
//
// Without it, either every request of that minute is refused although it could have been answered in
// time, or all requests wait for a load that ends after their deadlines and are refused only then.
//
// If some servers are ready, nothing is decided here: the ready and the loading servers share one
// queue, and the first with capacity takes the next request. Rules that assign a request to one or
// the other on arrival, such as that of Online-DRL, do no better; see
// docs/design/34-load-loading.md.
package loading

import "time"

// deadlineRatio is the share of the time to the deadline within which a load must end for a request
// to wait for it. The engines estimate load times, and loads end later than estimated when the
// weight store is shared. A caller refused at once can try elsewhere, one refused at its deadline
// can't.
const deadlineRatio = 0.8

// Reason says why a request waits or is refused. It is written to the log and counted in a metric.
type Reason string

// The reasons.
const (
	ReasonInTime     Reason = "loaded_in_time"
	ReasonTooLate    Reason = "loaded_too_late"
	ReasonUnknown    Reason = "time_unknown"
	ReasonNotLoading Reason = "nowhere"
)

// Input describes a request that no ready server can run.
type Input struct {
	Loading        bool          // some server is loading the model
	LoadRemaining  time.Duration // until the first of these loads ends, 0 if unknown
	TimeToDeadline time.Duration // until the deadline of the request
}

// Decision says whether the request waits or is refused.
type Decision struct {
	Wait   bool
	Reason Reason
	// RetryAfter is the time until the model should be ready, 0 if unknown.
	RetryAfter time.Duration
}

// Decide lets a request wait if a load of its model should end well before its deadline, or if the
// time of the load's end is unknown.
func Decide(in Input) Decision {
	switch {
	case !in.Loading:
		return Decision{Reason: ReasonNotLoading}
	case in.LoadRemaining <= 0:
		return Decision{Wait: true, Reason: ReasonUnknown}
	case float64(in.LoadRemaining) <= deadlineRatio*float64(in.TimeToDeadline):
		return Decision{Wait: true, Reason: ReasonInTime}
	}
	return Decision{Reason: ReasonTooLate, RetryAfter: in.LoadRemaining}
}

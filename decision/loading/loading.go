// Package loading decides what becomes of work whose model no backend server
// has ready.
//
// Load it answers: a version change or a replaced VM takes the ready servers of
// a model away for a minute while others are loading it.
//
// Without it, every request of that minute is refused although it could have
// been answered in time, or all of them wait for a load that takes longer than
// their callers' patience and are refused only then.
//
// Where some servers are ready nothing is decided here: one queue stands before
// the ready and the loading servers alike, and whichever has room first takes
// the next request. Rules that send a request to one or the other on arrival,
// that of Online-DRL among them, do no better; see
// docs/design/34-load-loading.md.
package loading

import "time"

// slack is how much earlier than the deadline the load must end. Estimates of
// loading come from the engines and run late when the weight store is shared;
// a caller refused at once can go on, one refused at its deadline cannot.
const slack = 0.8

// Reason says why; it goes into the log line.
type Reason string

// The reasons.
const (
	ReasonInTime  Reason = "loaded_in_time"
	ReasonTooLate Reason = "loaded_too_late"
	ReasonUnknown Reason = "time_unknown"
	ReasonNowhere Reason = "nowhere"
)

// Input is what is known about one request that nothing ready can run.
type Input struct {
	Loading        bool          // some server loads the model
	LoadRemaining  time.Duration // until the first of them is ready, 0 if unknown
	TimeToDeadline time.Duration // until the request's deadline
}

// Decision is the choice with its reason.
type Decision struct {
	Wait   bool
	Reason Reason
	// RetryAfter is when the model should be ready, 0 if unknown.
	RetryAfter time.Duration
}

// Decide lets a request wait for a load that should end well before its deadline.
func Decide(in Input) Decision {
	switch {
	case !in.Loading:
		return Decision{Reason: ReasonNowhere}
	case in.LoadRemaining <= 0:
		return Decision{Wait: true, Reason: ReasonUnknown}
	case float64(in.LoadRemaining) <= slack*float64(in.TimeToDeadline):
		return Decision{Wait: true, Reason: ReasonInTime}
	}
	return Decision{Reason: ReasonTooLate, RetryAfter: in.LoadRemaining}
}

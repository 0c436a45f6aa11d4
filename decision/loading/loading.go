// Package loading decides whether work whose model is still loading on near
// servers waits for them or goes elsewhere.
//
// Load it answers: a version change or a replaced VM takes the ready servers of
// a zone away for a minute while more of them are loading.
//
// Without it, either every request goes to the few ready servers far away and
// overruns them, or every request waits for a load that takes longer than its
// caller's patience.
package loading

import "time"

// Choice is what to do.
type Choice uint8

// The choices.
const (
	Elsewhere Choice = iota // send it to a ready server now
	Wait                    // hold it until the model is loaded
	Refuse                  // neither starts in time
)

// String returns the lower-case name.
func (c Choice) String() string { return [...]string{"elsewhere", "wait", "refuse"}[c] }

// Reason says why.
type Reason string

// The reasons.
const (
	ReasonReady    Reason = "elsewhere_sooner"
	ReasonLoaded   Reason = "loaded_sooner"
	ReasonOnly     Reason = "only_loading"
	ReasonTooLate  Reason = "loaded_too_late"
	ReasonNowhere  Reason = "nowhere"
	ReasonDisabled Reason = "policy"
)

// Input is what is known about one request.
type Input struct {
	// Loading says that a server loads the model; Remaining is how long it takes.
	Loading   bool
	Remaining time.Duration
	// Ready says that servers elsewhere have it; Queue is the predicted wait
	// there and Extra what their distance adds to the answer.
	Ready        bool
	Queue, Extra time.Duration
	// Patience is the time left until the deadline.
	Patience time.Duration
}

// Decision is the choice with its reason.
type Decision struct {
	Choice Choice
	Reason Reason
}

// Policy is one rule.
type Policy func(Input) Decision

// Decide waits only where nothing else can run the work: what is ready takes
// it at once, wherever it is, and what will be loaded in time may wait for it.
func Decide(in Input) Decision { return Never(in) }

// DelayedHit waits when the load ends sooner than the work could start and be
// answered elsewhere. It is the rule by which Online-DRL buffers a request
// during a download (Deka and Sukapuram, "Edge Service Caching with Delayed
// Hits and Request Forwarding to Reduce Latency", 2024), with the queue
// elsewhere added to the latency of forwarding.
func DelayedHit(in Input) Decision {
	if in.Loading && in.Ready && in.Remaining <= in.Queue+in.Extra && in.Remaining < in.Patience {
		return Decision{Wait, ReasonLoaded}
	}
	return Never(in)
}

// Forward waits when the load ends sooner than forwarding takes, without
// regard to the queue elsewhere: the paper's rule as it stands.
func Forward(in Input) Decision {
	in.Queue = 0
	return DelayedHit(in)
}

// Always waits for a load that ends before the deadline.
func Always(in Input) Decision {
	if in.Loading && in.Remaining < in.Patience {
		return Decision{Wait, ReasonDisabled}
	}
	return Never(in)
}

// Never waits for a load unless nothing else has the model.
func Never(in Input) Decision {
	switch {
	case in.Ready:
		return Decision{Elsewhere, ReasonReady}
	case in.Loading && in.Remaining < in.Patience:
		return Decision{Wait, ReasonOnly}
	case in.Loading:
		return Decision{Refuse, ReasonTooLate}
	}
	return Decision{Refuse, ReasonNowhere}
}

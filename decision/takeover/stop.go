package takeover

import "time"

// StopResult is what the reply to the request to stop a run shows.
type StopResult uint8

// The results. A closed connection alone does not end a run: a server may be paused, may not notice, or may
// have lost the connection before.
const (
	StopUnanswered StopResult = iota // no reply; the run may go on
	StopRefused                      // the server cannot stop the run now
	StoppedCopied                    // the run has ended, and another server holds a copy of its state
	StoppedKept                      // the run has ended, and its server keeps its state
	NotRunning                       // the server does not run the request
	ProcessExited                    // no process listens at the server's port
)

// String returns the name used in logs.
func (r StopResult) String() string {
	return [...]string{"unanswered", "refused", "stopped", "stopped_kept", "not_running", "exited"}[r]
}

// HasEnded reports whether the run does not go on.
func (r StopResult) HasEnded() bool { return r >= StoppedCopied }

// DecideWhileStopping is Decide while the silent server is asked to stop its run. Its reply then says which of the two
// continues the response, unless the other server responds or rejects the request before.
func DecideWhileStopping(other ServerState) Action {
	switch other {
	case Responding:
		return Switch
	case Broken:
		return Keep
	case Silent:
	}
	return Wait
}

const (
	// AcceptTime is how long a server that is to resume from a copy may take to reject the request. Then it
	// counts as accepted, and the silent server is asked to stop.
	AcceptTime = 50 * time.Millisecond
	// StopTimeoutWithCopy is how long a response with a copy waits until its silent server has stopped.
	// The resume fits into the rest of ResumeTime.
	StopTimeoutWithCopy = 100 * time.Millisecond
	// StopTimeoutWithoutCopy is the same without a copy. The server then copies the whole state, which is
	// faster than processing the prompt again.
	StopTimeoutWithoutCopy = 500 * time.Millisecond
	// MaxStopTime is how long a server that does not answer is asked again to stop a run. Servers that stay
	// silent for longer lose their registration.
	MaxStopTime = 5 * time.Second
	// minStopDelay and maxStopDelay bound the time between two requests to stop a run.
	minStopDelay = 50 * time.Millisecond
	maxStopDelay = 400 * time.Millisecond
)

// StopTimeout returns how long a response waits until its silent server has stopped.
func StopTimeout(hasCopy bool) time.Duration {
	if hasCopy {
		return StopTimeoutWithCopy
	}
	return StopTimeoutWithoutCopy
}

// StopDelay returns the time until a server is asked again to stop a run, after some requests without a reply.
func StopDelay(failed int) time.Duration { return doubled(minStopDelay, failed, maxStopDelay) }

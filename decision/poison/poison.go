// Package poison decides which request ends the servers that run it, and is sent to none
// any more.
//
// Load it answers: a request that crashes whoever begins to run it, and that its caller
// sends again and again, to any entry VM. Beside it run up to some dozens of answers that
// lose their server each time, and zones of servers end by themselves now and then.
//
// Without it every attempt ends as many servers as its route allows sends, each daemon takes
// it for an answer that was unlucky, and the repeats of all go to it: in the end more servers
// are away than there are, and no other answer is whole.
//
// How it decides: by which request was there when servers ended, each time about to begin.
// A server's end counts for a request that had just begun there or may have, but not for one
// whose prompt cannot have been read by then, nor for one that had run for a while, nor where
// the server was to leave or most of its zone ended with it. Answers beside it run on elsewhere: an answer that is whole clears
// its request. So one that is always there when it begins stands out after a few ends, while
// another meets as many only if it is unlucky each time it begins, and never succeeds between.
// The ends are counted for all daemons together, by a few that rendezvous hashing names.
package poison

import "time"

const (
	// watchThreshold is the number of servers that ended after which all daemons look out for
	// the request, so that one that succeeds anywhere is cleared.
	watchThreshold = 2
	// refuseThreshold is the number after which it is sent no more.
	refuseThreshold = 3
	// crashWindow is how long after its first event a request may have ended its server: a
	// crash comes right after the first token, and events lag.
	crashWindow = 500 * time.Millisecond
	// PeersToCheck is how many other servers of the zone are looked at when one has ended.
	PeersToCheck = 3
	// minPeersChecked is of how many most say something of the zone.
	minPeersChecked = 2
)

// Termination is what is known of a request at a server that ended.
type Termination struct {
	// Planned says that the server was to leave.
	Planned bool
	// PromptUnread says that the prompt certainly was not read when the server ended.
	PromptUnread bool
	// Streamed is how long events had come from the server; 0 before the first.
	Streamed time.Duration
	// PeersChecked is how many other servers of its zone were looked at, Down how many of them had
	// ended as well.
	PeersChecked, PeersDown int
}

// Attribution says whether the end of a server counts for a request.
type Attribution uint8

// The findings.
const (
	Attributed Attribution = iota
	Planned
	NotStarted
	KeptRunning
	ZoneFailure
)

// String returns the word used in logs.
func (a Attribution) String() string {
	return [...]string{"counts", "planned", "not_begun", "ran_on", "many_ended"}[a]
}

// Attribute says whether the end of the server counts for the request.
func (t Termination) Attribute() Attribution {
	switch {
	case t.Planned:
		return Planned
	case t.PromptUnread:
		return NotStarted
	case t.Streamed >= crashWindow:
		return KeptRunning
	case t.PeersChecked >= minPeersChecked && 2*t.PeersDown > t.PeersChecked:
		return ZoneFailure
	}
	return Attributed
}

// Mark is what is held of a request.
type Mark uint8

// The marks, in the order in which they are reached.
const (
	Unmarked Mark = iota
	Watched
	Refused
)

// String returns the word used in logs and on the wire.
func (m Mark) String() string { return [...]string{"unmarked", "watched", "refused"}[m] }

// markFor is the mark of a request under which so many servers have ended.
func markFor(crashes int) Mark {
	switch {
	case crashes >= refuseThreshold:
		return Refused
	case crashes >= watchThreshold:
		return Watched
	}
	return Unmarked
}

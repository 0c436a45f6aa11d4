// Package poison detects requests that crash the backend servers that run them, so that they are
// not sent to any server any more.
//
// Load pattern: a request crashes every server that starts to run it, and its caller sends it again
// and again to any VM. Dozens of other responses may run beside it and lose their server each time,
// and from time to time whole availability zones of servers fail independently of it.
//
// Without this package, every attempt terminates as many servers as its route allows sends. Each
// daemon takes the request for one whose server happened to fail, and all retries are spent on it,
// until most servers are down and no other response completes.
//
// Decision: a request is suspected if it was running on several servers when they terminated, each
// time near its start. A termination is attributed to a request that had just started there or may
// have started. It is not attributed to a request whose prompt cannot have been processed yet or
// that had run for a while, nor if the server was due to leave or most of its zone failed with it, or
// all of a service with few servers in its zone.
// Other requests on the server continue elsewhere, and a complete response clears its request. So a
// request that crashes its servers stands out after a few terminations, while any other request
// reaches the same count only if its server fails near its start every time and it never completes
// in between. The terminations are counted for all daemons by a few of them, chosen by rendezvous
// hashing.
package poison

import "time"

const (
	// watchThreshold is the number of attributed terminations after which all daemons watch the
	// request, so that a complete response anywhere clears it.
	watchThreshold = 2
	// refuseThreshold is the number of attributed terminations after which the request is refused.
	refuseThreshold = 3
	// crashWindow is how long after its first event a request is suspected of having crashed its
	// server: a crash happens right after the first token, and events arrive with a delay.
	crashWindow = 500 * time.Millisecond
	// PeersToCheck is how many other servers of the zone are checked when a server has terminated.
	PeersToCheck = 3
	// MinPeersChecked is how many servers must have been checked to tell whether most of the zone
	// is down.
	MinPeersChecked = 2
)

// Termination describes a request that was running on a server when the server terminated.
type Termination struct {
	// Planned says that the server was due to leave.
	Planned bool
	// PromptUnread says that the prompt cannot have been processed when the server terminated.
	PromptUnread bool
	// Streamed is the time since the first event from the server; 0 if there was none.
	Streamed time.Duration
	// PeersChecked is how many other servers of its zone were checked, PeersDown how many of these
	// had terminated as well.
	PeersChecked, PeersDown int
	// DownBefore says that this process had terminated before the request was sent.
	DownBefore bool
	// OthersChecked, OthersDown and OthersDownBefore are the same for servers of the service in any zone. They
	// are checked where its zone has fewer than MinPeersChecked others.
	OthersChecked, OthersDown, OthersDownBefore int
}

// Attribution says whether the termination of a server is attributed to a request, or why not.
type Attribution uint8

// The attributions.
const (
	Attributed Attribution = iota
	Planned
	NotStarted
	KeptRunning
	ZoneFailure
	ServiceFailure
)

// String returns the name used in logs.
func (a Attribution) String() string {
	return [...]string{"counts", "planned", "not_begun", "ran_on", "many_ended", "all_ended"}[a]
}

// Attribute decides whether the termination is attributed to the request.
func (t Termination) Attribute() Attribution {
	switch {
	case t.Planned:
		return Planned
	case t.PromptUnread, t.DownBefore:
		return NotStarted
	case t.Streamed >= crashWindow:
		return KeptRunning
	case t.PeersChecked >= MinPeersChecked && 2*t.PeersDown > t.PeersChecked:
		return ZoneFailure
	case t.allFailed():
		return ServiceFailure
	}
	return Attributed
}

// allFailed reports whether all servers of the service terminated while the request was running. A request
// that crashes one server after the other finds those down that it crashed before.
func (t Termination) allFailed() bool {
	return t.PeersChecked < MinPeersChecked && t.OthersChecked > 0 && t.OthersDown == t.OthersChecked && t.OthersDownBefore == 0
}

// Mark is the suspicion level of a request.
type Mark uint8

// The marks, in the order in which they are reached.
const (
	Unmarked Mark = iota
	Watched
	Refused
)

// String returns the name used in logs and on the wire.
func (m Mark) String() string { return [...]string{"unmarked", "watched", "refused"}[m] }

// markFor returns the mark of a request with the given number of attributed terminations.
func markFor(crashes int) Mark {
	switch {
	case crashes >= refuseThreshold:
		return Refused
	case crashes >= watchThreshold:
		return Watched
	}
	return Unmarked
}

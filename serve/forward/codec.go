// Package forward passes callers' requests on to backend servers without
// understanding them, and brings back each answer whole and once. It knows
// routes, kinds and verdicts; how a request carries its id, deadline or account
// on the wire is the business of a Codec.
package forward

import (
	"net/http"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
)

// Call is what a caller's request says of itself.
type Call struct {
	// ID names this attempt of the caller; answers echo it.
	ID string
	// Wait is how long the caller waits; 0 if it does not say.
	Wait time.Duration
	// Key is the account key; "" if there is none.
	Key string
	// After is the id of the last event that the caller holds; 0 at the start.
	After int64
	// PromptTokens is the length of the prompt; 0 if the caller does not say.
	PromptTokens int
	// OwnPart names the part of the prompt that no other request shares; "" if
	// the caller does not say.
	OwnPart string
}

// Errand is what the daemon adds to a request that it passes on.
type Errand struct {
	ID     string
	Server routing.Server
	// Left is how long the answer is still of use.
	Left time.Duration
	// Account is the name of the caller's account; "" on public routes.
	Account string
	// Priority ranks the request among those of its service, 0 first; negative
	// means that nothing is said of it.
	Priority int
	// CopyTo is the server to which the memory of the run is sent while it grows.
	CopyTo string
	// CopyAt is the server that holds such a copy, from which the run goes on.
	CopyAt string
	// After is the id of the last event released to the caller.
	After int64
}

// Reply is what an answer says of itself.
type Reply struct {
	// ID is the echo of the request's; "" if there is none.
	ID string
	// NotRun is the server's word that it did not run the request.
	NotRun bool
	// Misdirected says that another server than the one expected has the address.
	Misdirected bool
	// Proven answers carry the proof that a server made them.
	Proven bool
	// Instance is the id of the server that answered, where it says so.
	Instance string
	// Limit is how many requests a second the server says that it takes of all daemons
	// together, as it writes that; "" if it names no limit.
	Limit string
}

// Report is what an engine says of itself, as of a tenth of a second ago.
type Report struct {
	// Born is that of the life that says it, as routing.Life.Born; 0 if it does not say.
	Born int64
	// Events are those that each run has made, by the id of its request.
	Events map[string]int
	// Waiting are the requests that have no place in the batch yet.
	Waiting int
	// Used and Memory are the tokens that it holds and cannot give up, and all that
	// it can hold; Memory is 0 where it does not say.
	Used, Memory int
}

// load is what matters for placing one more prompt.
func (r Report) load() prompts.Report {
	load := prompts.Report{PendingPrompts: r.Waiting, UsedTokens: r.Used, CapacityTokens: r.Memory}
	for _, events := range r.Events {
		if events == 0 {
			load.PendingPrompts++
		} else {
			load.Running++
		}
	}
	return load
}

// Cache is what an engine says of the prompts that it holds.
type Cache struct {
	// Born is that of the life that says it, as routing.Life.Born; 0 if it does not say.
	Born int64
	// Parts are those held, as Call.OwnPart names them.
	Parts []string
}

// Codec translates between HTTP messages and what they mean here.
type Codec interface {
	Call(h http.Header) (Call, error)
	// Outgoing turns the headers of a caller into those of a request to a server.
	Outgoing(h http.Header, e Errand) http.Header
	Reply(status int, h http.Header) Reply
	// CachePath is the path at which an engine tells what prompts it holds, and
	// Cache reads the answer.
	CachePath() string
	Cache(body []byte) (Cache, error)
	// Probe returns the path at which an engine answers while it lives, without
	// taking a slot, and Report reads the answer; an answer that is no engine's is
	// an error.
	Probe() string
	Report(body []byte) (Report, error)
}

// Mover is a Codec of engines that copy the memory of a run when they are asked.
type Mover interface {
	// Move returns the call by which the engine that runs a request copies its
	// memory to the engine at target; the run goes on.
	Move(id, target string) (path string, body []byte, err error)
	// Moved reads the answer: the handle under which the copy lies.
	Moved(body []byte) (handle string, err error)
	// Drop returns the path at which DELETE frees a copy.
	Drop(handle string) (path string)
}

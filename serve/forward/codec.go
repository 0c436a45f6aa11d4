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
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// Key is the account key; "" if there is none.
	Key string
	// LastEventID is the id of the last event that the caller holds; 0 at the start.
	LastEventID int64
	// PromptTokens is the length of the prompt; 0 if the caller does not say.
	PromptTokens int
	// PromptKey names the part of the prompt that no other request shares; "" if
	// the caller does not say.
	PromptKey string
}

// UpstreamRequest is what the daemon adds to a request that it passes on.
type UpstreamRequest struct {
	ID     string
	Server routing.Server
	// Timeout is how long the answer is still of use.
	Timeout time.Duration
	// Account is the name of the caller's account; "" on public routes.
	Account string
	// Priority ranks the request among those of its service, 0 first; negative
	// means that nothing is said of it.
	Priority int
	// CopyTo is the server to which the memory of the run is sent while it grows.
	CopyTo string
	// ResumeFrom is the server that holds such a copy, from which the run goes on.
	ResumeFrom string
	// LastEventID is the id of the last event released to the caller.
	LastEventID int64
}

// Reply is what an answer says of itself.
type Reply struct {
	// ID is the echo of the request's; "" if there is none.
	ID string
	// NotRun is the server's word that it did not run the request.
	NotRun bool
	// Misdirected says that another server than the one expected has the address.
	Misdirected bool
	// Authentic answers carry the proof that a server made them.
	Authentic bool
	// Instance is the id of the server that answered, where it says so.
	Instance string
	// RateLimit is how many requests a second the server says that it takes of all daemons
	// together, as it writes that; "" if it names no limit.
	RateLimit string
}

// Report is what an engine says of itself, as of a tenth of a second ago.
type Report struct {
	// Born is that of the life that says it, as routing.Life.Born; 0 if it does not say.
	Born int64
	// Events are those that each run has made, by the id of its request.
	Events map[string]int
	// Queued are the requests that have no place in the batch yet.
	Queued int
	// UsedTokens and Memory are the tokens that it holds and cannot give up, and all that
	// it can hold; Memory is 0 where it does not say.
	UsedTokens, CapacityTokens int
}

// loadReport is what matters for placing one more prompt.
func (r Report) loadReport() prompts.Report {
	load := prompts.Report{PendingPrompts: r.Queued, UsedTokens: r.UsedTokens, CapacityTokens: r.CapacityTokens}
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
	// PromptKeys are those held, as Call.OwnPart names them.
	PromptKeys []string
}

// Codec translates between HTTP messages and what they mean here.
type Codec interface {
	Call(h http.Header) (Call, error)
	// Outgoing turns the headers of a caller into those of a request to a server.
	Outgoing(h http.Header, e UpstreamRequest) http.Header
	Reply(status int, h http.Header) Reply
	// CachePath is the path at which an engine tells what prompts it holds, and
	// Cache reads the answer.
	CachePath() string
	Cache(body []byte) (Cache, error)
	// ProbePath returns the path at which an engine answers while it lives, without
	// taking a slot, and Report reads the answer; an answer that is no engine's is
	// an error.
	ProbePath() string
	Report(body []byte) (Report, error)
}

// RunCopier is a Codec of engines that copy the memory of a run when they are asked.
type RunCopier interface {
	// CopyRequest returns the call by which the engine that runs a request copies its
	// memory to the engine at target; the run goes on.
	CopyRequest(id, target string) (path string, body []byte, err error)
	// ParseCopyReply reads the answer: the handle under which the copy lies.
	ParseCopyReply(body []byte) (handle string, err error)
	// DropPath returns the path at which DELETE frees a copy.
	DropPath(handle string) (path string)
}

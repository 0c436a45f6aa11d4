// Package forward is the reverse proxy for callers' requests. It treats requests and responses as
// opaque and delivers each response completely and exactly once. It deals with routes, kinds and
// verdicts; a Codec defines how a request carries its ID, deadline or account on the wire.
package forward

import (
	"net/http"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/external/sent"
)

// Call holds the metadata of a caller's request.
type Call struct {
	// ID identifies this attempt of the caller; responses echo it.
	ID string
	// Timeout is how long the caller waits; 0 if it is not stated.
	Timeout time.Duration
	// Key is the account key; "" if there is none.
	Key string
	// LastEventID is the ID of the last event that the caller has received; 0 at the start.
	LastEventID int64
	// PromptTokens is the length of the prompt; 0 if it is not stated.
	PromptTokens int
	// MaxAnswerTokens is the number of tokens that the answer may have at most; 0 if it is not stated.
	MaxAnswerTokens int
	// PromptKey identifies the part of the prompt that no other request shares, as engines name
	// it in their caches; "" if it is not stated.
	PromptKey string
	// PromptParts identify the parts of the prompt that other requests may share, in order.
	PromptParts []string
}

// UpstreamRequest holds the metadata that the daemon adds to a request that it forwards.
type UpstreamRequest struct {
	ID     string
	Server routing.Server
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// Account is the name of the caller's account; "" on public routes.
	Account string
	// Priority ranks the request among those of its service, 0 first; negative if it is not
	// stated.
	Priority int
	// CopyTo is the address of the server that receives an incremental copy of the run's KV
	// cache; "" if none does.
	CopyTo string
	// ResumeFrom names a copy of an earlier run, from which this run resumes; "" if there is
	// none.
	ResumeFrom string
	// LastEventID is the ID of the last event sent to the caller.
	LastEventID int64
}

// Reply holds the metadata of a backend server's response.
type Reply struct {
	// ID echoes the request's; "" if there is none.
	ID string
	// NotRun is set where the server states that it did not run the request.
	NotRun bool
	// Misdirected is set where the address belongs to another server than the one expected.
	Misdirected bool
	// Authentic is set where the response carries the proof that a server produced it.
	Authentic bool
	// Instance is the ID of the server that responded; "" if it is not stated.
	Instance string
	// RateLimit is the number of requests per second that the server accepts from all daemons
	// together, as the server writes it; "" if it states no limit.
	RateLimit string
	// Brittle is the number of rejections in a second, of requests of all daemons together, above
	// which the server fails, as the server writes it; "" if it states none.
	Brittle string
	// Leaving is set where the server states that it takes no new requests.
	Leaving bool
	// RetryAfter is the time in seconds for which a server that rejects a request wants no further
	// ones from this daemon, as the server writes it; "" if it states none.
	RetryAfter string
}

// StatesTrue reports whether the value of a header that is set in one case only states that case.
func StatesTrue(value string) bool { return value != "" && value != "0" }

// RetryAfterOf returns Reply.RetryAfter of a response with a standard Retry-After header. Only one
// with status 503 speaks of the server itself.
func RetryAfterOf(status int, h http.Header) string {
	if status != http.StatusServiceUnavailable {
		return ""
	}
	return h.Get("Retry-After")
}

// Report is the status that an engine reports. It lags by a tenth of a second.
type Report struct {
	// Born identifies the incarnation that reports, as routing.Incarnation.StartedAtMS; 0 if it is not stated.
	Born int64
	// Events is the number of events that each run has generated, by request ID.
	Events map[string]int
	// Queued is the number of requests without a place in the batch.
	Queued int
	// UsedTokens is the part of the KV cache that cannot be evicted, and CapacityTokens is all of
	// it, in tokens; CapacityTokens is 0 if it is not stated.
	UsedTokens, CapacityTokens int
	// RunTokens is the part of UsedTokens that belongs to the listed runs; 0 if it is not stated or no
	// run is listed.
	RunTokens int
	// Priorities holds the priority of each run that states one, as in UpstreamRequest.
	Priorities []int
}

// loadReport returns the part of the report that matters for placing a prompt.
func (r Report) loadReport() prompts.Report {
	load := prompts.Report{PendingPrompts: r.Queued, UsedTokens: r.UsedTokens, CapacityTokens: r.CapacityTokens, Priorities: r.Priorities}
	if r.RunTokens > 0 || len(r.Events) == 0 {
		load.CopyTokens = max(0, r.UsedTokens-r.RunTokens)
	}
	for _, events := range r.Events {
		if events == 0 {
			load.PendingPrompts++
		} else {
			load.Running++
		}
	}
	return load
}

// Cache lists the prompts in the KV cache of an engine.
type Cache struct {
	// Born identifies the incarnation that reports, as routing.Incarnation.StartedAtMS; 0 if it is not stated.
	Born int64
	// PromptKeys are the cached prompts, each identified as by Call.PromptKey.
	PromptKeys []string
}

// Codec translates between HTTP messages and the types of this package.
type Codec interface {
	// Call parses the headers of a caller's request.
	Call(h http.Header) (Call, error)
	// Outgoing converts the headers of a caller's request into those of a request to a server.
	Outgoing(h http.Header, e UpstreamRequest) http.Header
	// Reply parses the status and the headers of a server's response.
	Reply(status int, h http.Header) Reply
	// ProcessState parses the status and the headers of a response of a service's health path to a request
	// whose headers are those of Outgoing for the server s. It is sent.ServerRuns or sent.ServerExited if
	// the response tells whether the server s sent it, sent.ServerUnknown otherwise.
	ProcessState(s routing.Server, status int, h http.Header) sent.ServerState
	// CachePath returns the path at which an engine lists its cached prompts, and Cache parses
	// that response.
	CachePath() string
	Cache(body []byte) (Cache, error)
	// ProbePath returns the path at which a live engine responds without occupying a slot, and
	// Report parses that response. Report returns an error if the response is not that of an
	// engine.
	ProbePath() string
	Report(body []byte) (Report, error)
}

// RunCopier is a Codec for engines that copy the KV cache of a run on demand.
type RunCopier interface {
	// CopyRequest returns the request that makes the engine that runs a request copy the run's
	// KV cache to the engine at the address target. The run continues meanwhile.
	CopyRequest(id, target string) (path string, body []byte, err error)
	// ParseCopyReply parses the response and returns the handle of the copy.
	ParseCopyReply(body []byte) (handle string, err error)
	// DropPath returns the path that a DELETE request uses to free a copy.
	DropPath(handle string) (path string)
}

// RunStopper is implemented by a RunCopier whose engines stop a run on request.
type RunStopper interface {
	RunCopier
	// StopRequest returns the request that makes the engine that runs a request stop the run and copy
	// its KV cache to the engine at the address target. The response of the run ends incomplete.
	StopRequest(id, target string) (path string, body []byte, err error)
	// ParseStopReply parses the response. It returns the handle of the run's KV cache if the engine
	// keeps it; "" otherwise.
	ParseStopReply(status int, body []byte) (result takeover.StopResult, handle string)
}

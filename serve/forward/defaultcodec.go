package forward

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
)

// Headers of DefaultCodec. Outgoing overwrites what a caller sent as backend ID, timeout, account
// or priority.
const (
	headerRequestID   = "X-Request-Id"
	headerTimeout     = "X-Request-Timeout" // a duration such as 1.5s
	headerLastEventID = "Last-Event-Id"
	headerPromptParts = "X-Prompt-Parts" // as for ParsePromptParts
	headerBackendID   = "X-Backend-Id"
	headerAccount     = "X-Account"
	headerPriority    = "X-Priority"
	headerNotRun      = "X-Not-Run"
	headerRateLimit   = "X-Request-Limit" // requests per second from all daemons together
	headerBrittle     = "X-Brittle"       // rejections in a second above which the server fails
	headerLeaving     = "X-Backend-Leaving"
	headerBorn        = "X-Backend-Born" // as routing.Incarnation.StartedAtMS
)

// statusPath is the path at which an engine responds to probes.
const statusPath = "/v1/status"

// DefaultCodec is the Codec for deployments without a platform of their own. A caller states an
// ID and a timeout, may list the parts of a prompt, and uses a bearer token as the account key. A backend server may respond with
// 421 to a request that names another server, with X-Not-Run to one that it did not run, and
// states its rate limit with X-Request-Limit. One that takes no new requests sets X-Backend-Leaving.
// Responses carry no proof, so all count as authentic.
type DefaultCodec struct{}

// Call implements Codec.
func (DefaultCodec) Call(h http.Header) (Call, error) {
	c := Call{ID: h.Get(headerRequestID)}
	if text := h.Get(headerTimeout); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait <= 0 {
			return c, errors.Errorf("%s: %q is no duration above zero", headerTimeout, text)
		}
		c.Timeout = wait
	}
	if key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer "); ok {
		c.Key = strings.TrimSpace(key)
	}
	// An ID that is not a number is forwarded for the server to reject.
	if id, err := strconv.ParseInt(h.Get(headerLastEventID), 10, 64); err == nil {
		c.LastEventID = id
	}
	c.PromptParts, _ = ParsePromptParts(h.Get(headerPromptParts))
	return c, nil
}

// Outgoing implements Codec.
func (DefaultCodec) Outgoing(h http.Header, e UpstreamRequest) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	out.Set(headerBackendID, e.Server.ID)
	out.Set(headerTimeout, e.Timeout.String())
	out.Del(headerAccount)
	if e.Account != "" {
		out.Set(headerAccount, e.Account)
	}
	out.Set(headerPriority, strconv.Itoa(e.Priority))
	if e.LastEventID > 0 {
		out.Set(headerLastEventID, strconv.FormatInt(e.LastEventID, 10))
	}
	return out
}

// Reply implements Codec.
func (DefaultCodec) Reply(status int, h http.Header) Reply {
	return Reply{
		ID:          h.Get(headerRequestID),
		NotRun:      h.Get(headerNotRun) != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest,
		Authentic:   true,
		RateLimit:   h.Get(headerRateLimit),
		Brittle:     h.Get(headerBrittle),
		Leaving:     StatesTrue(h.Get(headerLeaving)),
		RetryAfter:  RetryAfterOf(status, h),
	}
}

// ProcessState implements Codec. An ID does not tell, because a server may restart under its own.
func (DefaultCodec) ProcessState(s routing.Server, status int, h http.Header) sent.ServerState {
	born, err := strconv.ParseInt(h.Get(headerBorn), 10, 64)
	switch {
	case status == http.StatusMisdirectedRequest:
		return sent.ServerExited
	case err != nil || born <= 0 || s.StartedAtMS <= 0:
		return sent.ServerUnknown
	case born == s.StartedAtMS:
		return sent.ServerRuns
	}
	return sent.ServerExited
}

// CachePath implements Codec. Engines of this codec do not list their cached prompts.
func (DefaultCodec) CachePath() string { return statusPath }

// Cache implements Codec.
func (DefaultCodec) Cache([]byte) (Cache, error) { return Cache{}, nil }

// ProbePath implements Codec.
func (DefaultCodec) ProbePath() string { return statusPath }

// engineStatus is the part of an engine's status that is used here.
type engineStatus struct {
	Born int64 `json:"born"` // as routing.Incarnation.StartedAtMS
}

// Report implements Codec. Any response shows that the engine is alive, even an empty one.
func (DefaultCodec) Report(body []byte) (Report, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return Report{}, nil
	}
	var s engineStatus
	if err := json.Unmarshal(body, &s); err != nil {
		return Report{}, errors.Wrap(err, "status")
	}
	if s.Born < 0 {
		return Report{}, errors.Errorf("status: born is %d", s.Born)
	}
	return Report{Born: s.Born}, nil
}

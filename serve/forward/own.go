package forward

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Headers of OwnCodec. Those that the daemon sets are taken from no caller.
const (
	headerRequestID   = "X-Request-Id"
	headerTimeout     = "X-Request-Timeout" // a duration such as 1.5s
	headerLastEventID = "Last-Event-Id"
	headerBackendID   = "X-Backend-Id"
	headerAccount     = "X-Account"
	headerPriority    = "X-Priority"
	headerNotRun      = "X-Not-Run"
	headerRateLimit   = "X-Request-Limit" // requests a second of all daemons together
)

// statusPath is where an engine says that it lives.
const statusPath = "/v1/status"

// DefaultCodec is how requests are marked where no platform says otherwise: an id and
// a timeout of the caller's, a bearer token as the account key. A backend server
// may refuse a request that names another server with 421, says with X-Not-Run
// that it did not run one, and with X-Request-Limit what it takes. Answers bear no proof, so each counts as proven.
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
	// An id that is no number is passed on for the server to judge.
	if id, err := strconv.ParseInt(h.Get(headerLastEventID), 10, 64); err == nil {
		c.LastEventID = id
	}
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
	}
}

// CachePath implements Codec. No engine of ours tells what prompts it holds.
func (DefaultCodec) CachePath() string { return statusPath }

// Cache implements Codec.
func (DefaultCodec) Cache([]byte) (Cache, error) { return Cache{}, nil }

// ProbePath implements Codec.
func (DefaultCodec) ProbePath() string { return statusPath }

// engineStatus is what an engine says of itself; the rest is not read here.
type engineStatus struct {
	Born int64 `json:"born"` // as routing.Life.Born
}

// Report implements Codec: any answer shows that an engine lives, an empty one too.
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

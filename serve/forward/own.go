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
	ownID       = "X-Request-Id"
	ownTimeout  = "X-Request-Timeout" // a duration such as 1.5s
	ownAfter    = "Last-Event-Id"
	ownServer   = "X-Backend-Id"
	ownAccount  = "X-Account"
	ownPriority = "X-Priority"
	ownNotRun   = "X-Not-Run"
	ownLimit    = "X-Request-Limit" // requests a second of all daemons together
)

// ownStatusPath is where an engine says that it lives.
const ownStatusPath = "/v1/status"

// OwnCodec is how requests are marked where no platform says otherwise: an id and
// a timeout of the caller's, a bearer token as the account key. A backend server
// may refuse a request that names another server with 421, says with X-Not-Run
// that it did not run one, and with X-Request-Limit what it takes. Answers bear no proof, so each counts as proven.
type OwnCodec struct{}

// Call implements Codec.
func (OwnCodec) Call(h http.Header) (Call, error) {
	c := Call{ID: h.Get(ownID)}
	if text := h.Get(ownTimeout); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait <= 0 {
			return c, errors.Errorf("%s: %q is no duration above zero", ownTimeout, text)
		}
		c.Wait = wait
	}
	if key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer "); ok {
		c.Key = strings.TrimSpace(key)
	}
	// An id that is no number is passed on for the server to judge.
	if id, err := strconv.ParseInt(h.Get(ownAfter), 10, 64); err == nil {
		c.After = id
	}
	return c, nil
}

// Outgoing implements Codec.
func (OwnCodec) Outgoing(h http.Header, e Errand) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	out.Set(ownServer, e.Server.ID)
	out.Set(ownTimeout, e.Left.String())
	out.Del(ownAccount)
	if e.Account != "" {
		out.Set(ownAccount, e.Account)
	}
	out.Set(ownPriority, strconv.Itoa(e.Priority))
	if e.After > 0 {
		out.Set(ownAfter, strconv.FormatInt(e.After, 10))
	}
	return out
}

// Reply implements Codec.
func (OwnCodec) Reply(status int, h http.Header) Reply {
	return Reply{
		ID:          h.Get(ownID),
		NotRun:      h.Get(ownNotRun) != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest,
		Proven:      true,
		Limit:       h.Get(ownLimit),
	}
}

// CachePath implements Codec. No engine of ours tells what prompts it holds.
func (OwnCodec) CachePath() string { return ownStatusPath }

// Cache implements Codec.
func (OwnCodec) Cache([]byte) (Cache, error) { return Cache{}, nil }

// Probe implements Codec.
func (OwnCodec) Probe() string { return ownStatusPath }

// ownStatus is what an engine says of itself; the rest is not read here.
type ownStatus struct {
	Born int64 `json:"born"` // as routing.Life.Born
}

// Report implements Codec: any answer shows that an engine lives, an empty one too.
func (OwnCodec) Report(body []byte) (Report, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return Report{}, nil
	}
	var s ownStatus
	if err := json.Unmarshal(body, &s); err != nil {
		return Report{}, errors.Wrap(err, "status")
	}
	if s.Born < 0 {
		return Report{}, errors.Errorf("status: born is %d", s.Born)
	}
	return Report{Born: s.Born}, nil
}

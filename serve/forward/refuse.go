package forward

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// statusOf maps a refusal to an HTTP status. A status that callers take as a promise that nothing
// ran is used only with verdict not_run.
func statusOf(e *verdict.Error) int {
	switch e.Code {
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeUnknownService:
		return http.StatusNotFound
	case verdict.CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case verdict.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case verdict.CodePoison: // 503 would invite the caller to return
		return http.StatusBadGateway
	}
	if e.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// refusal is the body of a response that the daemon itself gives.
type refusal struct {
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse writes an error response of the daemon and logs its reason. A response that has begun is
// aborted instead.
func (h *Handler) refuse(w http.ResponseWriter, in *inbound, err error) {
	if errors.Is(err, errTruncated) {
		h.metrics.countAnswer(in, statusTruncated, sourceDaemon)
		h.metrics.truncated.WithLabelValues(truncationCause(err)).Inc()
		h.opts.Log.Emit(event.AnswerTruncated, in.call.ID, in.call.PromptKey, in.routeName(), in.accountName(), in.configVersion, err, time.Since(in.arrived))
		panic(http.ErrAbortHandler) // closes the connection, so that the response does not look complete
	}
	e := verdict.FromError(err)
	body := refusalBody(e)
	setRefusalHeader(w.Header(), e)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(e))
	// An error here means that the caller disconnected.
	_, _ = w.Write(body)
	h.recordRefusal(in, e)
}

// RefuseUnread writes the refusal of a request whose header was not read to its end, after which the
// connection has to be closed.
func (h *Handler) RefuseUnread(w io.Writer, err error) {
	e := verdict.FromError(err)
	body := refusalBody(e)
	r := http.Response{StatusCode: statusOf(e), ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)), Close: true}
	setRefusalHeader(r.Header, e)
	_ = r.Write(w) // an error here means that the caller disconnected
	h.recordRefusal(&inbound{arrived: time.Now()}, e)
}

func refusalBody(e *verdict.Error) []byte {
	// A struct of strings is always encoded.
	body, _ := json.Marshal(refusal{Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Message})
	return body
}

func setRefusalHeader(header http.Header, e *verdict.Error) {
	header.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := math.Ceil(e.RetryAfter.Seconds()*100) / 100
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
}

func (h *Handler) recordRefusal(in *inbound, e *verdict.Error) {
	status := statusOf(e)
	h.metrics.countAnswer(in, status, sourceDaemon)
	h.opts.Log.Emit(event.ForwardRefused, in.call.ID, in.call.PromptKey, in.routeName(), in.accountName(), in.configVersion, in.configAge,
		status, e.Code, e.RetryAfter, e.Error(), time.Since(in.arrived))
}

func (in *inbound) routeName() string {
	if in.route == nil {
		return ""
	}
	return in.route.Name
}

func (in *inbound) accountName() string {
	if in.account == nil {
		return ""
	}
	return in.account.Name
}

// statusTruncated is the status under which responses truncated after their headers are counted.
const statusTruncated = 0

// errTruncated ends a response that has begun and cannot be completed.
var errTruncated = errors.New("forward: response truncated")

// truncatedError wraps the reason why a response that has begun cannot be completed.
type truncatedError struct{ cause error }

// Error implements error.
func (e truncatedError) Error() string { return e.cause.Error() + ": " + errTruncated.Error() }

// Is reports whether target is errTruncated.
func (e truncatedError) Is(target error) bool { return target == errTruncated }

// Unwrap returns the reason.
func (e truncatedError) Unwrap() error { return e.cause }

// Values of the label cause of truncated responses, beside the codes of verdict.Error.
const (
	causeDaemonExiting = "daemon_exiting"
	causeOther         = "other"
)

// truncationCause returns the value of the label cause for the error that truncated a response.
func truncationCause(err error) string {
	var refused *verdict.Error
	switch {
	case errors.Is(err, errDaemonExiting):
		return causeDaemonExiting
	case errors.As(err, &refused):
		return string(refused.Code)
	}
	return causeOther
}

package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"mallowwind.dev/decision/verdict"
)

// errorBody is the JSON body of an error response. It has the usual structure of the completions
// API, so that client libraries display it, with the verdict added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// errorType is the type of all errors; the code distinguishes them.
const errorType = "mallowwind_error"

func newErrorBody(e *verdict.Error) errorBody {
	return errorBody{Error: errorDetail{
		Message:      e.Message,
		Type:         errorType,
		Code:         string(e.Code),
		Verdict:      e.Verdict.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// statusByCode maps error codes to HTTP statuses. docs/errors.md lists them.
var statusByCode = map[verdict.Code]int{
	verdict.CodeBadRequest:            http.StatusBadRequest,
	verdict.CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	verdict.CodeHeaderTooLarge:        http.StatusRequestHeaderFieldsTooLarge,
	verdict.CodeUnauthorized:          http.StatusUnauthorized,
	verdict.CodeUnknownService:        http.StatusNotFound,
	verdict.CodeUnknownGeneration:     http.StatusNotFound,
	verdict.CodeKeyRequired:           http.StatusBadRequest,
	verdict.CodeKeyReused:             http.StatusUnprocessableEntity,
	verdict.CodeOverloaded:            http.StatusServiceUnavailable,
	verdict.CodeAccountLimit:          http.StatusTooManyRequests,
	verdict.CodeDeadlineExceeded:      http.StatusServiceUnavailable,
	verdict.CodeNoBackend:             http.StatusServiceUnavailable,
	verdict.CodeBackendFailed:         http.StatusBadGateway,
	verdict.CodeGenerationLost:        http.StatusBadGateway,
	verdict.CodeGenerationUnreachable: http.StatusServiceUnavailable,
	verdict.CodeShuttingDown:          http.StatusServiceUnavailable,
	verdict.CodeNoConfiguration:       http.StatusServiceUnavailable,
	verdict.CodeUnconfirmed:           http.StatusServiceUnavailable,
	verdict.CodeInvariantViolation:    http.StatusInternalServerError,
	verdict.CodeKeyUndecided:          http.StatusConflict,
	verdict.CodeKeyInvalid:            http.StatusBadRequest,
	verdict.CodeAnswerNotKept:         http.StatusGone,
	verdict.CodePoison:                http.StatusBadGateway,
}

// writeError writes an error response. It must not be called after the response has been started.
func writeError(w http.ResponseWriter, e *verdict.Error) {
	status, ok := statusByCode[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	h := w.Header()
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	writeJSON(w, status, newErrorBody(e))
}

// ceilSeconds rounds up to whole seconds, because a retry that comes too early is refused again.
func ceilSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: a write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

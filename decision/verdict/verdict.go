// Package verdict classifies refused and failed requests by whether the request may have run.
// Every error that reaches a caller carries a Verdict.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have had an effect at a backend server. The zero value is
// MayHaveRun, so that an error without an explicit verdict never promises that nothing
// happened.
type Verdict uint8

const (
	// MayHaveRun means that bytes of the request may have reached a backend server.
	MayHaveRun Verdict = iota
	// NotRun means that no copy of the request reached a backend server and none will.
	NotRun
	// Ran means that the request is known to have run.
	Ran
)

// String returns the wire form used in error bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Parse parses the wire form written by String.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict %q is none of not_run, may_have_run, ran", s)
}

// Code is a stable machine-readable reason of an Error.
type Code string

// The codes that callers may rely on. docs/errors.md explains each.
const (
	CodeBadRequest            Code = "bad_request"
	CodeBodyTooLarge          Code = "body_too_large"
	CodeHeaderTooLarge        Code = "header_too_large"
	CodeUnauthorized          Code = "unauthorized"
	CodeUnknownService        Code = "unknown_service"
	CodeUnknownGeneration     Code = "unknown_generation"
	CodeKeyRequired           Code = "idempotency_key_required"
	CodeKeyReused             Code = "idempotency_key_reused"
	CodeOverloaded            Code = "overloaded"
	CodeAccountLimit          Code = "account_limit"
	CodeDeadlineExceeded      Code = "deadline"
	CodeNoBackend             Code = "no_backend_server"
	CodeBackendFailed         Code = "backend_server_failed"
	CodeGenerationLost        Code = "generation_lost"
	CodeGenerationUnreachable Code = "generation_unreachable"
	CodeShuttingDown          Code = "shutting_down"
	CodeNoConfiguration       Code = "no_configuration"
	CodeUnconfirmed           Code = "configuration_unconfirmed"
	CodeInvariantViolation    Code = "invariant_violation"
	CodeKeyUndecided          Code = "idempotency_key_undecided"
	CodeKeyInvalid            Code = "idempotency_key_invalid"
	CodeAnswerNotKept         Code = "answer_not_kept"
	CodePoison                Code = "ends_backend_servers"
)

// Error is a failure with its verdict. RetryAfter is zero if waiting does not help.
type Error struct {
	Verdict    Verdict
	Code       Code
	Message    string
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error with a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the cause and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// FromError returns the Error in the chain of err. If there is none, it wraps err with
// MayHaveRun, because nothing is known about an unclassified failure.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, CodeBackendFailed, "the request failed").WithCause(err)
}

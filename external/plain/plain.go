// Package plain calls plain services: HTTP backend servers beside the model
// engines. Its errors state facts about what was sent, because some calls may
// not be repeated.
package plain

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrNotSent means that no byte of the request was written to the backend server.
	ErrNotSent = errors.New("plain: not sent")
	// ErrNoResponse means that bytes were written and no whole answer came back.
	ErrNoResponse = errors.New("plain: no answer")
)

// Call is one request, its body in memory.
type Call struct {
	Method string
	Path   string // as the backend server sees it, with query
	Header http.Header
	Body   []byte
}

// Response is one whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Caller sends calls. It is safe for concurrent use. It never retries, and it
// never reuses a pooled connection for a call after that connection failed.
type Caller interface {
	// Do sends call to the backend server at address and reads the whole answer.
	// Errors wrap ErrNotSent or ErrNoAnswer.
	Do(ctx context.Context, address string, call Call) (Response, error)
}

// Package plain calls plain services: HTTP backend servers that are not model engines. Its errors
// tell whether any byte of the request was written, because some calls must not be retried unless
// they certainly did not run.
package plain

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// Errors that implementations of Caller return, possibly wrapped.
var (
	// ErrNotSent means that no byte of the request was written to the backend server.
	ErrNotSent = errors.New("plain: not sent")
	// ErrNoResponse means that bytes may have been written and no complete response was received.
	ErrNoResponse = errors.New("plain: no response")
)

// Call is one request with its body in memory.
type Call struct {
	Method string
	Path   string // path and query as sent to the backend server
	Header http.Header
	Body   []byte
}

// Response is one complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Caller sends calls. It is safe for concurrent use. It never retries a call, and it never reuses a
// pooled connection that has failed.
type Caller interface {
	// Do sends call to the backend server at address and reads the complete response. Errors wrap
	// ErrNotSent or ErrNoResponse.
	Do(ctx context.Context, address string, call Call) (Response, error)
}

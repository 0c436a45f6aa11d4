package sent

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrServerExited means that a response ended with its connection and its server had exited then.
var ErrServerExited = errors.New("sent: the response ended with its connection, and the server has exited")

// ErrEndUnknown means that a response ended with its connection and nothing tells whether its server had
// exited then.
var ErrEndUnknown = errors.New("sent: the response ended with its connection, and nothing tells whether the server runs")

// IsCloseDelimited reports whether only the end of the connection shows where the body of a response
// ends (RFC 9112, section 6.3).
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// CheckEnd makes the body of a close-delimited response end with ErrServerExited if the server process
// that sent it has exited at its end, and with ErrEndUnknown if that cannot be told, as state reports
// then. Other responses are left as they are.
//
// It guards against a server that dies during its response: the connection then ends as it does
// after a complete one, and part of an answer would be taken for all of it.
func CheckEnd(resp *http.Response, state func() ServerState) {
	if IsCloseDelimited(resp) {
		resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, state: state}
	}
}

type closeDelimitedBody struct {
	io.ReadCloser
	state func() ServerState
	err   error // why the body ended; nil before that
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.end()
	}
	b.err = err
	return n, err
}

// end returns the error with which the body ends; io.EOF if it is complete.
func (b *closeDelimitedBody) end() error {
	switch b.state() {
	case ServerExited:
		return ErrServerExited
	case ServerUnknown:
		return ErrEndUnknown
	}
	return io.EOF
}

// ServerState is the state of the server process at an address.
type ServerState uint8

// The states.
const (
	ServerUnknown ServerState = iota // it did not answer in time
	ServerRuns                       // a process accepts connections
	ServerExited                     // none does, or another one is known to
)

// String returns the name used in logs.
func (s ServerState) String() string { return [...]string{"silent", "lives", "ended"}[s] }

// ProbeServer connects to an address and closes the connection. It does not tell a process from another
// one that has taken its port.
func ProbeServer(ctx context.Context, dial DialFunc, address string) ServerState {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was written
		return ServerRuns
	case IsTimeout(err) || ctx.Err() != nil:
		return ServerUnknown
	}
	return ServerExited
}

package forward

import (
	"io"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
)

// errServerExited means that a response ended with its connection and its server had exited then.
var errServerExited = errors.New("forward: the response ended with its connection, and the server has exited")

// errNoEvents means that a stream ended with its connection before its first event.
var errNoEvents = errors.New("forward: the stream ended with its connection before its first event")

// closeDelimitedBody is the body of a close-delimited response.
//
// It guards against a server that dies during its response: the connection then ends as it does
// after a complete one, and part of an answer would be taken for all of it. At the end of the
// connection the server is checked, and a body whose server has exited ends with errServerExited.
type closeDelimitedBody struct {
	io.ReadCloser
	h      *Handler
	server routing.Server
	err    error // why the body ended; nil before that
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.h.processStateAt(b.server.Address) == processExited {
		err = errServerExited
	}
	b.err = err
	return n, err
}

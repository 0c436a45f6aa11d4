package sent

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrTooLarge means that a response has a longer body than its reader takes.
var ErrTooLarge = errors.New("sent: the response is too large")

// LimitBody makes the body of a response end with ErrTooLarge after maxBytes. It returns ErrTooLarge at
// once if the response states a greater length.
//
// It guards against a server whose response never ends: it would be read, or passed on, until the
// request times out.
func LimitBody(resp *http.Response, maxBytes int64) error {
	if resp.ContentLength > maxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes, at most %d are read", resp.ContentLength, maxBytes)
	}
	if resp.Body != http.NoBody {
		resp.Body = limitedBody{http.MaxBytesReader(nil, resp.Body, maxBytes)}
	}
	return nil
}

type limitedBody struct {
	io.ReadCloser
}

// Read implements io.Reader.
func (b limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		err = errors.Wrapf(ErrTooLarge, "at most %d bytes are read", exceeded.Limit)
	}
	return n, err
}

package sent

import (
	"bytes"
	"io"
	"net/http"
)

// nonRewindableBody hides the kind of its reader, so that net/http cannot rewind it.
type nonRewindableBody struct{ r io.Reader }

func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b nonRewindableBody) Close() error               { return nil }

// SetBody gives req a body that net/http cannot send twice. The transport
// repeats by itself a request on a reused connection that failed early, when
// the body can be rewound and the method is safe or the request carries an
// Idempotency-Key: a call that may not be repeated could run twice. With a body
// that is present and has no GetBody it never does.
func SetBody(req *http.Request, body []byte) {
	req.Body = nonRewindableBody{bytes.NewReader(body)}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.ContentLength = -1
	}
}

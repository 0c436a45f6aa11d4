package sent

import (
	"bytes"
	"io"
	"net/http"
)

// nonRewindableBody hides the concrete type of its reader, so that net/http cannot rewind it.
type nonRewindableBody struct{ r io.Reader }

func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }
func (b nonRewindableBody) Close() error               { return nil }

// SetBody gives req a body that net/http cannot send twice. http.Transport retries a request on its
// own if it failed early on a reused connection, the body can be rewound, and the method is
// idempotent or the request carries an Idempotency-Key. A call that must not be retried could then
// run twice. The transport never retries a request that has a body but no GetBody, so an empty body
// is sent with an unknown length.
func SetBody(req *http.Request, body []byte) {
	req.Body = nonRewindableBody{bytes.NewReader(body)}
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.ContentLength = -1
	}
}

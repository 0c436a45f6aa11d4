package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/verdict"
)

// firstBodyBytes is the first buffer of a body that does not state its length.
const firstBodyBytes = 8 << 10

// readBody reads the whole body, so that the request can be retried. limit is the number of bytes that
// the configuration allows; 0 if it sets no limit.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, in *inbound, limit int64) error {
	if r.ContentLength == 0 {
		return nil
	}
	read := func(body io.Reader) error { return h.bufferBody(in, body, r.ContentLength, limit) }
	if limit > 0 && r.ContentLength > limit {
		read = discard
	}
	err := readByDeadline(w, in.deadline, limitBody(w, r, limit), read)
	var large *http.MaxBytesError
	var refused *verdict.Error
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &large):
		return verdict.New(verdict.NotRun, verdict.CodeBodyTooLarge, "more than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the body did not arrive in time")
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body is incomplete").WithCause(err)
	}
	return nil
}

// limitBody returns the body, which fails with http.MaxBytesError after limit bytes.
func limitBody(w http.ResponseWriter, r *http.Request, limit int64) io.Reader {
	if limit <= 0 {
		return r.Body
	}
	return http.MaxBytesReader(w, r.Body, limit)
}

// readByDeadline reads the body until a deadline, so that a slow sender cannot hold a connection
// and a partial body indefinitely. After a complete body the read deadline is cleared, since the
// HTTP server keeps reading from the connection to notice that the caller disconnects. After an
// incomplete one it stays set, or the HTTP server would wait for the rest of the body.
func readByDeadline(w http.ResponseWriter, deadline time.Time, body io.Reader, read func(io.Reader) error) error {
	c := http.NewResponseController(w)
	// A connection that does not support deadlines is read without one.
	_ = c.SetReadDeadline(deadline)
	err := read(body)
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return err
}

// bufferBody reads the body into memory that it reserves before: at once if the length is stated, or else
// in steps. length is -1 if it is not stated.
func (h *Handler) bufferBody(in *inbound, body io.Reader, length, limit int64) error {
	in.bodyMemory = h.memory.newReservation(in.accountName())
	if length < 0 {
		length = firstBodyBytes
	}
	if err := h.memoryError(in, in.bodyMemory.grow(length)); err != nil {
		return err
	}
	in.body = make([]byte, 0, length)
	var probe [1]byte // finds the end of a body that fills the buffer
	for {
		unused := in.body[len(in.body):cap(in.body)]
		if len(unused) == 0 {
			unused = probe[:]
		}
		n, err := body.Read(unused)
		if n > 0 && len(in.body) == cap(in.body) {
			if err := h.growBody(in, limit); err != nil {
				return err
			}
			in.body = append(in.body, probe[0])
		} else {
			in.body = in.body[:len(in.body)+n]
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growBody doubles the buffer of the body, up to limit.
func (h *Handler) growBody(in *inbound, limit int64) error {
	size := 2 * int64(cap(in.body))
	if limit > 0 {
		size = min(size, limit)
	}
	if err := h.memoryError(in, in.bodyMemory.grow(size-int64(cap(in.body)))); err != nil {
		return err
	}
	in.body = append(make([]byte, 0, size), in.body...)
	return nil
}

// discard reads all and keeps nothing.
func discard(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	return err
}

// refuseUnread refuses a request whose body does not fit into memory. The response is sent at once. Then the
// rest of the body is read and discarded, since many callers read no response before they have sent all,
// and a connection that is closed with unread bytes is reset.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, in *inbound, err error) {
	c := http.NewResponseController(w)
	// Without the support for both, the HTTP server sends the response when the handler returns.
	_ = c.EnableFullDuplex()
	in.releaseBody()
	h.refuse(w, in, err)
	_ = c.Flush()
	if r.ContentLength == 0 || r.Header.Get("Expect") != "" { // a caller that asks first sends no body
		return
	}
	limit := int64(0)
	if config := h.opts.Feed.View().Config; config != nil {
		limit = config.Limits.BodyBytes
	}
	// An error closes the connection.
	_ = readByDeadline(w, in.deadline, limitBody(w, r, limit), discard)
}

package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/sent"
)

// bufferedResponseBytes is how much of a response is buffered before any of it is forwarded,
// so that a response that breaks off within that size can be retried.
const bufferedResponseBytes = 256 << 10

// maxResponseBytes bounds the body of a response, also that of a stream. It is many times the longest
// generation.
const maxResponseBytes = 16 << 20

// firstResponseBytes is the first buffer of a response that does not state its length.
const firstResponseBytes = 4 << 10

// readResponse reads a response to its end, or its first bufferedResponseBytes if it is longer, or less
// if there is no memory for that. What the response holds is added to the reservation of its request.
func readResponse(resp *http.Response, memory *reservation) ([]byte, io.ReadCloser, error) {
	size := int64(firstResponseBytes)
	// One byte more than the stated length leaves room to find the end.
	if stated := min(resp.ContentLength+1, bufferedResponseBytes); stated > size && memory.tryGrow(stated-size) {
		size = stated
	}
	buf := make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			resp.Body.Close()
			if err == io.EOF {
				err = nil
			}
			return buf, nil, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		larger := min(2*size, bufferedResponseBytes)
		if larger == size || !memory.tryGrow(larger-size) {
			return buf, resp.Body, nil
		}
		size, buf = larger, append(make([]byte, 0, larger), buf...)
	}
}

// notRunStatuses are the statuses that are not forwarded from a server: callers take each as a
// promise that the request did not run, which a server makes only by stating it explicitly.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// forwardResponse writes a server's response to the caller.
func (h *Handler) forwardResponse(ctx context.Context, w http.ResponseWriter, in *inbound, o *outcome) error {
	if notRunStatuses[o.status] {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the backend server answered %d and may have run the request", o.status)
	}
	defer h.metrics.countAnswer(in, o.status, sourceServer)
	copyHeader(w.Header(), o.header)
	if o.bodyRest == nil && len(o.body) > 0 {
		w.Header()["Content-Length"] = []string{strconv.Itoa(len(o.body))}
	} else if length := o.header["Content-Length"]; length != nil {
		w.Header()["Content-Length"] = length // also of a response to HEAD
	}
	w.WriteHeader(o.status)
	if _, err := w.Write(o.body); err != nil {
		return truncatedError{err}
	}
	if o.bodyRest == nil {
		return nil
	}
	defer o.bodyRest.Close()
	// The buffer is reserved already; that of the HTTP server would not be.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, o.bodyRest, o.body[:cap(o.body)])
	if errors.Is(err, sent.ErrTooLarge) {
		h.markSuspect(ctx, in, o.choice, err)
	}
	if err != nil {
		return truncatedError{err}
	}
	return nil
}

// copyHeader copies the end-to-end headers of a server's response to the caller's, except for
// Content-Length.
func copyHeader(to, from http.Header) {
	for name, values := range endToEndHeaders(from) {
		if name != "Content-Length" {
			to[name] = values
		}
	}
}

package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
)

// dialTimeout is many times a round trip between zones (2 ms) and below the
// second after which a lost SYN is sent again: another server is tried instead.
const dialTimeout = 250 * time.Millisecond

// maxEngineReplyBytes bounds what one engine tells of itself, in bytes.
const maxEngineReplyBytes = 1 << 20

// errNotSent means that no byte of the request left: it has not run.
var errNotSent = errors.New("forward: not sent")

// notSentError is the reason why no byte of a request left.
type notSentError struct{ cause error }

// Error implements error.
func (e notSentError) Error() string { return e.cause.Error() + ": " + errNotSent.Error() }

// Is makes it errNotSent.
func (e notSentError) Is(target error) bool { return target == errNotSent }

// Unwrap returns the reason.
func (e notSentError) Unwrap() error { return e.cause }

// isTimeout reports whether nothing came back in time. Any other error shows that the way to
// the server works.
func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}

// newTransport returns a transport that uses each connection once. A kept
// connection may have gone silent, may be closed by the server just as a
// request is sent, and may carry a late answer to the request before; each
// would be taken for the fate of the next request. A new connection costs one
// round trip, and http.Transport repeats nothing of its own accord on it.
func newTransport(dial sent.DialFunc) *http.Transport {
	limited := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, notSentError{err}
		}
		return conn, nil
	}
	return sent.NewTransportWith(limited, true)
}

// inbound is a caller's request, read whole.
type inbound struct {
	method string
	host   string
	target string // path and query as the caller wrote them
	header http.Header
	body   []byte
	call   Call
	route  *routing.Route
	// account is the caller's; nil on public routes.
	account *routing.Account
	// configVersion of the configuration by which it is served, and its age on arrival.
	configVersion int64
	configAge     time.Duration
	arrived       time.Time
	// digests name the request in all its attempts, the most exact first; none until its body is
	// read.
	digests  []string
	deadline time.Time // when the caller or the route gives up
}

// priority is the account's, or else the route's; 0 is the most urgent.
func (in *inbound) priority() int {
	if in.account != nil && in.account.Priority >= 0 {
		return in.account.Priority
	}
	return in.route.Priority
}

// outgoing builds the request to a server.
func (in *inbound) outgoing(ctx context.Context, codec Codec, e UpstreamRequest) *http.Request {
	req := &http.Request{
		Method: in.method, Host: in.host, URL: targetURL(e.Server.Address, in.target),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: codec.Outgoing(in.header, e),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // keeps the library from adding its own
	}
	if len(in.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(in.body))
		req.ContentLength = int64(len(in.body))
	}
	return req.WithContext(ctx)
}

// targetURL keeps path and query byte by byte. An opaque URL does so but for a
// path that begins with two slashes, which would read as a host.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	path, query, asked := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: path, RawQuery: query, ForceQuery: asked}
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path = decoded
	}
	return u
}

// send makes one exchange up to the answer's headers.
func (h *Handler) send(ctx context.Context, in *inbound, e UpstreamRequest) (*http.Response, Reply, error) {
	resp, err := h.transport.RoundTrip(in.outgoing(ctx, h.opts.Codec, e))
	if err != nil {
		return nil, Reply{}, err
	}
	reply := h.opts.Codec.Reply(resp.StatusCode, resp.Header)
	if reply.ID != "" && reply.ID != in.call.ID {
		resp.Body.Close()
		return nil, Reply{}, errors.Errorf("answer to another request, %s", reply.ID)
	}
	return resp, reply, nil
}

// getFromServer makes a call that runs nothing at a server and reads its whole answer. Beside an
// error stands what had arrived of it.
func (h *Handler) getFromServer(ctx context.Context, s routing.Server, path string) ([]byte, error) {
	return h.callServer(ctx, http.MethodGet, s, path, nil)
}

// callServer is ask with another method and a body.
func (h *Handler) callServer(ctx context.Context, method string, s routing.Server, path string, body []byte) ([]byte, error) {
	return h.callServerUpTo(ctx, maxEngineReplyBytes, method, s, path, body)
}

// callServerUpTo is command, and reads no more than so many bytes of the answer.
func (h *Handler) callServerUpTo(ctx context.Context, most int64, method string, s routing.Server, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := h.transport.RoundTrip(req)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, most))
	if err != nil {
		return answer, errors.Wrap(err, path)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return answer, nil
}

// fetchReport asks whatever answers at the address of an engine for its report.
func (h *Handler) fetchReport(ctx context.Context, s routing.Server, limit time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	body, err := h.getFromServer(ctx, s, h.opts.Codec.ProbePath())
	if err != nil {
		return Report{}, err
	}
	report, err := h.opts.Codec.Report(body)
	if err != nil {
		h.recordUnreadable(s, err)
	}
	return report, err
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of h without what concerns one connection only.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

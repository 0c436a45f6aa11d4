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

// maxAsked bounds what one engine tells of itself, in bytes.
const maxAsked = 1 << 20

// errNotSent means that no byte of the request left: it has not run.
var errNotSent = errors.New("forward: not sent")

// notSent is the reason why no byte of a request left.
type notSent struct{ cause error }

// Error implements error.
func (e notSent) Error() string { return e.cause.Error() + ": " + errNotSent.Error() }

// Is makes it errNotSent.
func (e notSent) Is(target error) bool { return target == errNotSent }

// Unwrap returns the reason.
func (e notSent) Unwrap() error { return e.cause }

// timedOut reports whether nothing came back in time. Any other error shows that the way to
// the server works.
func timedOut(err error) bool {
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
			return nil, notSent{err}
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
	// version of the configuration by which it is served, and its age on arrival.
	version int64
	age     time.Duration
	arrived time.Time
	// digests name the request in all its attempts, the most exact first; none until its body is
	// read.
	digests []string
	until   time.Time // when the caller or the route gives up
}

// priority is the account's, or else the route's; 0 is the most urgent.
func (in *inbound) priority() int {
	if in.account != nil && in.account.Priority >= 0 {
		return in.account.Priority
	}
	return in.route.Priority
}

// outgoing builds the request to a server.
func (in *inbound) outgoing(ctx context.Context, codec Codec, e Errand) *http.Request {
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
func (h *Handler) send(ctx context.Context, in *inbound, e Errand) (*http.Response, Reply, error) {
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

// ask makes a call that runs nothing at a server and reads its whole answer. Beside an
// error stands what had arrived of it.
func (h *Handler) ask(ctx context.Context, s routing.Server, path string) ([]byte, error) {
	return h.command(ctx, http.MethodGet, s, path, nil)
}

// command is ask with another method and a body.
func (h *Handler) command(ctx context.Context, method string, s routing.Server, path string, body []byte) ([]byte, error) {
	return h.commandUpTo(ctx, maxAsked, method, s, path, body)
}

// commandUpTo is command, and reads no more than so many bytes of the answer.
func (h *Handler) commandUpTo(ctx context.Context, most int64, method string, s routing.Server, path string, body []byte) ([]byte, error) {
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

// report asks whatever answers at the address of an engine for its report.
func (h *Handler) report(ctx context.Context, s routing.Server, limit time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	body, err := h.ask(ctx, s, h.opts.Codec.Probe())
	if err != nil {
		return Report{}, err
	}
	report, err := h.opts.Codec.Report(body)
	if err != nil {
		h.recordUnreadable(s, err)
	}
	return report, err
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without what concerns one connection only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

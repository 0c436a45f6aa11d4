package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/serve/reach"
)

// dialTimeout bounds the time to connect. It is many times a round trip between zones (2 ms), and
// less than the second after which a lost SYN is retransmitted: another server is tried instead.
const dialTimeout = 250 * time.Millisecond

// maxEngineReplyBytes bounds the response of an engine to a probe or a command. A report takes a few
// tens of bytes for each request that the engine runs.
const maxEngineReplyBytes = 64 << 10

// errNotSent means that no byte of the request was sent, so it has not run.
var errNotSent = errors.New("forward: request not sent")

// errServerPaused means that a server asked for a pause after it was chosen.
var errServerPaused = errors.New("forward: the server asked for a pause")

// notSentError wraps the reason why no byte of a request was sent.
type notSentError struct{ cause error }

// Error implements error.
func (e notSentError) Error() string { return e.cause.Error() + ": " + errNotSent.Error() }

// Is reports whether target is errNotSent.
func (e notSentError) Is(target error) bool { return target == errNotSent }

// Unwrap returns the reason.
func (e notSentError) Unwrap() error { return e.cause }

// newTransport returns a transport that uses each connection once. A reused connection may be
// dead without a reset, may be closed by the server just as a request is sent, or may carry a late
// response to the previous request; each would be attributed to the next request. A new connection
// costs one round trip, and http.Transport does not retry on it by itself.
func newTransport(dial sent.DialFunc) *sent.Transport {
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

// inbound is a caller's request with its complete body.
type inbound struct {
	method string
	host   string
	target string // path and query exactly as the caller sent them
	header http.Header
	body   []byte
	// bodyMemory is reserved for body, and overhead for all else; nil if there is none.
	bodyMemory, overhead *reservation
	isUnread             bool // memory was refused before the body was read to its end
	call                 Call
	route                *routing.Route
	// account is the caller's; nil on public routes.
	account *routing.Account
	// configVersion is the version of the configuration that applies to the request, and
	// configAge its age when the request arrived.
	configVersion int64
	configAge     time.Duration
	arrived       time.Time
	// digests identify the request across the caller's attempts, the most specific first. They
	// are empty until the body is read.
	digests  []string
	trial    []string  // digests of the refusals that the request tests; empty for none
	deadline time.Time // by the timeout of the caller or of the route
}

// outgoing builds the request to a server.
func (in *inbound) outgoing(ctx context.Context, codec Codec, e UpstreamRequest) *http.Request {
	req := &http.Request{
		Method: in.method, Host: in.host, URL: targetURL(e.Server.Address, in.target),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: codec.Outgoing(in.header, e),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if len(in.body) > 0 {
		req.Body = in.requestBody()
		req.ContentLength = int64(len(in.body))
	}
	return req.WithContext(ctx)
}

// targetURL returns a URL that preserves path and query byte by byte. An opaque URL does so except
// for a path that begins with two slashes, which would be parsed as a host.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: path, RawQuery: query, ForceQuery: hasQuery}
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path = decoded
	}
	return u
}

// send sends the request to a server and returns the response up to its headers.
func (h *Handler) send(ctx context.Context, in *inbound, e UpstreamRequest) (*http.Response, Reply, error) {
	sentAt := time.Now()
	if h.limits.isPaused(e.Server) {
		return nil, Reply{}, notSentError{errServerPaused}
	}
	connected := reach.WithRequest(ctx, reach.Request{ID: in.call.ID, Stream: in.route.Kind == routing.Stream})
	resp, err := h.transport.RoundTrip(in.outgoing(connected, h.opts.Codec, e))
	if err != nil {
		return nil, Reply{}, err
	}
	reply := h.opts.Codec.Reply(resp.StatusCode, resp.Header)
	if reply.ID != "" && reply.ID != in.call.ID {
		resp.Body.Close()
		return nil, Reply{}, errors.Errorf("the response belongs to another request, %s", reply.ID)
	}
	h.observeReply(e.Server, sentAt, reply)
	if reply.NotRun { // its body is not used
		resp.Body.Close()
		resp.Body = http.NoBody
		return resp, reply, nil
	}
	sent.CheckEnd(resp, func() sent.ServerState { return h.awaitProcessState(ctx, e.Server, sentAt) })
	if err := sent.LimitBody(resp, maxResponseBytes); err != nil {
		resp.Body.Close()
		return nil, Reply{}, err
	}
	return resp, reply, nil
}

// observeReply records which further requests a server states that it takes, in its response to a
// request sent at the given time. A response of another server at its address says nothing of it.
func (h *Handler) observeReply(s routing.Server, sentAt time.Time, reply Reply) {
	if reply.Misdirected {
		return
	}
	h.limits.observeReply(s, sentAt, reply)
	h.observeBrittle(s, sentAt, reply)
	if reply.Leaving {
		h.recordLeaving(s)
	}
}

// getFromServer sends a GET request of the daemon itself to a server and reads the whole response.
// With an error it returns the part of the body that arrived.
func (h *Handler) getFromServer(ctx context.Context, s routing.Server, path string) ([]byte, error) {
	return h.callServer(ctx, http.MethodGet, s, path, nil)
}

// callServer is getFromServer with a method and a body.
func (h *Handler) callServer(ctx context.Context, method string, s routing.Server, path string, body []byte) ([]byte, error) {
	return h.callServerUpTo(ctx, maxEngineReplyBytes, method, s, path, body)
}

// callServerUpTo is callServer with another limit of the response; a longer one is sent.ErrTooLarge.
func (h *Handler) callServerUpTo(ctx context.Context, limitBytes int64, method string, s routing.Server, path string, body []byte) ([]byte, error) {
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
	if h.opts.Codec.Reply(resp.StatusCode, resp.Header).Leaving {
		h.recordLeaving(s)
	}
	if err := sent.LimitBody(resp, limitBytes); err != nil {
		return nil, errors.Wrap(err, path)
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, errors.Wrap(err, path)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, statusError{path: path, status: resp.StatusCode}
	}
	return answer, nil
}

// statusError means that a server answered a request of the daemon itself with another status than 200.
type statusError struct {
	path   string
	status int
}

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("%s: status %d", e.path, e.status) }

// fetchReport requests the report of whatever engine responds at the address of s.
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

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
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

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
)

// dialTimeout is many times a round trip between zones (2 ms) and below the
// second after which a lost SYN is sent again: another server is tried instead.
const dialTimeout = 250 * time.Millisecond

// errNotSent means that no byte of the request left: it has not run.
var errNotSent = errors.New("forward: not sent")

// DialFunc opens a connection to a server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newTransport returns a transport that uses each connection once. A kept
// connection may have gone silent, may be closed by the server just as a
// request is sent, and may carry a late answer to the request before; each
// would be taken for the fate of the next request. A new connection costs one
// round trip, and http.Transport repeats nothing of its own accord on it.
func newTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		ReadBufferSize:     4 << 10,
		WriteBufferSize:    4 << 10,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, errors.Wrapf(errNotSent, "%v", err)
			}
			return conn, nil
		},
	}
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

// probe asks an engine for a sign of life.
func (h *Handler) probe(ctx context.Context, s routing.Server, limit time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+h.opts.Codec.Probe(), nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "probe")
	}
	resp, err := h.transport.RoundTrip(req)
	if err != nil {
		return Report{}, errors.Wrap(err, "probe")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCacheAnswer))
	if err != nil {
		return Report{}, errors.Wrap(err, "probe")
	}
	report, ok := h.opts.Codec.Report(body)
	if resp.StatusCode != http.StatusOK || !ok {
		return Report{}, errors.Errorf("probe: status %d is no engine's answer", resp.StatusCode)
	}
	return report, nil
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

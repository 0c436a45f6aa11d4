package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

// Paths of the HTTP API.
const (
	PathCompletions = "/v1/completions"
	PathGenerations = "/mallow/generations/"
	PathStatus      = "/mallow/status"
	PathOrders      = "/mallow/orders"
	PathCacheEvents = "/mallow/cache-events"
)

// Client accesses one engine over HTTP. It never retries a request.
type Client struct {
	base    string
	calls   *http.Client
	streams *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at base (http://ip:port). If hc is nil, the client uses
// transports of its own: pooled connections for short calls and a new connection for each stream. Any
// other client needs a transport that counts the bytes written, from package sent; otherwise no
// failure after a connection was made is reported as ErrNotSent. Do not share hc between engines,
// because a failure closes all its idle connections.
func NewClient(base string, hc *http.Client) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), calls: hc, streams: hc}
	if hc == nil {
		c.calls = &http.Client{Transport: NewTransport(false), CheckRedirect: sent.NoRedirect}
		c.streams = &http.Client{Transport: NewTransport(true), CheckRedirect: sent.NoRedirect}
	}
	return c
}

// NewTransport returns the default transport. If fresh is set, each request uses its own connection.
func NewTransport(fresh bool) *sent.Transport { return sent.NewTransport(fresh) }

// CloseIdle closes the idle connections, for use when the engine is no longer needed.
func (c *Client) CloseIdle() { c.calls.CloseIdleConnections() }

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, req Request) (Stream, error) {
	body, err := json.Marshal(NewCompletionRequest(req))
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "encode: %v", err)
	}
	return c.open(ctx, http.MethodPost, PathCompletions, body, req.Attempt, len(req.Prefix))
}

// Attach implements Engine.
func (c *Client) Attach(ctx context.Context, generation string, attempt uint64, from int) (Stream, error) {
	q := url.Values{"attempt": {formatUint(attempt)}, "from": {strconv.Itoa(from)}}
	path := PathGenerations + url.PathEscape(generation) + "?" + q.Encode()
	return c.open(ctx, http.MethodGet, path, nil, attempt, from)
}

// open starts a stream. The connection stays open until the stream ends or is closed; ctx bounds only
// the wait for the response headers.
func (c *Client) open(ctx context.Context, method, path string, body []byte, attempt uint64, from int) (Stream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	resp, err := c.do(streamCtx, c.streams, method, path, body)
	if !stop() && err == nil {
		_ = resp.Body.Close()
		err = errors.Wrapf(ErrBroken, "%v", context.Cause(ctx))
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel, attempt, from), nil
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, generation string, attempt uint64) error {
	path := PathGenerations + url.PathEscape(generation) + "/cancel?attempt=" + formatUint(attempt)
	return c.call(ctx, http.MethodPost, path, nil, nil)
}

// Status implements Engine.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &s)
	return s, err
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.call(ctx, http.MethodPost, PathOrders, o, nil)
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, seq uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.call(ctx, http.MethodGet, PathCacheEvents+"?seq="+formatUint(seq), nil, &events)
	return events, err
}

// call makes one non-streaming call with JSON bodies; in and out may be nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrapf(ErrNotSent, "encode: %v", err)
		}
	}
	resp, err := c.do(ctx, c.calls, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBodyBytes))
	if err != nil {
		c.calls.CloseIdleConnections()
		return errors.Wrapf(ErrBroken, "read response: %v", err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Wrapf(ErrBroken, "decode response: %v", err)
	}
	return nil
}

// do sends one request and maps every failure to one of the package's errors.
func (c *Client) do(ctx context.Context, hc *http.Client, method, path string, body []byte) (*http.Response, error) {
	ctx, probe := sent.WithProbe(ctx)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	sent.SetBody(req, body)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := hc.Do(req)
	if err != nil {
		return nil, c.transportError(err, probe)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// transportError maps an error of the transport to ErrNotSent or ErrBroken. It closes the idle
// connections because they may have been reset or stalled by the same fault.
func (c *Client) transportError(err error, probe *sent.Probe) error {
	c.calls.CloseIdleConnections()
	if probe.NothingSent() {
		return errors.Wrapf(ErrNotSent, "%v", err)
	}
	return errors.Wrapf(ErrBroken, "%v", err)
}

func statusError(resp *http.Response) error {
	detail, ok := decodeRefusal(resp)
	if !ok {
		return errors.Wrapf(ErrBroken, "unexpected status %s", resp.Status)
	}
	switch detail.Code {
	case CodeUnknownGeneration:
		return errors.Wrap(ErrUnknownGeneration, detail.Message)
	case CodeStaleFence:
		return errors.Wrap(ErrStaleFence, detail.Message)
	case CodeModelNotReady:
		return errors.Wrap(ErrNotReady, detail.Message)
	default:
		return errors.Wrapf(ErrRefused, "%s: %s", detail.Code, detail.Message)
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

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

// Paths of the wire form.
const (
	PathCompletions = "/v1/completions"
	PathGenerations = "/mallow/generations/"
	PathStatus      = "/mallow/status"
	PathOrders      = "/mallow/orders"
	PathCacheEvents = "/mallow/cache-events"
)

// Client is the wire adapter to one engine. It never repeats a request.
type Client struct {
	base    string
	calls   *http.Client
	streams *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns the adapter to the engine at base (http://ip:port). With a
// nil client it makes its own transports: pooled for short calls, a fresh
// connection for each stream. A client given must count what it writes (its
// transport from sent.NewTransport); otherwise no failure after a connection
// was found is ever reported as ErrNotSent. It should not be shared between
// engines, because a failure drops all its idle connections.
func NewClient(base string, hc *http.Client) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), calls: hc, streams: hc}
	if hc == nil {
		c.calls = &http.Client{Transport: NewTransport(false), CheckRedirect: sent.NoRedirect}
		c.streams = &http.Client{Transport: NewTransport(true), CheckRedirect: sent.NoRedirect}
	}
	return c
}

// NewTransport returns the default transport; fresh gives each request its own connection.
func NewTransport(fresh bool) *http.Transport { return sent.NewTransport(fresh) }

// CloseIdle closes idle connections, for when the engine is no longer used.
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

// open starts a stream. The connection lives until Close, not until ctx ends:
// ctx bounds only the wait for the engine's first answer.
func (c *Client) open(ctx context.Context, method, path string, body []byte, attempt uint64, from int) (Stream, error) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	unlink := context.AfterFunc(ctx, end)
	resp, err := c.do(life, c.streams, method, path, body)
	if !unlink() && err == nil {
		_ = resp.Body.Close()
		err = errors.Wrapf(ErrBroken, "%v", context.Cause(ctx))
	}
	if err != nil {
		end()
		return nil, err
	}
	return newStream(resp.Body, end, attempt, from), nil
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

// call makes one short call with JSON both ways; in and out may be nil.
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody))
	if err != nil {
		c.calls.CloseIdleConnections()
		return errors.Wrapf(ErrBroken, "read answer: %v", err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Wrapf(ErrBroken, "decode answer: %v", err)
	}
	return nil
}

// do sends one request and turns every failure into its fact.
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
		return nil, c.failure(err, probe)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// failure classifies an error of the transport. Idle connections are dropped:
// what cut or silenced this connection may have done so to all.
func (c *Client) failure(err error, probe *sent.Probe) error {
	c.calls.CloseIdleConnections()
	if probe.NothingSent() {
		return errors.Wrapf(ErrNotSent, "%v", err)
	}
	return errors.Wrapf(ErrBroken, "%v", err)
}

func statusError(resp *http.Response) error {
	detail, ok := refusal(resp)
	if !ok {
		return errors.Wrapf(ErrBroken, "answer %s", resp.Status)
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

package plain

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

// DefaultMaxResponseBytes is the default limit on the response body that a Client reads. Responses are
// held in memory, many at a time.
const DefaultMaxResponseBytes = 1 << 20

// Client sends calls over HTTP. Every call uses its own connection. A pooled connection may have
// stalled, or the backend server may close it just as the call is written; either way a call that
// never arrived would have to be treated as one that may have run. A new connection costs one round
// trip within the zone.
type Client struct {
	http             *http.Client
	dial             sent.DialFunc
	maxResponseBytes int64
}

var _ Caller = (*Client)(nil)

// NewClient returns a Client that accepts response bodies of at most maxResponseBytes; 0 means
// DefaultMaxResponseBytes. If transport is nil, the client uses one of its own.
func NewClient(transport *sent.Transport, maxResponseBytes int64) *Client {
	if transport == nil {
		transport = sent.NewTransport(true)
	}
	if maxResponseBytes <= 0 {
		maxResponseBytes = DefaultMaxResponseBytes
	}
	hc := &http.Client{Transport: transport, CheckRedirect: sent.NoRedirect}
	return &Client{http: hc, dial: transport.DialContext, maxResponseBytes: maxResponseBytes}
}

// Do implements Caller. It returns a redirect as the response and does not follow it.
func (c *Client) Do(ctx context.Context, address string, call Call) (Response, error) {
	ctx, probe := sent.WithProbe(ctx)
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, nil)
	if err != nil {
		return Response{}, errors.Wrapf(ErrNotSent, "%v", err)
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	sent.SetBody(req, call.Body)
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, classifyError(err, probe)
	}
	defer resp.Body.Close()
	sent.CheckEnd(resp, func() sent.ServerState { return sent.ProbeServer(ctx, c.dial, address) })
	if err := sent.LimitBody(resp, c.maxResponseBytes); err != nil {
		return Response{}, errors.Wrapf(ErrNoResponse, "read response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, errors.Wrapf(ErrNoResponse, "read response: %v", err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func classifyError(err error, probe *sent.Probe) error {
	if probe.NothingSent() {
		return errors.Wrapf(ErrNotSent, "%v", err)
	}
	return errors.Wrapf(ErrNoResponse, "%v", err)
}

package plain

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

// DefaultMaxResponseBytes is the largest answer that a Client reads unless told otherwise, in bytes.
const DefaultMaxResponseBytes = 16 << 20

// Client sends calls over HTTP. Every call has its own connection: one kept
// from earlier may have gone silent, or be closed by the backend server just as
// the call is written, and either would leave a call that never arrived as one
// that may have run. A fresh connection costs one round trip within the zone.
type Client struct {
	http      *http.Client
	maxAnswer int64
}

var _ Caller = (*Client)(nil)

// NewClient returns a Client that reads answers of at most maxAnswer bytes, 0
// meaning DefaultMaxAnswer. A nil transport means its own; one given must come
// from sent.NewTransport, or no call is ever reported as not sent.
func NewClient(transport *http.Transport, maxAnswer int64) *Client {
	if transport == nil {
		transport = sent.NewTransport(true)
	}
	if maxAnswer <= 0 {
		maxAnswer = DefaultMaxResponseBytes
	}
	hc := &http.Client{Transport: transport, CheckRedirect: sent.NoRedirect}
	return &Client{http: hc, maxAnswer: maxAnswer}
}

// Do implements Caller. A redirect is an answer and is not followed.
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
		return Response{}, failure(err, probe)
	}
	defer resp.Body.Close()
	body, err := c.read(resp.Body)
	if err != nil {
		return Response{}, errors.Wrapf(ErrNoResponse, "read answer: %v", err)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func failure(err error, probe *sent.Probe) error {
	if probe.NothingSent() {
		return errors.Wrapf(ErrNotSent, "%v", err)
	}
	return errors.Wrapf(ErrNoResponse, "%v", err)
}

func (c *Client) read(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.maxAnswer+1))
	if err == nil && int64(len(body)) > c.maxAnswer {
		return nil, errors.Errorf("answer is larger than %d bytes", c.maxAnswer)
	}
	return body, err
}

package weights

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

// Client reads the status of the weight store over HTTP.
type Client struct {
	url  string
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the status endpoint at url. If hc is nil, the client uses a transport
// of its own.
func NewClient(url string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{Transport: sent.NewTransport(false)}
	}
	return &Client{url: url, http: hc}
}

// Status implements Store. After a failure idle connections are closed, so that the next call opens
// a new one.
func (c *Client) Status(ctx context.Context) (Status, error) {
	s, err := c.fetch(ctx)
	if err != nil {
		c.http.CloseIdleConnections()
	}
	return s, errors.Wrap(err, "weight store")
}

func (c *Client) fetch(ctx context.Context) (Status, error) {
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return s, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("unexpected status %s", resp.Status)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

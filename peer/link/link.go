// Package link provides the HTTP client with which daemons call each other's twirp services, and
// the base URL of a daemon's address.
package link

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"mallowwind.dev/external/sent"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection to a peer is kept. In a fleet of hundreds of
	// daemons each daemon calls every other one now and then; keeping connections to all of them
	// would take more memory than everything else.
	idleTimeout = 2 * time.Second
	// maxIdlePerPeer bounds the idle connections to one peer. Each running generation has one write
	// of its copy in flight to the peer that holds the copy, and with few daemons many generations
	// share that peer. With fewer idle connections than concurrent writes, a connection is opened
	// and closed for nearly every token.
	maxIdlePerPeer = 64
)

// Dialer holds the HTTP client and the URL scheme for calls between daemons. It is safe for
// concurrent use.
type Dialer struct {
	Client *http.Client
	scheme string
}

// NewDialer returns a Dialer. A nil config means plain TCP. The client has no timeout of its own
// for requests: each call's deadline comes from its context.
func NewDialer(config *tls.Config) *Dialer {
	t := sent.NewTransportFrom(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Dialer{Client: &http.Client{Transport: t}, scheme: scheme}
}

// NewDialerWithClient returns a Dialer that uses client over plain HTTP, for tests without a
// network.
func NewDialerWithClient(client *http.Client) *Dialer {
	return &Dialer{Client: client, scheme: "http"}
}

// URL returns the base URL of the daemon at address.
func (d *Dialer) URL(address string) string { return d.scheme + "://" + address }

// CloseIdleConnections closes idle connections, so that the next call opens a new one: a connection
// on which a call timed out may never answer again.
func (d *Dialer) CloseIdleConnections() { d.Client.CloseIdleConnections() }

// Package link makes the HTTP clients on which daemons call each other's twirp
// services, and turns a member's address into a base URL.
package link

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection to a peer is kept that nothing uses. In a fleet of
	// hundreds a daemon calls each of the others now and then; connections to all of them
	// would take more memory than everything else.
	idleTimeout = 2 * time.Second
	// idlePerPeer bounds kept connections to one peer. Each running generation
	// has one write of its copy under way to its holder, and with few daemons
	// many share a holder; below that number connections are opened and closed
	// for nearly every token.
	idlePerPeer = 64
)

// Dialer holds what calls between daemons share. It is safe for concurrent use.
type Dialer struct {
	Client *http.Client
	scheme string
}

// NewDialer returns a Dialer. A nil config means plain TCP. Deadlines come
// from each call's context, never from the client.
func NewDialer(config *tls.Config) *Dialer {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     config,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Dialer{Client: &http.Client{Transport: t}, scheme: scheme}
}

// NewDialerWithClient returns a Dialer on a given client, for tests without a network.
func NewDialerWithClient(client *http.Client) *Dialer {
	return &Dialer{Client: client, scheme: "http"}
}

// URL returns the base URL of the daemon at address.
func (d *Dialer) URL(address string) string { return d.scheme + "://" + address }

// CloseIdleConnections closes idle connections, so that the next call opens a fresh one:
// a connection on which a call timed out may be silent for good.
func (d *Dialer) CloseIdleConnections() { d.Client.CloseIdleConnections() }

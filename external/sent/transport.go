package sent

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Settings of the default transports.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is short because a stalled idle connection is detected only when it is used.
	idleTimeout         = 15 * time.Second
	maxIdleConnsPerHost = 4
	// MaxHeadBytes bounds the head of a response, and that of each interim response before it.
	MaxHeadBytes = 64 << 10
)

// Transport is an http.Transport whose connections are Conns. It returns only responses that are valid by
// RFC 9110 and RFC 9112; for any other the error wraps ErrInvalidResponse. Bytes within TLS are not checked.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that uses no proxy and speaks HTTP/1.1 only. If fresh is set, each
// request uses its own connection, so that no request is lost on an idle connection that has stalled or
// that the server is just closing.
func NewTransport(fresh bool) *Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return NewTransportWith(d.DialContext, fresh)
}

// NewTransportWith is like NewTransport but connects with dial.
func NewTransportWith(dial DialFunc, fresh bool) *Transport {
	return NewTransportFrom(&http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: MaxHeadBytes,
	})
}

// NewTransportFrom returns a transport with the settings of t, which it takes over. t.DialContext must be set.
func NewTransportFrom(t *http.Transport) *Transport {
	t.DialContext = CountingDial(t.DialContext)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *Conn // the last one on which the request was sent
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if used, _ = info.Conn.(*Conn); used != nil {
			used.expectHead()
		}
	}}
	out := req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	if t.DisableKeepAlives {
		out.Close = true // else http.Transport holds back the end of an early response until the request is written
	}
	resp, err := t.Transport.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	if err := checkExpected(req, resp, used); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if slices.Contains(resp.TransferEncoding, "chunked") {
		resp.Body = trailerBody{resp.Body, resp}
	}
	return resp, nil
}

// checkExpected returns an error if a response is not one to its request, which was sent on conn.
func checkExpected(req *http.Request, resp *http.Response, conn *Conn) error {
	switch {
	case conn != nil && !conn.hasCheckedHead():
		return errors.Wrap(ErrInvalidResponse, "it arrived before the request")
	case resp.StatusCode == http.StatusSwitchingProtocols && req.Header.Get("Upgrade") == "":
		return errors.Wrap(ErrInvalidResponse, "another protocol that was not asked for")
	}
	return nil
}

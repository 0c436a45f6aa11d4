package sent_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/rawserver"
)

// get sends a request to a server that responds with the given bytes, and returns the body of the response.
func get(t *testing.T, response string) (string, error) {
	t.Helper()
	s := startRawServer(t, func(c *rawserver.Conn) {
		c.ReadUpload()
		c.Send(response)
	})
	return upload(t, s, 1)
}

// checkResponses checks which responses are read, and that the others are invalid.
func checkResponses(t *testing.T, valid, invalid []string) {
	t.Helper()
	for _, response := range valid {
		body, err := get(t, response)
		must.NoError(t, err, must.Sprintf("%q", response))
		must.Eq(t, "answer", body, must.Sprintf("%q", response))
	}
	for _, response := range invalid {
		body, err := get(t, response)
		must.ErrorIs(t, err, sent.ErrInvalidResponse, must.Sprintf("%q: %q", response, body))
	}
}

// Guards against a response that is passed on although its status line is not one of HTTP/1.1, or its status
// is not one that a response can have.
func TestStatusLine(t *testing.T) {
	var valid, invalid []string
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 500 \xe9", "HTTP/1.1 599 Unknown",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK",
	} {
		valid = append(valid, line+"\r\nContent-Length: 6\r\n\r\nanswer", line+"\r\n\r\nanswer")
	}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 007 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -01 OK",
		"HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 200OK", " HTTP/1.1 200 OK", "",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK",
	} {
		invalid = append(invalid, line+"\r\nContent-Length: 6\r\n\r\nanswer")
	}
	checkResponses(t, valid, invalid)
}

// invalidFieldLines are lines of a head that are no fields, with the bytes that follow a head with the line.
var invalidFieldLines = []struct{ line, body string }{
	{"X Trouble: 1", "answer"},
	{"X-Trouble : 1", "answer"},
	{"X-Trouble\t: 1", "answer"},
	{"X\tTrouble: 1", "answer"},
	{" X-Trouble: 1", "answer"},
	{"\tfolded", "answer"},
	{" ", "answer"},
	{"X-Trouble\x00: 1", "answer"},
	{"X-\x1bTrouble: 1", "answer"},
	{"X-Troubl\xe9: 1", "answer"},
	{"X-Trouble\x7f: 1", "answer"},
	{"\r: 1", "answer"},
	{"X(Trouble): 1", "answer"},
	{": 1", "answer"},
	{"X-Trouble", "answer"},
	{"Content-Length : 6", "answer and bytes of another response"},
	{" Content-Length: 6", "answer and bytes of another response"},
	{"Content Length: 6", "answer and bytes of another response"},
	{"Transfer-Encoding : chunked", "6\r\nanswer\r\n0\r\n\r\n"},
	{"Transfer Encoding: chunked", "6\r\nanswer\r\n0\r\n\r\n"},
}

// Guards against a response that is passed on although a line of its head is no field, without that line or
// with a body that is not its server's.
func TestFieldLines(t *testing.T) {
	var invalid []string
	for _, c := range invalidFieldLines {
		invalid = append(
			invalid,
			"HTTP/1.1 200 OK\r\nX-First: 1\r\n"+c.line+"\r\nX-Last: 1\r\n\r\n"+c.body,
			"HTTP/1.1 200 OK\r\nX-First: 1\r\n"+c.line+"\r\nContent-Length: 6\r\n\r\nanswer",
			"HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n"+c.line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		)
	}
	invalid = append(invalid, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n")
	checkResponses(t, []string{
		"HTTP/1.1 200 OK\r\nX:\r\n!#$%&'*+-.^_`|~09azAZ: \t \xe9, \"b\" \t\r\n\r\nanswer",
		"HTTP/1.1 200 OK\nX: 1\n\nanswer",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	}, invalid)
	_, err := get(t, "HTTP/1.1 200 OK\r\nX-Trouble: \x01\r\n\r\nanswer")
	must.Error(t, err)
}

// Guards against a response that is passed on as whole although a line of its trailer is no field.
func TestTrailer(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n"
	body, err := get(t, begin+"X-Trailer: 1\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, "answer", body)
	for _, line := range []string{"X Trouble: 1", "X-Trouble : 1", "X-\x01Trouble: 1", "X-Trouble"} {
		_, err := get(t, begin+line+"\r\n\r\n")
		must.Error(t, err, must.Sprintf("%q", line))
	}
}

// Guards against a later response on a kept connection whose head is not checked.
func TestLaterResponseOnConnection(t *testing.T) {
	var connections atomic.Int32
	s := startRawServer(t, func(c *rawserver.Conn) {
		connections.Add(1)
		in := bufio.NewReader(c)
		c.Send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n000 OK\r\n")
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		c.Send("HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nanswer")
	})
	transport := sent.NewTransport(false)
	defer transport.CloseIdleConnections()
	for n := range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address(), nil)
		must.NoError(t, err)
		resp, err := transport.RoundTrip(req)
		if n == 1 {
			must.ErrorIs(t, err, sent.ErrInvalidResponse)
			continue
		}
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, "000 OK\r\n", string(body))
		must.NoError(t, resp.Body.Close())
	}
	must.Eq(t, 1, connections.Load())
}

// lastReadConn is a connection whose one read returns a response together with the end.
type lastReadConn struct {
	net.Conn
	written  chan struct{} // closed at the first write
	once     sync.Once
	response string
}

func (c *lastReadConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.written) })
	return len(p), nil
}

func (c *lastReadConn) Read(p []byte) (int, error) {
	<-c.written
	n := copy(p, c.response)
	c.response = c.response[n:]
	return n, io.EOF
}

func (c *lastReadConn) Close() error { return nil }

// Guards against a response that is not checked, or refused, because its bytes arrive together with the end of
// its connection, as they do through another daemon.
func TestResponseThatArrivesWithItsEnd(t *testing.T) {
	for response, want := range map[string]error{
		"HTTP/1.1 200 OK\r\n\r\nanswer":                 nil,
		"HTTP/1.1 200 OK\r\nX Trouble: 1\r\n\r\nanswer": sent.ErrInvalidResponse,
	} {
		dial := func(context.Context, string, string) (net.Conn, error) {
			return &lastReadConn{written: make(chan struct{}), response: response}, nil
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server", nil)
		must.NoError(t, err)
		resp, err := sent.NewTransportWith(dial, true).RoundTrip(req)
		must.ErrorIs(t, err, want)
		if want == nil {
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, "answer", string(body))
			must.NoError(t, resp.Body.Close())
		}
	}
}

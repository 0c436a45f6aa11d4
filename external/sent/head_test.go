package sent_test

import (
	"bufio"
	"io"
	"net/http"
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

// Guards against a later response on a kept connection whose head is not checked.
func TestLaterResponseOnConnection(t *testing.T) {
	connections := 0
	s := startRawServer(t, func(c *rawserver.Conn) {
		connections++
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
	must.Eq(t, 1, connections)
}

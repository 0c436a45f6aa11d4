package sent_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/rawserver"
)

const (
	// longUpload is the length of a request body that kernels do not buffer as a whole.
	longUpload = 8 << 20
	// uploadTries is how often an upload is tried: which end notices a reset first depends on the scheduler.
	uploadTries = 20
	// closeDelimited is the head of a response whose body ends with its connection.
	closeDelimited = "HTTP/1.1 200 OK\r\n\r\n"
)

// startRawServer starts a server for the time of a test.
func startRawServer(t *testing.T, serve func(*rawserver.Conn)) *rawserver.Server {
	t.Helper()
	s, err := rawserver.Listen("127.0.0.1:0", serve)
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// upload sends a request with a body of n bytes and returns the body of the response.
func upload(t *testing.T, s *rawserver.Server, n int) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address(), nil)
	must.NoError(t, err)
	sent.SetBody(req, bytes.Repeat([]byte("u"), n))
	resp, err := sent.NewTransport(true).RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against part of a response that looks complete because its server reset the connection while the
// request was still being written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "while the upload waits": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := startRawServer(t, func(c *rawserver.Conn) {
				c.Send(closeDelimited + "part")
				time.Sleep(pause)
				c.Reset()
			})
			for range uploadTries {
				body, err := upload(t, s, longUpload)
				must.Error(t, err, must.Sprint(body))
			}
		})
	}
}

// Guards against a whole response that is cut, or waits for the upload, because its server answers before it
// has read the request.
func TestEarlyAnswerIsWhole(t *testing.T) {
	for _, c := range []struct {
		name, response string
		endsConnection bool
	}{
		{"without a length", closeDelimited + "answer", true},
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer", false},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			received, uploads := make(chan struct{}), make(chan []byte, 1)
			s := startRawServer(t, func(conn *rawserver.Conn) {
				conn.Send(c.response)
				if c.endsConnection {
					conn.EndAnswer()
				}
				<-received // the upload is read only once the caller has the response
				uploads <- conn.ReadUpload()
			})
			for range uploadTries {
				body, err := upload(t, s, longUpload)
				must.NoError(t, err)
				must.Eq(t, "answer", body)
				received <- struct{}{}
				must.Zero(t, len(bytes.Trim(<-uploads, "u")), must.Sprint("other bytes than the upload"))
			}
		})
	}
}

// Guards against an end of a connection that is taken for a reset, or the other way round, because a write
// took the error or a reset followed the end.
func TestEndOfConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		end     func(*rawserver.Conn)
		uploads bool  // a write is in progress and takes the error, if there is one
		want    error // nil for an end in order
	}{
		{"in order", (*rawserver.Conn).EndAnswer, false, nil},
		{"in order, then reset", func(c *rawserver.Conn) { c.EndAnswer(); c.Reset() }, false, nil},
		{"in order, then reset during a write", func(c *rawserver.Conn) { c.EndAnswer(); time.Sleep(30 * time.Millisecond); c.Reset() }, true, nil},
		{"reset", (*rawserver.Conn).Reset, false, syscall.ECONNRESET},
		{"reset during a write", func(c *rawserver.Conn) { time.Sleep(30 * time.Millisecond); c.Reset() }, true, syscall.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startRawServer(t, func(conn *rawserver.Conn) {
				conn.Send("answer")
				c.end(conn)
			})
			conn, err := sent.CountingDial((&net.Dialer{}).DialContext)(t.Context(), "tcp", s.Address())
			must.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: s\r\n\r\n")
			must.NoError(t, err)
			if c.uploads {
				_, err = conn.Write(make([]byte, longUpload)) // nobody reads: only the reset ends it
				must.Error(t, err)
			} else {
				time.Sleep(50 * time.Millisecond) // the end has arrived
			}
			got, err := io.ReadAll(conn)
			must.ErrorIs(t, err, c.want)
			if c.want == nil {
				must.Eq(t, "answer", string(got))
			}
		})
	}
}

// takenErrorConn is a connection that was reset, and whose error a write takes.
type takenErrorConn struct{ net.Conn }

func (takenErrorConn) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}
func (takenErrorConn) Read([]byte) (int, error) { return 0, io.EOF }

// Guards against a reset that looks like an end in order on a connection whose state cannot be asked.
func TestEndOfConnectionWithoutSocket(t *testing.T) {
	conn := sent.NewConn(takenErrorConn{})
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	_, err = conn.Write([]byte("upload"))
	must.Error(t, err)
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a whole response that waits for the rest of the upload, which its server does not read.
func TestEarlyAnswerDoesNotWaitForUpload(t *testing.T) {
	for _, head := range []string{"Content-Length: 6\r\n\r\nanswer", "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			here, there := net.Pipe()
			defer there.Close()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReaderSize(there, 16)); err == nil {
					_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\n"+head)
				}
			}()
			dial := func(context.Context, string, string) (net.Conn, error) { return here, nil }
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server", nil)
			must.NoError(t, err)
			sent.SetBody(req, make([]byte, longUpload))
			start := time.Now()
			resp, err := sent.NewTransportWith(dial, true).RoundTrip(req)
			must.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			must.Zero(t, time.Since(start))
		})
	}
}

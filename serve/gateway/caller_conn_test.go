package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
)

// configDelay is longer than a daemon takes to learn of a changed configuration.
const configDelay = 2 * time.Second

// openCaller opens a connection of a caller.
func (s *testGateway) openCaller() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, err := s.callers.Dial(s.t.Context(), "", "")
	must.NoError(s.t, err)
	return conn, bufio.NewReader(conn)
}

// post sends a request with a header and a body of about the given sizes and returns the response. It
// is nil if the connection ends without one.
func post(conn net.Conn, r *bufio.Reader, headerBytes, bodyBytes int) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://host/1ms", strings.NewReader(strings.Repeat("b", bodyBytes)))
	if err != nil {
		return nil
	}
	req.Header.Set("Note", strings.Repeat("n", headerBytes))
	go func() { _ = req.Write(conn) }() // fails if the request is refused before its end
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil
	}
	_, _ = io.ReadAll(resp.Body)
	return resp
}

// Limits change while callers keep connections. Requests on them were refused, or accepted, by the
// limits with which the connections were opened.
func TestOpenConnectionsKeepToSizeLimitsInForce(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after string
		header, body  int
		status        int
	}{
		{"header limit raised", `"header_bytes":16384`, `"header_bytes":65536`, 40000, 0, 200},
		{"header limit set", ``, `"header_bytes":65536`, 40000, 0, 200},
		{"header limit lowered", `"header_bytes":65536`, `"header_bytes":16384`, 40000, 0, 431},
		{"header within the lowered limit", `"header_bytes":65536`, `"header_bytes":16384`, 16000, 0, 200},
		{"header limit removed", `"header_bytes":65536`, ``, 40000, 0, 431},
		{"body limit raised", `"body_bytes":1000`, `"body_bytes":100000`, 0, 50000, 200},
		{"body limit lowered", `"body_bytes":100000`, `"body_bytes":1000`, 0, 50000, 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(s *testGateway) {
				s.put(feed.OwnConfigKey, configWithLimits(2, c.before))
				time.Sleep(configDelay)
				conn, r := s.openCaller()
				defer conn.Close()
				got := post(conn, r, 0, 0)
				must.NotNil(t, got)
				must.Eq(t, http.StatusOK, got.StatusCode)
				s.put(feed.OwnConfigKey, configWithLimits(3, c.after))
				time.Sleep(configDelay)
				got = post(conn, r, c.header, c.body)
				must.NotNil(t, got)
				must.Eq(t, c.status, got.StatusCode)
			})
		})
	}
}

// A daemon that has just started refused large headers on its connections by the default limit.
func TestHeaderBeforeFirstConfigurationIsNotDenied(t *testing.T) {
	for _, c := range []struct {
		name     string
		configAt time.Duration // after the request; 0 for never
		limits   string
		status   int
	}{
		{"within the limit of the first configuration", 300 * time.Millisecond, `"header_bytes":65536`, http.StatusOK},
		{"too large for the first configuration", 300 * time.Millisecond, `"header_bytes":16384`, http.StatusRequestHeaderFieldsTooLarge},
		{"no configuration", 0, "", http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			withStartedGateway(t, func(s *testGateway) {
				time.Sleep(time.Second)
				conn, r := s.openCaller()
				defer conn.Close()
				if c.configAt > 0 {
					time.AfterFunc(c.configAt, func() { s.put(feed.OwnConfigKey, configWithLimits(1, c.limits)) })
				}
				got := post(conn, r, 40000, 0)
				must.NotNil(t, got)
				must.Eq(t, c.status, got.StatusCode)
				must.Eq(t, c.status == http.StatusServiceUnavailable, got.Header.Get("Retry-After") != "")
			})
		})
	}
}

// A connection is opened before the first configuration and used after it.
func TestConnectionOpenedBeforeFirstConfigurationKeepsToItsLimits(t *testing.T) {
	withStartedGateway(t, func(s *testGateway) {
		conn, r := s.openCaller()
		defer conn.Close()
		time.Sleep(time.Second)
		s.put(feed.OwnConfigKey, configWithLimits(1, `"header_bytes":65536,"idle_timeout":"40s"`))
		time.Sleep(configDelay)
		got := post(conn, r, 40000, 0)
		must.NotNil(t, got)
		must.Eq(t, http.StatusOK, got.StatusCode)
		time.Sleep(30 * time.Second)
		must.NotNil(t, post(conn, r, 40000, 0))
	})
}

// The idle timeout changes while a connection is idle, or before it is.
func TestOpenConnectionsKeepToIdleTimeoutInForce(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after string
		changeAt      time.Duration // idle time at the change
		idle          time.Duration
		kept          bool
	}{
		{"raised", "10s", "30s", 5 * time.Second, 25 * time.Second, true},
		{"raised, too long for the new one", "10s", "30s", 5 * time.Second, 31 * time.Second, false},
		{"lowered", "30s", "10s", 5 * time.Second, 20 * time.Second, false},
		{"lowered, within the limit after the change", "30s", "10s", 12 * time.Second, 20 * time.Second, true},
		{"lowered, too long after the change", "30s", "10s", 12 * time.Second, 24 * time.Second, false},
		{"lowered, too long for the old one", "30s", "10s", 25 * time.Second, 31 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(s *testGateway) {
				s.put(feed.OwnConfigKey, config(2, c.before))
				time.Sleep(configDelay)
				conn, r := s.openCaller()
				defer conn.Close()
				must.NotNil(t, post(conn, r, 0, 0))
				time.Sleep(c.changeAt)
				s.put(feed.OwnConfigKey, config(3, c.after))
				time.Sleep(c.idle - c.changeAt)
				must.Eq(t, c.kept, post(conn, r, 0, 0) != nil)
				if c.kept { // the next idle period is subject to the new timeout alone
					time.Sleep(9 * time.Second)
					must.NotNil(t, post(conn, r, 0, 0))
				}
			})
		})
	}
}

// The header timeout changes while a connection is open. It counts from the first byte of the header.
func TestOpenConnectionsKeepToHeaderTimeoutInForce(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after string
		duration      time.Duration // of the header
		served        bool
	}{
		{"raised", "2s", "8s", 6 * time.Second, true},
		{"raised, too slow for the new one", "2s", "8s", 9 * time.Second, false},
		{"lowered", "8s", "2s", 6 * time.Second, false},
		{"lowered, fast enough for the new one", "8s", "2s", time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(s *testGateway) {
				s.put(feed.OwnConfigKey, configWithLimits(2, `"header_timeout":"`+c.before+`"`))
				time.Sleep(configDelay)
				conn, r := s.openCaller()
				defer conn.Close()
				must.NotNil(t, post(conn, r, 0, 0))
				s.put(feed.OwnConfigKey, configWithLimits(3, `"header_timeout":"`+c.after+`"`))
				time.Sleep(configDelay)
				_, err := io.WriteString(conn, "GET /1ms HTTP/1.1\r\n")
				must.NoError(t, err)
				time.Sleep(c.duration)
				_, _ = io.WriteString(conn, "Host: host\r\n\r\n")
				_, err = http.ReadResponse(r, nil)
				must.Eq(t, c.served, err == nil)
			})
		})
	}
}

// A caller sends a header without end. The daemon must read no more of it than the limit in force.
func TestHeaderWithoutEndIsRefused(t *testing.T) {
	const limit = 16384
	withGateway(t, func(s *testGateway) {
		s.put(feed.OwnConfigKey, configWithLimits(2, `"header_bytes":65536`))
		time.Sleep(configDelay)
		conn, r := s.openCaller()
		defer conn.Close()
		must.NotNil(t, post(conn, r, 0, 0))
		s.put(feed.OwnConfigKey, configWithLimits(3, `"header_bytes":16384`))
		time.Sleep(configDelay)
		written := make(chan int)
		go func() {
			total, _ := io.WriteString(conn, "GET /1ms HTTP/1.1\r\n")
			for {
				n, err := io.WriteString(conn, "Note: "+strings.Repeat("n", 1000)+"\r\n")
				total += n
				if err != nil {
					written <- total
					return
				}
			}
		}()
		got, err := http.ReadResponse(r, nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, got.StatusCode)
		_, _ = io.ReadAll(got.Body)
		_, err = r.ReadByte()
		must.ErrorIs(t, err, io.EOF) // no second response
		must.LessEq(t, limit+bodyBytesInBuffer+maxDiscardedBytes, <-written)
	})
}

// Limits change again and again while callers use their connections, with requests that are sent
// before the previous one is answered. Each must be answered.
func TestChangesOfLimitsEndNoRequest(t *testing.T) {
	withGateway(t, func(s *testGateway) {
		done := make(chan int)
		for range 8 {
			conn, r := s.openCaller()
			go func() {
				defer conn.Close()
				answered := 0
				for range 100 {
					go func() {
						_, _ = io.WriteString(conn, strings.Repeat("GET /200ms HTTP/1.1\r\nHost: host\r\n\r\n", 2))
					}()
					for range 2 {
						if resp, err := http.ReadResponse(r, nil); err == nil && resp.StatusCode == http.StatusOK {
							_, _ = io.ReadAll(resp.Body)
							answered++
						}
					}
				}
				done <- answered
			}()
		}
		for version := range 40 {
			s.put(feed.OwnConfigKey, configWithLimits(version+2, fmt.Sprintf(`"header_bytes":%d,"idle_timeout":"%ds","header_timeout":"%ds"`, 4096<<(version%3), 1+version%5, 1+version%3)))
			time.Sleep(time.Second)
		}
		for range 8 {
			must.Eq(t, 200, <-done)
		}
	})
}

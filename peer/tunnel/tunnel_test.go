package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/tunnel"
)

// site is a daemon that opens tunnels, and a server behind it.
type site struct {
	t      *testing.T
	daemon *faultnet.Listener
	server *faultnet.Listener
	tunnel *tunnel.Server
	opts   tunnel.Options
	client *http.Transport
	mu     sync.Mutex
	ended  []tunnel.Ended
	http   *http.Server
}

// withSite runs a test in virtual time. serve handles each connection to the server; prepare may
// change the options of the daemon.
func withSite(t *testing.T, serve func(net.Conn), prepare func(*tunnel.Options), test func(*site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, daemon: faultnet.Pipe(), server: faultnet.Pipe()}
		s.opts = tunnel.Options{
			Dial:       func(ctx context.Context, address string) (net.Conn, error) { return s.server.Dial(ctx, "", address) },
			Address:    func(id string) (string, bool) { return "s:80", id == "s" },
			IsPathLost: func() bool { return false },
			OnEnd: func(e tunnel.Ended) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.ended = append(s.ended, e)
			},
		}
		if prepare != nil {
			prepare(&s.opts)
		}
		s.tunnel = tunnel.NewServer(s.opts)
		mux := http.NewServeMux()
		mux.Handle(tunnel.Path, s.tunnel)
		s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		go s.http.Serve(s.daemon)
		go func() {
			for {
				c, err := s.server.Accept()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
		s.client = &http.Transport{DialContext: s.daemon.Dial}
		test(s)
		s.client.CloseIdleConnections()
		s.http.Close()
		s.server.Close()
		synctest.Wait()
	})
}

func (s *site) open(id string) (net.Conn, error) { return s.openFor(id, false) }

func (s *site) openFor(id string, stream bool) (net.Conn, error) {
	dialer := link.NewDialerWithClient(&http.Client{Transport: s.client})
	return tunnel.Open(s.t.Context(), dialer, "d:1", tunnel.Request{Server: id, Wait: time.Second, Caller: "vm-1", ForCall: "r1", Stream: stream})
}

// echoLine answers the first four bytes and ends the connection as end says.
func echoLine(end func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		buf := make([]byte, 4)
		if _, err := io.ReadFull(c, buf); err != nil {
			return
		}
		_, _ = c.Write(append([]byte("echo "), buf...))
		end(c)
	}
}

// The clean end of a server's connection is the end of an answer without a length.
func TestTunnelCarriesBytesAndTheCleanEnd(t *testing.T) {
	withSite(t, echoLine(func(c net.Conn) { c.Close() }), nil, func(s *site) {
		c, err := s.open("s")
		must.NoError(t, err)
		_, err = c.Write([]byte("ping"))
		must.NoError(t, err)
		got, err := io.ReadAll(c)
		must.NoError(t, err)
		must.Eq(t, "echo ping", string(got))
		must.NoError(t, c.Close())
		synctest.Wait()
		must.Zero(t, s.tunnel.Active())
		must.Len(t, 1, s.ended)
		must.Eq(t, "r1", s.ended[0].Request)
		must.NoError(t, s.ended[0].Err)
	})
}

// Guards against an answer that looks complete although its server, or the daemon between, has died.
func TestBrokenConnectionHasNoCleanEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(*site)
	}{
		{"the daemon between dies", func(s *site) { s.daemon.Cut() }},
		{"the server resets", func(*site) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			broken := errors.New("reset")
			replied := make(chan struct{})
			prepare := func(o *tunnel.Options) {
				dial := o.Dial
				o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					conn, err := dial(ctx, address)
					return resetAfterEOF{conn, broken}, err
				}
			}
			withSite(t, echoLine(func(c net.Conn) { <-replied; c.Close() }), prepare, func(s *site) {
				conn, err := s.open("s")
				must.NoError(t, err)
				_, err = conn.Write([]byte("ping"))
				must.NoError(t, err)
				buf := make([]byte, 9)
				_, err = io.ReadFull(conn, buf)
				must.NoError(t, err)
				c.cut(s)
				close(replied)
				_, err = conn.Read(buf)
				must.Error(t, err)
				must.False(t, err == io.EOF)
				conn.Close()
			})
		})
	}
}

// resetAfterEOF returns an error in place of the clean end of a connection.
type resetAfterEOF struct {
	net.Conn
	err error
}

func (c resetAfterEOF) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.err
	}
	return n, err
}

// Guards against runs that go on after their caller has left.
func TestServerSeesTheCallerLeave(t *testing.T) {
	left := make(chan error, 1)
	serve := func(c net.Conn) {
		_, err := io.Copy(io.Discard, c)
		left <- err
	}
	withSite(t, serve, nil, func(s *site) {
		c, err := s.open("s")
		must.NoError(t, err)
		_, err = c.Write([]byte("work"))
		must.NoError(t, err)
		must.NoError(t, c.Close())
		synctest.Wait()
		must.Eq(t, 1, len(left))
		must.Zero(t, s.tunnel.Active())
		must.NoError(t, s.ended[0].Err)
	})
}

// Guards against a slow caller that fills the memory of the daemon between.
func TestSlowCallerHoldsTheServerBack(t *testing.T) {
	var mu sync.Mutex
	written := 0
	serve := func(c net.Conn) {
		piece := make([]byte, 1<<10)
		for {
			n, err := c.Write(piece)
			if err != nil {
				return
			}
			mu.Lock()
			written += n
			mu.Unlock()
		}
	}
	withSite(t, serve, nil, func(s *site) {
		c, err := s.open("s")
		must.NoError(t, err)
		time.Sleep(time.Minute)
		mu.Lock()
		must.LessEq(t, 32<<10, written)
		mu.Unlock()
		must.NoError(t, c.Close())
	})
}

// Each refusal is told apart, and none leads to a server.
func TestRefusals(t *testing.T) {
	failing := func(err error) func(*tunnel.Options) {
		return func(o *tunnel.Options) {
			o.Dial = func(context.Context, string) (net.Conn, error) { return nil, err }
		}
	}
	for _, c := range []struct {
		want    tunnel.Refusal
		server  string
		prepare func(*tunnel.Options)
		before  func(*site)
	}{
		{tunnel.UnknownServer, "other", nil, nil},
		{tunnel.UnknownServer, "", nil, nil},
		{tunnel.ServerRefused, "s", failing(syscall.ECONNREFUSED), nil},
		{tunnel.ServerSilent, "s", failing(context.DeadlineExceeded), nil},
		{tunnel.PathLost, "s", func(o *tunnel.Options) { o.IsPathLost = func() bool { return true } }, nil},
		{tunnel.Leaving, "s", nil, func(s *site) { s.tunnel.BeginShutdown(tunnel.ShutdownSchedule{}) }},
	} {
		t.Run(string(c.want), func(t *testing.T) {
			withSite(t, func(c net.Conn) { c.Close() }, c.prepare, func(s *site) {
				if c.before != nil {
					c.before(s)
				}
				_, err := s.open(c.server)
				var refused *tunnel.Error
				must.True(t, errors.As(err, &refused))
				must.Eq(t, c.want, refused.Refusal)
				must.Eq(t, c.want, s.ended[0].Refusal)
			})
		})
	}
}

// Guards against a stream that is cut because the daemon that carries it exits before its end.
func TestLeavingDaemonRefusesStreamsBeforeOtherTunnels(t *testing.T) {
	withSite(t, func(c net.Conn) { c.Close() }, nil, func(s *site) {
		now := time.Now()
		s.tunnel.BeginShutdown(tunnel.ShutdownSchedule{StreamsUntil: now.Add(time.Second), RequestsUntil: now.Add(2 * time.Second)})
		for _, c := range []struct{ stream, request bool }{{true, true}, {false, true}, {false, false}} {
			for stream, want := range map[bool]bool{true: c.stream, false: c.request} {
				conn, err := s.openFor("s", stream)
				must.Eq(t, want, err == nil, must.Sprint(time.Since(now), stream))
				if err == nil {
					must.NoError(t, conn.Close())
				}
			}
			time.Sleep(time.Second)
		}
	})
}

// A daemon of a release without tunnels answers 404: that must not look like a refusal by a server.
func TestDaemonWithoutTunnels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := faultnet.Pipe()
		server := &http.Server{Handler: http.NotFoundHandler()}
		go server.Serve(l)
		defer server.Close()
		transport := &http.Transport{DialContext: l.Dial}
		defer transport.CloseIdleConnections()
		_, err := tunnel.Open(t.Context(), link.NewDialerWithClient(&http.Client{Transport: transport}), "d:1", tunnel.Request{Server: "s"})
		var refused *tunnel.Error
		must.Error(t, err)
		must.False(t, errors.As(err, &refused))
		must.True(t, strings.Contains(err.Error(), "not supported"))
	})
}

// A request without the upgrade must not open a connection to a server.
func TestRequestWithoutUpgradeIsInvalid(t *testing.T) {
	withSite(t, func(c net.Conn) { c.Close() }, nil, func(s *site) {
		resp, err := (&http.Client{Transport: s.client}).Get("http://d:1" + tunnel.Path)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, http.StatusBadGateway, resp.StatusCode)
		must.Eq(t, tunnel.Invalid, s.ended[0].Refusal)
	})
}

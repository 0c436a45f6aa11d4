package faultnet_test

import (
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/faultnet"
)

// echo serves l and returns to each connection the data that it sends.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

// withEcho runs f in virtual time with an echo server and one open connection.
func withEcho(t *testing.T, f func(t *testing.T, l *faultnet.Listener, open net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		l := faultnet.Pipe()
		defer l.Close()
		go echo(l)
		open, err := l.Dial(t.Context(), "", "")
		must.NoError(t, err)
		defer open.Close()
		must.NoError(t, ping(open))
		f(t, l, open)
	})
}

// ping sends one byte and waits up to a minute for the echo.
func ping(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	withEcho(t, func(t *testing.T, l *faultnet.Listener, open net.Conn) {
		l.Silence()
		must.ErrorIs(t, ping(open), os.ErrDeadlineExceeded)
		fresh, err := l.Dial(t.Context(), "", "")
		must.NoError(t, err)
		defer fresh.Close()
		must.NoError(t, ping(fresh))
	})
}

func TestStallPausesTraffic(t *testing.T) {
	withEcho(t, func(t *testing.T, l *faultnet.Listener, open net.Conn) {
		l.Stall()
		begin := time.Now()
		time.AfterFunc(30*time.Second, l.Unstall)
		must.NoError(t, ping(open))
		must.Eq(t, 30*time.Second, time.Since(begin))
	})
}

func TestCutResetsAndRefuses(t *testing.T) {
	withEcho(t, func(t *testing.T, l *faultnet.Listener, open net.Conn) {
		l.Cut()
		must.Error(t, ping(open))
		_, err := l.Dial(t.Context(), "", "")
		must.ErrorIs(t, err, faultnet.ErrRefused)
		must.NoError(t, l.Restore())
		fresh, err := l.Dial(t.Context(), "", "")
		must.NoError(t, err)
		defer fresh.Close()
		must.NoError(t, ping(fresh))
	})
}

package process

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// departure is a caller's way to leave one request before its response is complete: it cancels the request,
// or it closes the sending side of the request's connection and reads on.
type departure struct {
	cancel     context.CancelFunc
	halfCloses bool
	halfClosed atomic.Bool // the sending side is closed
}

// schedule makes the caller leave after a time. The returned context is that of the request, whose
// connection must not be used again if the caller half-closes it.
func (d *departure) schedule(ctx context.Context, after time.Duration) context.Context {
	if !d.halfCloses {
		time.AfterFunc(after, d.cancel)
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		time.AfterFunc(after, func() { d.halfClose(info.Conn) })
	}})
}

// halfClose closes the sending side of a connection.
func (d *departure) halfClose(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	d.halfClosed.Store(true)
	_ = tcp.CloseWrite() // fails only if the connection has ended
}

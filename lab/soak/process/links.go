package process

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// parcelSize and window bound what one connection has on its way: together
	// 192 KB, as much as a sender that is not told to wait has out.
	parcelSize = 4 << 10
	window     = 48
)

// lane is one direction of a machine's link. What passes leaves in the order in which
// it came, at most rate bytes a second, and nothing while the lane is held up. It loses
// nothing. The zero lane delays nothing.
type lane struct {
	mu   sync.Mutex
	rate float64   // bytes a second, 0 where there is no bound
	free time.Time // when what comes next may leave
	held time.Time // nothing leaves before
}

// take is when n bytes that arrive at a time leave.
func (l *lane) take(at time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.After(at) {
		at = l.free
	}
	if l.rate > 0 {
		at = at.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	}
	l.free = at
	return at
}

// hold keeps everything back until a time.
func (l *lane) hold(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = until
	if until.After(l.free) {
		l.free = until
	}
}

// await returns when a parcel that is due has left all lanes, which may be held up in
// the meantime.
func await(due time.Time, lanes []*lane) {
	for {
		for _, l := range lanes {
			l.mu.Lock()
			if l.held.After(due) {
				due = l.held
			}
			l.mu.Unlock()
		}
		wait := time.Until(due)
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// uplink is the link of one daemon's machine.
type uplink struct {
	out, in lane
	turn    sync.Mutex // one hold at a time
}

// hold holds both directions up for d.
func (u *uplink) hold(d time.Duration) {
	until := time.Now().Add(d)
	u.out.hold(until)
	u.in.hold(until)
}

// parcel is what was read from a connection at once, and whether that was its end.
type parcel struct {
	data []byte
	due  time.Time
	err  error
}

// carry copies one way by way of lanes until an end closes. The end passes in its
// turn, so that what was sent before it arrives.
func carry(from, to net.Conn, lanes []*lane) {
	queue := make(chan parcel, window)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, parcelSize)
			n, err := from.Read(buf)
			due := time.Now()
			for _, l := range lanes {
				due = l.take(due, n)
			}
			queue <- parcel{data: buf[:n], due: due, err: err}
			if err != nil {
				return
			}
		}
	}()
	for p := range queue {
		await(p.due, lanes)
		if !deliver(p, to) {
			reset(from) // ends the reading
		}
	}
}

// deliver writes a parcel and reports whether the other end takes more.
func deliver(p parcel, to net.Conn) bool {
	if len(p.data) > 0 {
		if _, err := to.Write(p.data); err != nil {
			return false
		}
	}
	if half, ok := to.(*net.TCPConn); ok && errors.Is(p.err, io.EOF) {
		_ = half.CloseWrite() // the other end may be gone already
	} else if p.err != nil {
		reset(to)
	}
	return true
}

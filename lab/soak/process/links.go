package process

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// chunkSizeBytes and window bound what one connection has on its way: together
	// 192 KB, as much as a sender that is not told to wait has out.
	chunkSizeBytes  = 4 << 10
	maxQueuedChunks = 48
)

// linkDirection is one direction of a machine's link. What passes leaves in the order in which
// it came, at most rate bytes a second, and nothing while the lane is held up. It loses
// nothing. The zero lane delays nothing.
type linkDirection struct {
	mu             sync.Mutex
	bytesPerSecond float64   // bytes a second, 0 where there is no bound
	nextDeparture  time.Time // when what comes next may leave
	stalledUntil   time.Time // nothing leaves before
}

// schedule is when n bytes that arrive at a time leave.
func (l *linkDirection) schedule(at time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextDeparture.After(at) {
		at = l.nextDeparture
	}
	if l.bytesPerSecond > 0 {
		at = at.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	}
	l.nextDeparture = at
	return at
}

// stall keeps everything back until a time.
func (l *linkDirection) stall(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalledUntil = until
	if until.After(l.nextDeparture) {
		l.nextDeparture = until
	}
}

// waitUntilReleased returns when a parcel that is due has left all lanes, which may be held up in
// the meantime.
func waitUntilReleased(due time.Time, path []*linkDirection) {
	for {
		for _, l := range path {
			l.mu.Lock()
			if l.stalledUntil.After(due) {
				due = l.stalledUntil
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
	out, in linkDirection
	stallMu sync.Mutex // one hold at a time
}

// stall holds both directions up for d.
func (u *uplink) stall(d time.Duration) {
	until := time.Now().Add(d)
	u.out.stall(until)
	u.in.stall(until)
}

// chunk is what was read from a connection at once, and whether that was its end.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// forwardVia copies one way by way of lanes until an end closes. The end passes in its
// turn, so that what was sent before it arrives.
func forwardVia(from, to net.Conn, path []*linkDirection) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, chunkSizeBytes)
			n, err := from.Read(buf)
			due := time.Now()
			for _, l := range path {
				due = l.schedule(due, n)
			}
			queue <- chunk{data: buf[:n], due: due, err: err}
			if err != nil {
				return
			}
		}
	}()
	for p := range queue {
		waitUntilReleased(p.due, path)
		if !deliver(p, to) {
			reset(from) // ends the reading
		}
	}
}

// deliver writes a parcel and reports whether the other end takes more.
func deliver(p chunk, to net.Conn) bool {
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

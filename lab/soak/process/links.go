package process

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// chunkSizeBytes and maxQueuedChunks bound the data that one connection has in flight:
	// together 192 KB, as much as a sender without backpressure has outstanding.
	chunkSizeBytes  = 4 << 10
	maxQueuedChunks = 48
)

// linkDirection is one direction of a machine's link. Data leaves in order of arrival, at most
// bytesPerSecond, after a constant delay, and not at all while the direction is stalled. Nothing is
// lost. The zero value delays nothing.
type linkDirection struct {
	mu             sync.Mutex
	bytesPerSecond float64   // 0 if unlimited
	nextDeparture  time.Time // earliest departure of the next data
	stalledUntil   time.Time // nothing leaves before this time
	delay          time.Duration
	stalls, delays disturbances
}

// schedule returns the time at which n bytes leave that arrive at the given time.
func (l *linkDirection) schedule(at time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	at = at.Add(l.delay)
	if l.nextDeparture.After(at) {
		at = l.nextDeparture
	}
	if l.bytesPerSecond > 0 {
		at = at.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	}
	l.nextDeparture = at
	return at
}

// stall holds back all data until the given time.
func (l *linkDirection) stall(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalledUntil = until
	l.stalls.add(time.Now(), until)
	if until.After(l.nextDeparture) {
		l.nextDeparture = until
	}
}

// setDelay sets the time that data takes from now on.
func (l *linkDirection) setDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
	if d > 0 {
		l.delays.begin()
	} else {
		l.delays.end()
	}
}

// isNarrow reports whether the direction has a low bandwidth.
func (l *linkDirection) isNarrow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesPerSecond > 0
}

// waitUntilReleased returns when a chunk that is due has left every direction on its path; each
// may be stalled in the meantime.
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
	stallMu sync.Mutex // serializes stalls
	// toServers are the proxies to the servers, pathMu serializes their cuts.
	toServers []*proxy
	pathMu    sync.Mutex
	cutMu     sync.Mutex
	cutSince  time.Time // zero while the paths to the servers are not cut
}

// stall stalls both directions for d.
func (u *uplink) stall(d time.Duration) {
	until := time.Now().Add(d)
	u.out.stall(until)
	u.in.stall(until)
}

// chunk is the result of one read from a connection: its data and its error, if any.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// forwardVia copies data one way along path until a connection closes. The end of the stream is
// queued behind the data, so that everything sent before it arrives.
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
			reset(from) // ends the reading goroutine
		}
	}
}

// deliver writes a chunk and reports whether the receiver accepts more.
func deliver(p chunk, to net.Conn) bool {
	if len(p.data) > 0 {
		if _, err := to.Write(p.data); err != nil {
			return false
		}
	}
	if half, ok := tcpConn(to); ok && errors.Is(p.err, io.EOF) {
		_ = half.CloseWrite() // fails only if the peer has closed
	} else if p.err != nil {
		reset(to)
	}
	return true
}

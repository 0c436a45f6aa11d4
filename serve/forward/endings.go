package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/telemetry/event"
)

// sameMoment is how far apart servers may fail that one cause has ended.
const sameMoment = 250 * time.Millisecond

// digestBytes is the length of a request's digest.
const digestBytes = 16

// brokenOff reports whether a server broke off a connection on which a request was sent.
func brokenOff(err error) bool {
	for _, reason := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, errTorn, errRestarted} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// digest names what a caller asks for in all its attempts: the account, method, host, path,
// query and body, but neither the id of an attempt nor other headers.
func (in *inbound) digest() string {
	hash := sha256.New()
	for _, part := range []string{in.accountName(), in.method, in.host, in.target} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(in.body)
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// ending is a send that a server broke off.
type ending struct {
	in *inbound
	at choice
	// sent is when the request was sent, begun when its first event arrived, zero before.
	sent, begun time.Time
	from        string // the copy that it went on from
	err         error
}

// state is what a server is found to be after it broke off a connection.
type state string

const (
	stateEnded  state = "ended" // another process answers at its address, or none
	stateLives  state = "lives"
	stateSilent state = "silent" // nobody knows
)

// inspect finds out whether the server of a send has ended, and logs it.
func (h *Handler) inspect(e ending) {
	if !brokenOff(e.err) {
		return
	}
	now := time.Now()
	running := time.Duration(0)
	if !e.begun.IsZero() {
		running = now.Sub(e.begun)
	}
	found, fell := h.stateOf(e), h.pool.fell(now, e.at.server.Address)
	h.opts.Log.Emit(event.BackendBroke, e.in.call.ID, e.in.digest(), e.in.call.OwnPart, e.in.accountName(),
		e.at.server.ID, e.at.server.Zone, string(found), fell, now.Sub(e.sent), running, e.from, e.err)
}

// stateOf asks the address of a server for a connection: a process that ended leaves a port
// at which nobody listens.
func (h *Handler) stateOf(e ending) state {
	if errors.Is(e.err, errRestarted) {
		return stateEnded
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := h.dial(ctx, "tcp", e.at.server.Address)
	switch {
	case err == nil:
		conn.Close()
		return stateLives
	case timedOut(err):
		return stateSilent
	}
	return stateEnded
}

// fell is how many servers, but the one at address, failed about when it did.
func (p *pool) fell(now time.Time, address string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, one := range p.away {
		if other != address && now.Sub(one.since) <= sameMoment {
			n++
		}
	}
	return n
}

package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/telemetry/event"
)

// digestBytes is the length of a request's digest.
const digestBytes = 16

// brokenOff reports whether a server broke off a connection on which a request was sent.
func brokenOff(err error) bool {
	for _, reason := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, errTruncatedEvent, errRestarted} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// digests name what a caller asks for in all its attempts: the account, method, host, path and
// body, with the query and, where there is one, without it; neither the id of an attempt nor
// other headers. A query may differ from one attempt to the next, or be all that tells two
// requests apart; where it is that, whole answers clear the digest without it.
func digests(in *inbound) []string {
	list := []string{in.digest(in.target)}
	if path, _, found := strings.Cut(in.target, "?"); found {
		list = append(list, in.digest(path))
	}
	return list
}

func (in *inbound) digest(target string) string {
	hash := sha256.New()
	for _, part := range []string{in.accountName(), in.method, in.host, target} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(in.body)
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}

// brokenSend is a send that a server broke off.
type brokenSend struct {
	in *inbound
	at choice
	// sentAt is when the request was sent, begun when its first event arrived, zero before.
	sentAt, firstEventAt time.Time
	fromReplica          string // the copy that it went on from
	err                  error
}

// processState is what a server is found to be after it broke off a connection.
type processState string

const (
	stateEnded  processState = "ended" // another process answers at its address, or none
	stateLives  processState = "lives"
	stateSilent processState = "silent" // nobody knows
)

// checkForCrash finds out whether the server of a send has ended, and logs it.
func (h *Handler) checkForCrash(e brokenSend) {
	if !brokenOff(e.err) {
		return
	}
	now := time.Now()
	running := time.Duration(0)
	if !e.firstEventAt.IsZero() {
		running = now.Sub(e.firstEventAt)
	}
	found := h.stateOf(e)
	end := poison.Termination{
		Planned:      h.isLeaving(e.at.server),
		PromptUnread: e.fromReplica == "" && h.pressure.isPrefillTooLate(e.at.server.Service, e.in.call.PromptTokens, now.Sub(e.sentAt)),
		Streamed:     running,
	}
	if found == stateEnded && end.Attribute() == poison.Attributed {
		end.PeersChecked, end.PeersDown = h.lookAround(e.at.server)
	}
	finding := end.Attribute()
	h.opts.Log.Emit(event.BackendConnectionBroken, e.in.call.ID, e.in.digests, e.in.call.PromptKey, e.in.accountName(),
		e.at.server.ID, e.at.server.Zone, string(found), finding.String(), end.PeersChecked, end.PeersDown, now.Sub(e.sentAt), running, e.fromReplica, e.err)
	if found == stateEnded && finding == poison.Attributed {
		h.poisoned.recordCrash(context.Background(), e.in, e.at.server.Incarnation())
	}
}

// isLeaving reports whether a server is known to leave, alone or with all of its version.
func (h *Handler) isLeaving(s routing.Server) bool {
	view := h.opts.Feed.View()
	if h.versions.Barred(view, s) {
		return true
	}
	for _, now := range view.Servers[s.Service] {
		if now.ID == s.ID {
			return now.Draining
		}
	}
	return view.HasDeparted(s.ID)
}

// stateOf finds out whether the server of a send has ended: a process that ended leaves a port
// at which nobody listens.
func (h *Handler) stateOf(e brokenSend) processState {
	if errors.Is(e.err, errRestarted) {
		return stateEnded
	}
	return h.stateAt(e.at.server.Address)
}

func (h *Handler) stateAt(address string) processState {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := h.dial(ctx, "tcp", address)
	switch {
	case err == nil:
		conn.Close()
		return stateLives
	case isTimeout(err):
		return stateSilent
	}
	return stateEnded
}

// lookAround asks some other servers of a server's zone for a connection, and returns how many
// were asked and how many had ended.
func (h *Handler) lookAround(s routing.Server) (asked, down int) {
	var others []routing.Server
	for _, other := range h.opts.Feed.View().Servers[s.Service] {
		if other.Zone == s.Zone && other.Address != s.Address {
			others = append(others, other)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(poison.PeersToCheck, len(others))]
	var ended atomic.Int32
	var all sync.WaitGroup
	for _, other := range others {
		all.Go(func() {
			if h.stateAt(other.Address) == stateEnded {
				ended.Add(1)
			}
		})
	}
	all.Wait()
	return len(others), int(ended.Load())
}

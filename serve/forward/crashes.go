package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

// digestBytes is the length of a request's digest.
const digestBytes = 16

// isConnectionBroken reports whether err means that a server broke a connection on which a request
// was sent.
func isConnectionBroken(err error) bool {
	for _, reason := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE, errTruncatedEvent, errRestarted, sent.ErrServerExited, errNoEvents} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// digests identify a request across its attempts. Each covers the account, method, host, path and
// body; one includes the query and, where there is a query, another omits it. The attempt's id and
// other headers are left out. The query may differ between attempts of one request, or be all that
// distinguishes two requests; in the latter case complete answers clear the digest without the
// query.
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

// brokenSend is a send whose connection the server broke.
type brokenSend struct {
	in *inbound
	at choice
	// firstEventAt is when the first event of the answer arrived; zero before that.
	sentAt, firstEventAt time.Time
	fromReplica          string // name of the replica that the run resumed from; "" if none
	err                  error
}

// checkForCrash finds out whether the server of a broken send has crashed, logs it, and counts the
// crash against the request and the parts of its prompt. It reports whether one of the parts is
// suspect.
func (h *Handler) checkForCrash(e brokenSend) (suspect bool) {
	if !isConnectionBroken(e.err) {
		return false
	}
	now := time.Now()
	running := time.Duration(0)
	if !e.firstEventAt.IsZero() {
		running = now.Sub(e.firstEventAt)
	}
	found := h.serverStateOf(e)
	crash := poison.Termination{
		Planned:      h.isLeaving(e.at.server),
		PromptUnread: e.fromReplica == "" && h.pressure.isPrefillTooLate(e.at.server.Service, e.in.call.PromptTokens, now.Sub(e.sentAt)),
		Streamed:     running,
	}
	if found == sent.ServerExited {
		crash.DownBefore = h.exits.isBefore(e.at.server.Incarnation(), e.sentAt)
		h.exits.record(e.at.server.Incarnation(), now)
	}
	if found == sent.ServerExited && crash.Attribute() == poison.Attributed {
		h.checkOthers(e, &crash)
	}
	finding := crash.Attribute()
	h.opts.Log.Emit(event.BackendConnectionBroken, e.in.call.ID, e.in.digests, e.in.call.PromptKey, e.in.call.PromptParts, e.in.call.PromptTokens, e.in.accountName(),
		e.at.server.ID, e.at.server.Zone, found.String(), finding.String(), crash.PeersChecked, crash.PeersDown, now.Sub(e.sentAt), running, e.fromReplica, e.err)
	if found != sent.ServerExited || finding != poison.Attributed {
		return false
	}
	h.poisonRegistry.recordCrash(context.Background(), e.in, e.at.server.Incarnation())
	return h.poisonParts.recordCrash(context.Background(), e.in, e.at.server, now)
}

// isLeaving reports whether a server is known to leave, by itself or with its whole version.
func (h *Handler) isLeaving(s routing.Server) bool {
	view := h.opts.Feed.View()
	if h.versions.IsBlocked(view, s) || h.pool.isLeaving(s.Incarnation()) {
		return true
	}
	if current, ok := view.Servers[s.Service].Get(s.ID); ok {
		return current.Draining
	}
	return view.HasDeparted(s.ID)
}

// serverStateOf finds out whether the server process of a send has exited. No process listens on the
// port of one that has.
func (h *Handler) serverStateOf(e brokenSend) sent.ServerState {
	if errors.Is(e.err, errRestarted) || errors.Is(e.err, sent.ErrServerExited) {
		return sent.ServerExited
	}
	return h.serverStateAt(e.at.server.Address)
}

// isListed reports whether the view lists a server.
func (h *Handler) isListed(s routing.Server) bool {
	_, ok := h.opts.Feed.View().Servers[s.Service].Get(s.ID)
	return ok
}

// hasExited reports whether a call to the server at an address failed because its process has exited.
func (h *Handler) hasExited(address string, err error) bool {
	return errors.Is(err, errRestarted) || !sent.IsTimeout(err) && h.serverStateAt(address) == sent.ServerExited
}

func (h *Handler) serverStateAt(address string) sent.ServerState {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return sent.ProbeServer(ctx, h.dial, address)
}

// checkOthers checks other servers of the zone of a crashed server, and where it has few of them also those
// of other zones.
func (h *Handler) checkOthers(e brokenSend, crash *poison.Termination) {
	s := e.at.server
	inZone := h.otherServers(s, func(other routing.Server) bool { return other.Zone == s.Zone })
	crash.PeersChecked, crash.PeersDown = len(inZone), len(h.exitedOf(inZone))
	if crash.PeersChecked >= poison.MinPeersChecked {
		return
	}
	inService := h.otherServers(s, func(routing.Server) bool { return true })
	exited := h.exitedOf(inService)
	crash.OthersChecked, crash.OthersDown = len(inService), len(exited)
	for _, other := range exited {
		if h.exits.isBefore(other.Incarnation(), e.sentAt) {
			crash.OthersDownBefore++
		}
	}
}

// otherServers returns some other servers of a server's service at random.
func (h *Handler) otherServers(s routing.Server, isWanted func(routing.Server) bool) (others []routing.Server) {
	for other := range h.opts.Feed.View().Servers[s.Service].All() {
		if other.Address != s.Address && isWanted(other) {
			others = append(others, other)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(poison.PeersToCheck, len(others))]
}

// exitedOf dials servers and returns those whose processes have exited.
func (h *Handler) exitedOf(servers []routing.Server) (exited []routing.Server) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			if h.serverStateAt(s.Address) != sent.ServerExited {
				return
			}
			h.exits.record(s.Incarnation(), time.Now())
			mu.Lock()
			defer mu.Unlock()
			exited = append(exited, s)
		})
	}
	wg.Wait()
	return exited
}

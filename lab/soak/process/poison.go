package process

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"mallowwind.dev/platform/wire"
)

const (
	// poisonPrefix begins the names of requests, and of parts of prompts, that crash the servers that
	// run them.
	poisonPrefix = "poison-"
	// poisonInterval is the time between two attempts, poisonDuration the time over which they come.
	poisonInterval = 150 * time.Millisecond
	poisonDuration = 5 * time.Second
	// poisonRestartDelay is the downtime of a server that crashed on a poison request.
	poisonRestartDelay = 800 * time.Millisecond
	// maxPoisonCrashes bounds the servers that crash on one request: daemons have to learn of the
	// third crash, also those that are restarting or cut off.
	maxPoisonCrashes = 15
)

func isPoison(name string) bool { return strings.HasPrefix(name, poisonPrefix) }

// sendPoisonRequests sends requests that crash their servers, to all daemons: the same request again
// and again, or by turns different ones that share a part of their prompts.
func (h *harness) sendPoisonRequests(ctx context.Context) {
	h.mu.Lock()
	h.poisonRequests++
	name, kind := fmt.Sprintf("%s%d", poisonPrefix, h.poisonRequests), baseKinds[h.random.IntN(len(baseKinds))]
	n, sharesPart := firstPoisonCaller+h.poisonRequests, (h.opts.Seed+uint64(h.poisonRequests))%2 == 0
	h.mu.Unlock()
	if sharesPart {
		kind = callResumable
	}
	var all sync.WaitGroup
	for k := 0; time.Duration(k)*poisonInterval < poisonDuration && ctx.Err() == nil; k++ {
		all.Go(func() {
			c := h.newCaller(n)
			defer c.http.CloseIdleConnections()
			c.abandonRatio = 0
			id, own := fmt.Sprintf("%s-%d", name, k), name
			if sharesPart {
				c.poisonPart, own = name, id
			} else {
				c.requestName = name
			}
			c.checkResponse(kind, id, own, 0, c.send(ctx, kind, id, own, 0))
		})
		h.suspendBounds(ctx, poisonInterval)
	}
	all.Wait()
	h.mu.Lock()
	ends := h.crashesByName[name]
	h.mu.Unlock()
	if ends > maxPoisonCrashes {
		h.recorder.recordViolation("%d servers crashed on %s", ends, name)
	}
	h.logFault("%s crashed %d servers", name, ends)
}

// poisonName returns the name of the poison request, or of the part of prompts, on which a server
// crashes that runs a request; "" if there is none.
func poisonName(r *http.Request) string {
	for _, part := range wire.SharedPromptParts(r.Header) {
		if isPoison(part) {
			return part
		}
	}
	if name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]; isPoison(name) {
		return name
	}
	return ""
}

// firstPoisonCaller is above the numbers of all other callers.
const firstPoisonCaller = 1000

// crashOnPoison crashes the server on a poison request and restarts it later. It returns false if
// the server is retired or another fault controls its lifecycle; the server then goes on.
func (s *server) crashOnPoison(r *http.Request) bool {
	if !s.lifecycle.TryLock() {
		return false
	}
	if s.retired {
		s.lifecycle.Unlock()
		return false
	}
	s.harness.mu.Lock()
	s.harness.crashesByName[poisonName(r)]++
	s.harness.mu.Unlock()
	s.harness.recorder.count("ended")
	old := s.entry(false).ID
	s.crash()
	s.harness.restarts.Go(func() {
		defer s.lifecycle.Unlock()
		time.Sleep(poisonRestartDelay)
		s.startIncarnation(false)
		s.link.setMode(linkPass)
		s.harness.register(s, false)
		s.harness.unregister(old)
	})
	return true
}

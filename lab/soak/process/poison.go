package process

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonPrefix begins the names of requests that crash the server that runs them.
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

func isPoison(path string) bool { return strings.Contains(path, poisonPrefix) }

// sendPoisonRequests sends a request that crashes its servers again and again, to all daemons.
func (h *harness) sendPoisonRequests(ctx context.Context) {
	h.mu.Lock()
	h.poisonRequests++
	name, kind := fmt.Sprintf("%s%d", poisonPrefix, h.poisonRequests), baseKinds[h.random.IntN(len(baseKinds))]
	n := firstPoisonCaller + h.poisonRequests
	h.mu.Unlock()
	var all sync.WaitGroup
	for k := 0; time.Duration(k)*poisonInterval < poisonDuration && ctx.Err() == nil; k++ {
		all.Go(func() {
			c := h.newCaller(n)
			defer c.http.CloseIdleConnections()
			c.requestName, c.abandonRatio = name, 0
			c.checkResponse(kind, fmt.Sprintf("%s-%d", name, k), name, 0, c.send(ctx, kind, fmt.Sprintf("%s-%d", name, k), name, 0))
		})
		h.suspendBounds(ctx, poisonInterval)
	}
	all.Wait()
	h.mu.Lock()
	ends := h.crashesByRequest[name]
	h.mu.Unlock()
	if ends > maxPoisonCrashes {
		h.recorder.recordViolation("%d servers crashed on %s", ends, name)
	}
	h.logFault("%s crashed %d servers", name, ends)
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
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	s.harness.mu.Lock()
	s.harness.crashesByRequest[name]++
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

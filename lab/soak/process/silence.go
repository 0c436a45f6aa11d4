package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// A server is silent for 0.5 to 2.5 seconds.
	minSilence = 500 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
	// maxSilencePause is the longest time between the silences of servers of one kind.
	maxSilencePause = 2 * time.Second
	// silentShare is the part of the servers of one kind that is silent at a time: one in four.
	silentShare = 4
	// deliveryTime is how long after a silence the data that was held back is delivered, also on a
	// busy machine.
	deliveryTime = 500 * time.Millisecond
	// maxQueuedRequests is how many requests wait at an engine that sheds; it refuses others.
	maxQueuedRequests = 2
	// deadlineMargin is how long before its caller's timeout a daemon may give up a call.
	deadlineMargin = 300 * time.Millisecond
)

// silenceFaults are the faults of SilentServers, besides the silences and the restarts in turn.
var silenceFaults = append(
	slices.Repeat([]fault{{"burst of less urgent requests", true, (*harness).sendPlainBurst}}, 2),
	fault{"settings reloaded", true, (*harness).reloadSettings},
	fault{"key removed", true, (*harness).removeKey},
	fault{"server drained", true, (*harness).drainServer},
	fault{"route moved", true, (*harness).moveRoute},
)

// sendPlainBurst is sendBurst without anything else in its middle.
func (h *harness) sendPlainBurst(ctx context.Context) {
	d := minBurst + h.randomDuration(maxBurst-minBurst)
	stop := h.startBurst(ctx)
	defer stop()
	sleepFor(ctx, d)
}

// hasSilentServers reports whether sound servers are silent for a moment now and then, and engines
// shed requests when they are full.
func (s Scenario) hasSilentServers() bool { return s == SilentServers }

// silence holds back all data to and from the server for d, on open and on new connections. Its runs
// go on, and nothing is lost. A server that is about to end does not fall silent.
func (s *server) silence(ctx context.Context, d time.Duration) {
	s.mu.Lock()
	if s.ending {
		s.mu.Unlock()
		return
	}
	until := time.Now().Add(d)
	s.silentUntil = until
	s.requestLink.stall(until)
	s.responseLink.stall(until)
	s.mu.Unlock()
	s.harness.suspendBounds(ctx, d)
}

// isSilent reports whether the server is silent, or was so recently that data may still be on its way.
func (s *server) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil.Add(deliveryTime))
}

// prepareEnd keeps a server from falling silent before it ends.
func (s *server) prepareEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
}

// linkPaths returns the simulated links between the server and its proxy, none where no server falls
// silent and no link is delayed.
func (s *server) linkPaths() (requests, responses []*linkDirection) {
	if scenario := s.harness.opts.Scenario; !scenario.hasSilentServers() && !scenario.hasEngineFaults() {
		return nil, nil
	}
	return []*linkDirection{&s.requestLink}, []*linkDirection{&s.responseLink}
}

// silenceServers makes a part of the given servers silent at a time, again and again.
func (h *harness) silenceServers(ctx context.Context, began time.Time, servers []*server, random *rand.Rand) {
	for {
		sleepFor(ctx, time.Duration(random.Int64N(int64(maxSilencePause))))
		if time.Since(began) > h.opts.Length || ctx.Err() != nil {
			return
		}
		var silences errgroup.Group
		for _, n := range random.Perm(len(servers))[:(len(servers)+silentShare-1)/silentShare] {
			s, d := servers[n], minSilence+time.Duration(random.Int64N(int64(maxSilence-minSilence)))
			h.logFault("%6.2fs %s %s silent for %v", time.Since(began).Seconds(), s.service, s.entry(false).ID, d.Round(time.Millisecond))
			silences.Go(func() error {
				s.silence(ctx, d)
				return nil
			})
		}
		_ = silences.Wait() // the functions return no errors
	}
}

// silenceEngines and silencePlainServers draw from the seed independently of each other.
func (h *harness) silenceEngines(ctx context.Context, began time.Time) {
	h.silenceServers(ctx, began, h.serversOf("llm"), rand.New(rand.NewPCG(h.opts.Seed, 9)))
}

func (h *harness) silencePlainServers(ctx context.Context, began time.Time) {
	servers := append(h.serversOf("desk"), h.serversOf("desk2")...)
	h.silenceServers(ctx, began, servers, rand.New(rand.NewPCG(h.opts.Seed, 10)))
}

// sheds reports whether the engine refuses a request because it is full. Requests that resume from a
// copy are never refused so.
func (s *server) sheds(isResumed bool) bool {
	if !s.harness.opts.Scenario.hasSilentServers() || isResumed {
		return false
	}
	queued, _, _ := s.Load()
	return queued >= maxQueuedRequests
}

// checkCallNotLost checks that a plain call that has run is not failed by its daemon while its server
// may still answer.
func (c *caller) checkCallNotLost(id string, got result) {
	waited := time.Since(c.harness.recorder.sentRequestOf(id).sentAt)
	kind := c.harness.recorder.sentRequestOf(id).kind
	if got.err == nil && !got.abandoned && got.signature == "" && waited < callTimeouts[kind]-deadlineMargin {
		c.harness.recorder.recordViolation("%s ran, but its daemon answered %d after %v although no server failed", id, got.status, waited)
	}
}

// couldComplete reports whether a stream began to run early enough to be whole in its caller's time. A
// server that is silent delays the end of a response by one silence at most, because its runs go on.
// Elsewhere streams have time enough in any case.
func (c *caller) couldComplete(id string) bool {
	scenario, sent := c.harness.opts.Scenario, c.harness.recorder.sentRequestOf(id)
	if !scenario.hasSilentServers() {
		return true
	}
	longestRun := 2*prefillTime + eventCount*scenario.eventInterval()
	whole := c.harness.recorder.firstExecutionStart(id).Add(longestRun + maxSilence + deliveryTime)
	return whole.Before(sent.sentAt.Add(callTimeouts[sent.kind]))
}

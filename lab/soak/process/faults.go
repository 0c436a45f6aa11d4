package process

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fault is a failure or a planned operation that the harness injects.
type fault struct {
	name    string
	planned bool // must not cut any response
	inject  func(h *harness, ctx context.Context)
}

var faults = []fault{
	{"daemon killed", false, (*harness).killDaemon},
	{"daemon paused", false, (*harness).pauseDaemon},
	{"daemon stopped", true, (*harness).restartRandomDaemon},
	{"settings reloaded", true, (*harness).reloadSettings},
	{"callers cut off from a daemon", false, func(h *harness, ctx context.Context) { h.disturbLink(ctx, h.randomDaemon().callerProxy) }},
	{"daemon cut off from the store", false, func(h *harness, ctx context.Context) { h.disturbLink(ctx, h.randomDaemon().storeProxy) }},
	{"store refuses calls", false, (*harness).refuseStoreCalls},
	{"key removed while the store refuses calls", false, (*harness).removeKeyInOutage},
	{"store loses responses", false, (*harness).dropStoreResponses},
	{"server crashes", false, (*harness).crashServer},
	{"server restarts under the same ID", false, (*harness).restartServer},
	{"server cut off", false, func(h *harness, ctx context.Context) { h.disturbLink(ctx, h.randomServer().link) }},
	{"server fails part of its requests", false, (*harness).failServer},
	{"poison request", false, (*harness).sendPoisonRequests},
	{"server announces a rate limit", true, (*harness).announceRateLimit},
	{"server leaves by its responses", true, (*harness).leaveByResponses},
	{"server asks for pauses", true, (*harness).askForPauses},
	{"store comes back from an older copy", false, (*harness).restoreStore},
	{"healthy version rolled out", true, (*harness).rollOutHealthyVersion},
	{"faulty version rolled out", false, (*harness).rollOutFaultyVersion},
	{"server drained", true, (*harness).drainServer},
	{"server leaves while a daemon restarts", true, (*harness).leaveDuringRestart},
	{"key removed", true, (*harness).removeKey},
	{"route moved", true, (*harness).moveRoute},
}

// Times between faults, short enough that faults overlap, and after them.
const (
	faultPause = 700 * time.Millisecond
	settleTime = 6 * time.Second
	// maxWatchLifetime is longer than a watch lasts that began before an outage of the store.
	maxWatchLifetime          = 1200 * time.Millisecond
	recoveryCallers           = 12 // callers that send requests after recovery
	recoveryRequestsPerCaller = 6
)

// runScenario runs callers and faults, lets the deployment recover, and checks that it serves.
func (h *harness) runScenario(ctx context.Context) {
	load, stop := context.WithCancel(ctx)
	var callers, injections sync.WaitGroup
	for n := range h.opts.Callers {
		callers.Go(func() { h.newCaller(n).run(load) })
	}
	began := time.Now()
	if h.opts.Scenario.restartsInTurn() {
		injections.Go(func() { h.restartDaemonsInTurn(ctx, began) })
	}
	if h.opts.Scenario.hasSilentServers() {
		injections.Go(func() { h.silenceEngines(ctx, began) })
		injections.Go(func() { h.silencePlainServers(ctx, began) })
	}
	for time.Since(began) < h.opts.Length && ctx.Err() == nil {
		f := h.nextFault()
		h.logFault("%6.2fs %s", time.Since(began).Seconds(), f.name)
		injections.Go(func() { f.inject(h, ctx) })
		time.Sleep(faultPause/2 + h.randomDuration(faultPause))
	}
	injections.Wait()
	h.restarts.Wait()
	time.Sleep(h.opts.Scenario.settleTime())
	stop()
	callers.Wait()
	if h.opts.Scenario.hasUnequalEngines() {
		h.checkUrgency()
	}
	if h.opts.Scenario.hasPriorities() {
		h.checkProgress(ctx)
	}
	if h.opts.Timed {
		h.checkRecovered(ctx)
		h.checkNothingRunning()
		h.checkNoTwoRuns()
		h.checkFirstAttempts()
	}
}

func (h *harness) logFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultLog = append(h.faultLog, fmt.Sprintf(format, args...))
}

// checkRecovered sends requests after all faults have ended.
func (h *harness) checkRecovered(ctx context.Context) {
	var all sync.WaitGroup
	var failed atomic.Int64
	for n := range recoveryCallers {
		all.Go(func() {
			c := h.newCaller(h.opts.Callers + n)
			c.abandonRatio = 0
			for k := range recoveryRequestsPerCaller {
				if !c.request(ctx, c.kinds[k%len(c.kinds)]) {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	// Some requests carry removed keys and fail.
	if n := failed.Load(); n > recoveryCallers*recoveryRequestsPerCaller/3 {
		h.recorder.recordViolation("%d of %d requests failed after all faults had ended", n, recoveryCallers*recoveryRequestsPerCaller)
	}
}

// checkNothingRunning checks that no request still runs after all callers have left.
func (h *harness) checkNothingRunning() {
	time.Sleep(time.Second)
	for _, id := range h.recorder.unfinishedRequests() {
		h.recorder.recordViolation("%s still runs after its caller has left", id)
	}
}

func (h *harness) randomDaemon() *daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemons[h.random.IntN(len(h.daemons))]
}

// randomServer returns any server, or any engine where all regular requests are streams.
func (h *harness) randomServer() *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		if s := h.servers[h.random.IntN(len(h.servers))]; s.service == "llm" || h.opts.Scenario.hasPlainCalls() {
			return s
		}
	}
}

// randomDuration returns a duration below limit, drawn from the seed.
func (h *harness) randomDuration(limit time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.random.Int64N(int64(limit)))
}

// suspendBoundsUpTo suspends time bounds for a random duration between a quarter of limit and limit.
func (h *harness) suspendBoundsUpTo(ctx context.Context, limit time.Duration) {
	h.suspendBounds(ctx, limit/4+h.randomDuration(limit*3/4))
}

// suspendBounds waits for d. Time bounds are not checked until recoveryTime after that.
func (h *harness) suspendBounds(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	if end := time.Now().Add(d + recoveryTime); end.After(h.boundsSuspendedUntil) {
		h.boundsSuspendedUntil = end
	}
	h.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (h *harness) killDaemon(ctx context.Context) {
	d := h.randomDaemon()
	d.lifecycle.Lock()
	defer d.lifecycle.Unlock()
	d.kill()
	h.suspendBoundsUpTo(ctx, time.Second)
	if err := d.start(); err != nil {
		h.recorder.recordViolation("harness: %v", err)
	}
}

func (h *harness) pauseDaemon(ctx context.Context) {
	d := h.randomDaemon()
	d.lifecycle.Lock()
	defer d.lifecycle.Unlock()
	d.signal(syscall.SIGSTOP)
	h.suspendBoundsUpTo(ctx, 9*time.Second)
	d.signal(syscall.SIGCONT)
}

func (h *harness) restartRandomDaemon(context.Context) { h.restartDaemon(h.randomDaemon()) }

// restartDaemon stops a daemon and starts it again.
func (h *harness) restartDaemon(d *daemon) {
	d.lifecycle.Lock()
	defer d.lifecycle.Unlock()
	d.stop()
	if err := d.start(); err != nil {
		h.recorder.recordViolation("harness: %v", err)
	}
}

// reloadSettings sends SIGHUP to a daemon that is ready. In its first 6 ms a process has not
// installed its handler, and the signal would end it.
func (h *harness) reloadSettings(context.Context) {
	d := h.randomDaemon()
	d.lifecycle.Lock()
	defer d.lifecycle.Unlock()
	if d.isReady() {
		d.signal(syscall.SIGHUP)
	}
}

func (h *harness) disturbLink(ctx context.Context, p *proxy) {
	h.mu.Lock()
	mode := []linkMode{linkReset, linkSilent, linkOneWay, linkSlow}[h.random.IntN(4)]
	h.mu.Unlock()
	p.setMode(mode)
	h.suspendBoundsUpTo(ctx, 4*time.Second)
	p.setMode(linkPass)
}

func (h *harness) refuseStoreCalls(ctx context.Context) {
	h.standIn.Refuse(503)
	h.suspendBoundsUpTo(ctx, 10*time.Second)
	h.standIn.Refuse(0)
}

func (h *harness) dropStoreResponses(ctx context.Context) {
	h.standIn.DropResponses(0.4)
	h.suspendBoundsUpTo(ctx, 4*time.Second)
	h.standIn.DropResponses(0)
}

// crashServer crashes a server without a deregistration. A new server starts at its address, and
// the old entry is removed later, as by the expiry of its lease.
func (h *harness) crashServer(ctx context.Context) {
	s := h.randomServer()
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.retired {
		return
	}
	old := s.entry(false).ID
	s.crash()
	h.suspendBoundsUpTo(ctx, 1500*time.Millisecond)
	s.startIncarnation(false)
	s.link.setMode(linkPass)
	h.register(s, false)
	time.Sleep(time.Second)
	h.unregister(old)
}

// restartServer ends a server, with connection resets or silently, and restarts it under the same
// ID. The entry of the earlier incarnation may be written after that of the new one.
func (h *harness) restartServer(ctx context.Context) {
	s := h.randomServer()
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.retired {
		return
	}
	h.mu.Lock()
	silent, late := h.random.IntN(2) == 0, h.random.IntN(2) == 0
	h.mu.Unlock()
	old := s.entry(false)
	if silent {
		s.link.setMode(linkSilent)
		s.endIncarnation()
	} else {
		s.crash()
	}
	h.suspendBoundsUpTo(ctx, time.Second)
	s.startIncarnation(true)
	s.link.setMode(linkPass)
	h.register(s, false)
	if late {
		h.writeEntry(old)
		time.Sleep(time.Second) // until its next heartbeat
		h.register(s, false)
	}
}

func (h *harness) failServer(ctx context.Context) {
	s := h.randomServer()
	set := func(errorRatio, lostResponseRatio float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errorRatio, s.lostResponseRatio = errorRatio, lostResponseRatio
	}
	set(0.3, 0.3)
	h.suspendBoundsUpTo(ctx, 4*time.Second)
	set(0, 0)
}

// drainServer drains a server and replaces it.
func (h *harness) drainServer(context.Context) {
	s := h.randomServer()
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.retired {
		return
	}
	h.replaceDraining(s)
}

// replaceDraining drains a server that is not retired and replaces it. The caller holds s.lifecycle.
func (h *harness) replaceDraining(s *server) {
	h.register(s, true)
	old := s.entry(true).ID
	time.Sleep(drainPropagation + 1500*time.Millisecond)
	s.prepareEnd()
	for (h.opts.Scenario.hasDaemonLinks() || h.opts.Scenario.hasPriorities()) && (s.isBusy() || s.isSilent()) {
		time.Sleep(minEventInterval) // responses take longer in these scenarios
	}
	h.unregister(old)
	s.crash()
	s.startIncarnation(false)
	s.link.setMode(linkPass)
	h.register(s, false)
}

const (
	// unannouncedServeTime is how long a server serves on that leaves without a notice. It exceeds the time
	// after the start of a daemon in which time bounds are not checked.
	unannouncedServeTime = recoveryTime + drainPropagation + 1500*time.Millisecond
	// maxStartDelay bounds how long a daemon is down when a server has left. A stale list that it then reads may
	// still show the server.
	maxStartDelay = time.Second
)

// leaveDuringRestart removes the entry of a server, which serves on for a while, while a daemon restarts, and
// replaces the server.
func (h *harness) leaveDuringRestart(context.Context) {
	s, d := h.randomServer(), h.randomDaemon()
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.retired {
		return
	}
	d.lifecycle.Lock()
	d.stop()
	h.unregister(s.entry(false).ID)
	s.mu.Lock()
	s.drainingSince = time.Now()
	s.mu.Unlock()
	time.Sleep(h.randomDuration(maxStartDelay))
	if err := d.start(); err != nil {
		h.recorder.recordViolation("harness: %v", err)
	}
	d.lifecycle.Unlock()
	time.Sleep(unannouncedServeTime)
	s.crash()
	s.startIncarnation(false)
	s.link.setMode(linkPass)
	h.register(s, false)
}

func (h *harness) removeKey(context.Context) {
	h.mu.Lock()
	a := h.random.IntN(accountCount)
	old := h.keys[a]
	h.keys[a] = fmt.Sprintf("key-%d-%d", a, h.configVersion)
	h.mu.Unlock()
	h.writeConfig()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removedKeys[old] = time.Now()
}

// removeKeyInOutage removes a key while the store is unavailable, and keeps it unavailable for
// longer than keyRevocationDelay, so that no daemon learns of the removal in time.
func (h *harness) removeKeyInOutage(ctx context.Context) {
	h.standIn.Refuse(503)
	h.suspendBounds(ctx, maxWatchLifetime)
	h.removeKey(ctx)
	h.suspendBounds(ctx, keyRevocationDelay)
	h.suspendBoundsUpTo(ctx, keyRevocationDelay)
	h.standIn.Refuse(0)
}

func (h *harness) moveRoute(context.Context) {
	h.mu.Lock()
	h.activeService = map[string]string{"desk": "desk2", "desk2": "desk"}[h.activeService]
	h.routeMovedAt = time.Now().Add(time.Hour) // no bound applies before the write is acknowledged
	h.mu.Unlock()
	h.writeConfig()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routeMovedAt = time.Now()
}

package process

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fault is one kind of trouble.
type fault struct {
	name    string
	planned bool // it must cut nothing
	inject  func(h *harness, ctx context.Context)
}

var faults = []fault{
	{"daemon killed", false, (*harness).killDaemon},
	{"daemon paused", false, (*harness).pauseDaemon},
	{"daemon stopped", true, (*harness).restartRandomDaemon},
	{"settings read again", true, (*harness).reloadSettings},
	{"callers cut off a daemon", false, func(h *harness, ctx context.Context) { h.disturbLink(ctx, h.randomDaemon().callerProxy) }},
	{"daemon cut off the store", false, func(h *harness, ctx context.Context) { h.disturbLink(ctx, h.randomDaemon().storeProxy) }},
	{"store refuses", false, (*harness).refuseStoreCalls},
	{"key removed while the store refuses", false, (*harness).removeKeyInOutage},
	{"store loses answers", false, (*harness).dropStoreResponses},
	{"server crashes", false, (*harness).crashServer},
	{"server restarts under its id", false, (*harness).restartServer},
	{"server cut off", false, func(h *harness, ctx context.Context) { h.disturbLink(ctx, h.randomServer().link) }},
	{"server fails", false, (*harness).failServer},
	{"request that ends its servers", false, (*harness).sendPoisonRequests},
	{"server names a limit", true, (*harness).announceRateLimit},
	{"new version", true, (*harness).rollOutHealthyVersion},
	{"new version that fails in part", false, (*harness).rollOutFaultyVersion},
	{"server leaves", true, (*harness).drainServer},
	{"key removed", true, (*harness).removeKey},
	{"route moved", true, (*harness).moveRoute},
}

// Pauses between faults, so that they overlap.
const (
	faultPause = 700 * time.Millisecond
	settleTime = 6 * time.Second
	// maxWatchLifetime is longer than a watch that began before an outage may last.
	maxWatchLifetime          = 1200 * time.Millisecond
	recoveryCallers           = 12 // that ask after all is healed
	recoveryRequestsPerCaller = 6  // requests of each
)

// runScenario runs callers and faults, heals, and checks that all is served again.
func (h *harness) runScenario(ctx context.Context) {
	load, stop := context.WithCancel(ctx)
	var callers, injections sync.WaitGroup
	for n := range h.opts.Callers {
		callers.Go(func() { h.newCaller(n).run(load) })
	}
	began := time.Now()
	if h.opts.Scenario.hasDaemonLinks() {
		injections.Go(func() { h.restartDaemonsInTurn(ctx, began) })
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
	if h.opts.Timed {
		h.checkRecovered(ctx)
		h.checkNothingRunning()
	}
}

func (h *harness) logFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultLog = append(h.faultLog, fmt.Sprintf(format, args...))
}

// checkRecovered asks again now that all is healed.
func (h *harness) checkRecovered(ctx context.Context) {
	var all sync.WaitGroup
	var failed atomic.Int64
	for n := range recoveryCallers {
		all.Go(func() {
			c := h.newCaller(h.opts.Callers + n)
			c.abandonRatio = 0
			for k := range recoveryRequestsPerCaller {
				if !c.request(ctx, callKind(k%int(callKindCount))) {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	// Some bring keys that were removed.
	if n := failed.Load(); n > recoveryCallers*recoveryRequestsPerCaller/3 {
		h.recorder.recordViolation("%d of %d requests failed after all was healed", n, recoveryCallers*recoveryRequestsPerCaller)
	}
}

// checkNothingRunning looks for runs whose callers have left.
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

func (h *harness) randomServer() *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers[h.random.IntN(len(h.servers))]
}

// randomDuration is a time from the seed, below limit.
func (h *harness) randomDuration(limit time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.random.Int64N(int64(limit)))
}

// suspendBoundsUpTo is a time of trouble of a length up to limit.
func (h *harness) suspendBoundsUpTo(ctx context.Context, limit time.Duration) {
	h.suspendBounds(ctx, limit/4+h.randomDuration(limit*3/4))
}

// suspendBounds waits for d, in which bounds do not hold; they hold again a while later.
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

// reloadSettings tells a daemon that is up to read its settings again. The signal ends a
// process that has not got so far as to take it, for its first 6 ms.
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

// crashServer ends a server without a word; another starts at its address, and the
// old entry goes when its lease runs out.
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

// restartServer ends a server, behind resets or behind silence, and starts it again under
// its id. The write of the earlier life may arrive after the first of the new one.
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

// drainServer empties a server and replaces it.
func (h *harness) drainServer(context.Context) {
	s := h.randomServer()
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.retired {
		return
	}
	h.register(s, true)
	old := s.entry(true).ID
	time.Sleep(drainPropagation + 1500*time.Millisecond)
	for h.opts.Scenario.hasDaemonLinks() && len(s.Runs()) > 0 {
		time.Sleep(minEventInterval) // answers take long there
	}
	h.unregister(old)
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

// removeKeyInOutage removes a key that no daemon hears of for longer than the key
// may be used.
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
	h.routeMovedAt = time.Now().Add(time.Hour) // not in force before it is acknowledged
	h.mu.Unlock()
	h.writeConfig()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routeMovedAt = time.Now()
}

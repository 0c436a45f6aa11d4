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
	play    func(w *world, ctx context.Context)
}

var faults = []fault{
	{"daemon killed", false, (*world).killDaemon},
	{"daemon paused", false, (*world).pauseDaemon},
	{"daemon stopped", true, (*world).stopDaemon},
	{"settings read again", true, (*world).hangUp},
	{"callers cut off a daemon", false, func(w *world, ctx context.Context) { w.onLink(ctx, w.daemon().callers) }},
	{"daemon cut off the store", false, func(w *world, ctx context.Context) { w.onLink(ctx, w.daemon().store) }},
	{"store refuses", false, (*world).refuseCalls},
	{"key removed while the store refuses", false, (*world).removeKeyInOutage},
	{"store loses answers", false, (*world).loseAnswers},
	{"server crashes", false, (*world).crashServer},
	{"server restarts under its id", false, (*world).restartServer},
	{"server cut off", false, func(w *world, ctx context.Context) { w.onLink(ctx, w.server().link) }},
	{"server fails", false, (*world).failServer},
	{"request that ends its servers", false, (*world).poison},
	{"server names a limit", true, (*world).nameLimit},
	{"new version", true, (*world).goodVersion},
	{"new version that fails in part", false, (*world).badVersion},
	{"server leaves", true, (*world).leave},
	{"key removed", true, (*world).removeKey},
	{"route moved", true, (*world).moveRoute},
}

// Pauses between faults, so that they overlap.
const (
	faultPause = 700 * time.Millisecond
	settleTime = 6 * time.Second
	// heldWatch is longer than a watch that began before an outage may last.
	heldWatch   = 1200 * time.Millisecond
	lastCallers = 12 // that ask after all is healed
	lastEach    = 6  // requests of each
)

// play runs callers and faults, heals, and checks that all is served again.
func (w *world) play(ctx context.Context) {
	load, stop := context.WithCancel(ctx)
	var callers, trouble sync.WaitGroup
	for n := range w.opts.Callers {
		callers.Go(func() { w.newCaller(n).run(load) })
	}
	began := time.Now()
	if w.opts.Sort.ownLinks() {
		trouble.Go(func() { w.stopInTurn(ctx, began) })
	}
	for time.Since(began) < w.opts.Length && ctx.Err() == nil {
		f := w.draw()
		w.note("%6.2fs %s", time.Since(began).Seconds(), f.name)
		trouble.Go(func() { f.play(w, ctx) })
		time.Sleep(faultPause/2 + w.upTo(faultPause))
	}
	trouble.Wait()
	w.ending.Wait()
	time.Sleep(w.opts.Sort.settle())
	stop()
	callers.Wait()
	if w.opts.Timed {
		w.checkServed(ctx)
		w.checkEnded()
	}
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// checkServed asks again now that all is healed.
func (w *world) checkServed(ctx context.Context) {
	var all sync.WaitGroup
	var failed atomic.Int64
	for n := range lastCallers {
		all.Go(func() {
			c := w.newCaller(w.opts.Callers + n)
			c.leaves = 0
			for k := range lastEach {
				if !c.request(ctx, callKind(k%int(callKinds))) {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	// Some bring keys that were removed.
	if n := failed.Load(); n > lastCallers*lastEach/3 {
		w.ledger.violate("%d of %d requests failed after all was healed", n, lastCallers*lastEach)
	}
}

// checkEnded looks for runs whose callers have left.
func (w *world) checkEnded() {
	time.Sleep(time.Second)
	for _, id := range w.ledger.unfinished() {
		w.ledger.violate("%s still runs after its caller has left", id)
	}
}

func (w *world) daemon() *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[w.random.IntN(len(w.daemons))]
}

func (w *world) server() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[w.random.IntN(len(w.servers))]
}

// upTo is a time from the seed, below limit.
func (w *world) upTo(limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(limit)))
}

// during is a time of trouble of a length up to limit.
func (w *world) during(ctx context.Context, limit time.Duration) {
	w.disturb(ctx, limit/4+w.upTo(limit*3/4))
}

// disturb waits for d, in which bounds do not hold; they hold again a while later.
func (w *world) disturb(ctx context.Context, d time.Duration) {
	w.mu.Lock()
	if end := time.Now().Add(d + calm); end.After(w.trouble) {
		w.trouble = end
	}
	w.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (w *world) killDaemon(ctx context.Context) {
	d := w.daemon()
	d.life.Lock()
	defer d.life.Unlock()
	d.kill()
	w.during(ctx, time.Second)
	if err := d.start(); err != nil {
		w.ledger.violate("harness: %v", err)
	}
}

func (w *world) pauseDaemon(ctx context.Context) {
	d := w.daemon()
	d.life.Lock()
	defer d.life.Unlock()
	d.signal(syscall.SIGSTOP)
	w.during(ctx, 9*time.Second)
	d.signal(syscall.SIGCONT)
}

func (w *world) stopDaemon(context.Context) { w.stop(w.daemon()) }

// stop stops a daemon and starts it again.
func (w *world) stop(d *daemon) {
	d.life.Lock()
	defer d.life.Unlock()
	d.stop()
	if err := d.start(); err != nil {
		w.ledger.violate("harness: %v", err)
	}
}

// hangUp tells a daemon that is up to read its settings again. The signal ends a
// process that has not got so far as to take it, for its first 6 ms.
func (w *world) hangUp(context.Context) {
	d := w.daemon()
	d.life.Lock()
	defer d.life.Unlock()
	if d.ready() {
		d.signal(syscall.SIGHUP)
	}
}

func (w *world) onLink(ctx context.Context, p *proxy) {
	w.mu.Lock()
	mode := []linkMode{linkReset, linkSilent, linkOneWay, linkSlow}[w.random.IntN(4)]
	w.mu.Unlock()
	p.set(mode)
	w.during(ctx, 4*time.Second)
	p.set(linkPass)
}

func (w *world) refuseCalls(ctx context.Context) {
	w.standIn.Refuse(503)
	w.during(ctx, 10*time.Second)
	w.standIn.Refuse(0)
}

func (w *world) loseAnswers(ctx context.Context) {
	w.standIn.DropResponses(0.4)
	w.during(ctx, 4*time.Second)
	w.standIn.DropResponses(0)
}

// crashServer ends a server without a word; another starts at its address, and the
// old entry goes when its lease runs out.
func (w *world) crashServer(ctx context.Context) {
	s := w.server()
	s.life.Lock()
	defer s.life.Unlock()
	if s.gone {
		return
	}
	old := s.entry(false).ID
	s.crash()
	w.during(ctx, 1500*time.Millisecond)
	s.begin(false)
	s.link.set(linkPass)
	w.register(s, false)
	time.Sleep(time.Second)
	w.unregister(old)
}

// restartServer ends a server, behind resets or behind silence, and starts it again under
// its id. The write of the earlier life may arrive after the first of the new one.
func (w *world) restartServer(ctx context.Context) {
	s := w.server()
	s.life.Lock()
	defer s.life.Unlock()
	if s.gone {
		return
	}
	w.mu.Lock()
	silent, late := w.random.IntN(2) == 0, w.random.IntN(2) == 0
	w.mu.Unlock()
	old := s.entry(false)
	if silent {
		s.link.set(linkSilent)
		s.end()
	} else {
		s.crash()
	}
	w.during(ctx, time.Second)
	s.begin(true)
	s.link.set(linkPass)
	w.register(s, false)
	if late {
		w.writeEntry(old)
		time.Sleep(time.Second) // until its next heartbeat
		w.register(s, false)
	}
}

func (w *world) failServer(ctx context.Context) {
	s := w.server()
	set := func(failing, losing float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failing, s.losing = failing, losing
	}
	set(0.3, 0.3)
	w.during(ctx, 4*time.Second)
	set(0, 0)
}

// leave empties a server and replaces it.
func (w *world) leave(context.Context) {
	s := w.server()
	s.life.Lock()
	defer s.life.Unlock()
	if s.gone {
		return
	}
	w.register(s, true)
	old := s.entry(true).ID
	time.Sleep(drainAge + 1500*time.Millisecond)
	for w.opts.Sort.ownLinks() && len(s.Runs()) > 0 {
		time.Sleep(eventLeast) // answers take long there
	}
	w.unregister(old)
	s.crash()
	s.begin(false)
	s.link.set(linkPass)
	w.register(s, false)
}

func (w *world) removeKey(context.Context) {
	w.mu.Lock()
	a := w.random.IntN(accounts)
	old := w.keys[a]
	w.keys[a] = fmt.Sprintf("key-%d-%d", a, w.version)
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed[old] = time.Now()
}

// removeKeyInOutage removes a key that no daemon hears of for longer than the key
// may be used.
func (w *world) removeKeyInOutage(ctx context.Context) {
	w.standIn.Refuse(503)
	w.disturb(ctx, heldWatch)
	w.removeKey(ctx)
	w.disturb(ctx, keyAge)
	w.during(ctx, keyAge)
	w.standIn.Refuse(0)
}

func (w *world) moveRoute(context.Context) {
	w.mu.Lock()
	w.desk = map[string]string{"desk": "desk2", "desk2": "desk"}[w.desk]
	w.moved = time.Now().Add(time.Hour) // not in force before it is acknowledged
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moved = time.Now()
}

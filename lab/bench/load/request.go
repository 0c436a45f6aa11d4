package load

import (
	"math"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/serve/flow"
)

// request is one request of a caller with what became of it.
type request struct {
	id          int
	account     *account
	kind        *kind
	prompt      int
	answer      int
	prefix      uint64
	daemon      int
	sent        time.Time
	patienceEnd time.Time
	patience    *timer
	first       time.Time
	have        int // tokens the caller holds from earlier attempts
	exclude     []string
	job         *job
	lease       *flow.Lease
	waiter      *flow.Waiter
	left        bool // the caller has gone
	over        bool
	counted     bool // sent while the run measures
	again       bool // sent once more after a refusal
}

// produced is the number of tokens that a new attempt continues after.
func (r *request) produced() int { return r.have }

// expected is the cost the daemon assumes: what the caller allows, a third
// above what comes.
func (r *request) expected() int { return r.prompt + r.kind.answer*4/3 - r.have }

func (r *request) firstToken() time.Duration {
	if r.first.IsZero() {
		return 0
	}
	return r.first.Sub(r.sent)
}

// arrive sends one request of a kind from an account.
func (w *world) arrive(id int, a *account, k *kind) {
	r := &request{
		id: id, account: a, kind: k, sent: w.clock.now,
		prompt: drawn(k.prompt, w.random.ExpFloat64()),
		answer: drawn(k.answer, w.random.ExpFloat64()),
	}
	family := uint64(math.Min(7, w.random.ExpFloat64()*2))
	r.prefix = a.hash ^ (family+1)*0x9e3779b97f4a7c15
	r.counted = w.meter.sent(r)
	w.send(r)
}

// send brings a request to an entry VM.
func (w *world) send(r *request) {
	a, k := r.account, r.kind
	w.running[r] = struct{}{}
	entry, lost := w.entry(a)
	r.daemon = entry
	r.patienceEnd = w.clock.now.Add(k.service.Deadline)
	r.patience = w.clock.after(k.service.Deadline, func() { w.runOut(r) })
	w.clock.after(w.deploy.client+lost, func() { w.submit(r) })
}

func (w *world) submit(r *request) {
	if r.over || r.left {
		return
	}
	if w.daemons[r.daemon].dead {
		r.daemon = w.anyEntry()
	}
	w.daemons[r.daemon].policy.submit(r)
}

// dispatch starts an attempt on e. A policy calls it.
func (w *world) dispatch(r *request, e *engineSim) {
	j := &job{req: r, server: e, answer: float64(r.answer - r.have)}
	if w.daemons[r.daemon].policy.prioritises() {
		j.priority = priority(r.kind.service.Class)
	}
	r.job = j
	if r.first.IsZero() && !r.left {
		w.meter.dispatched(r)
	}
	j.onFirst = func() { w.firstToken(r, j) }
	j.onEnd = func(failed bool) { w.ended(r, j, failed) }
	if e.dead {
		j.over = true
		w.clock.after(0, func() { j.onEnd(true) })
		return
	}
	e.add(j)
}

func priority(c site.Class) int {
	switch c {
	case site.ClassUrgent:
		return 2
	case site.ClassNormal:
		return 1
	default:
		return 0
	}
}

// firstToken stops the caller's patience; where the caller has already gone
// this is when a policy that does not notice finds out.
func (w *world) firstToken(r *request, j *job) {
	if r.left {
		w.cancel(r, j)
		return
	}
	if r.first.IsZero() {
		r.first = w.clock.now
		r.patience.stop()
		w.meter.first(r)
	}
}

func (w *world) cancel(r *request, j *job) {
	w.meter.wasted(float64(j.req.prompt)/j.server.physics.PrefillTokensPerSecond, j.server.made(j))
	j.server.cancel(j)
	w.daemons[r.daemon].policy.ended(r, false, true)
	w.over(r)
}

// runOut is the end of a caller's patience before the first token.
func (w *world) runOut(r *request) {
	if r.over || !r.first.IsZero() {
		return
	}
	r.left = true
	w.meter.timedOut(r)
	p := w.daemons[r.daemon].policy
	switch {
	case r.job != nil && !r.job.over && p.notices():
		w.cancel(r, r.job)
	case r.job == nil && p.notices():
		p.leave(r)
		w.over(r)
	}
}

func (w *world) over(r *request) {
	r.over = true
	r.patience.stop()
	delete(w.running, r)
}

// refused is a policy's final answer to a request.
func (w *world) refused(r *request, after time.Duration) {
	if r.over {
		return
	}
	if !r.left {
		w.meter.refused(r, after)
		w.comeBack(r, after)
	}
	w.over(r)
}

// comeBack sends a refused request once more when its caller was told to.
func (w *world) comeBack(r *request, after time.Duration) {
	if w.returning == nil || r.again {
		return
	}
	again := &request{
		id: r.id, account: r.account, kind: r.kind, prompt: r.prompt, answer: r.answer,
		prefix: r.prefix, again: true,
	}
	w.clock.after(w.returning(after), func() {
		again.sent = w.clock.now
		again.counted = r.counted
		if r.counted {
			w.meter.of(r).returned++
		}
		w.send(again)
	})
}

// ended is the end of an attempt on its engine.
func (w *world) ended(r *request, j *job, failed bool) {
	if r.over || r.job != j {
		return
	}
	if !failed {
		w.daemons[r.daemon].policy.ended(r, false, false)
		w.meter.answered(r)
		w.over(r)
		return
	}
	made := 0.0
	if j.started {
		made = j.server.v - j.startV
	}
	w.clock.after(deathSeen, func() { w.attemptLost(r, j, made) })
}

// attemptLost continues a request whose engine died. The product continues
// after the tokens already released; the baselines begin again.
func (w *world) attemptLost(r *request, j *job, made float64) {
	if r.over || r.job != j {
		return
	}
	policy := w.daemons[r.daemon].policy
	if !w.daemons[r.daemon].dead {
		policy.ended(r, true, false)
	}
	r.job = nil
	if r.left {
		w.over(r)
		return
	}
	if w.policy == Product {
		r.have = min(r.answer-1, r.have+int(made))
		r.exclude = append(r.exclude, j.server.id)
	} else {
		w.meter.wasted(0, made)
	}
	w.meter.restarted(r)
	w.submit(r)
}

// killZone takes a whole zone away: engines and entry VMs.
func (w *world) killZone(zone int) {
	for _, d := range w.daemons {
		if d.zone == zone {
			d.dead = true
		}
	}
	for _, e := range w.engines {
		if e.zone == zone {
			e.die()
			id := e.id
			w.clock.after(listLag, func() { w.deadSeen[id] = true })
		}
	}
	for _, r := range w.inOrder() {
		if w.daemons[r.daemon].dead {
			w.entryLost(r)
		}
	}
}

// entryLost moves a request whose entry VM died: its caller connects elsewhere.
func (w *world) entryLost(r *request) {
	made := 0.0
	if j := r.job; j != nil {
		made = j.server.made(j)
		if j.server.dead && j.started {
			made = j.server.v - j.startV
		}
		if !j.over {
			j.server.cancel(j)
		}
		r.job = nil
	}
	r.lease, r.waiter = nil, nil
	if w.policy == Product {
		r.have = min(r.answer-1, r.have+int(made))
	} else {
		w.meter.wasted(0, made)
	}
	w.meter.restarted(r)
	w.clock.after(connectFails, func() { w.submit(r) })
}

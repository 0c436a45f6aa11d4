package prompts

import (
	"time"
)

// drop frees the copy of a run.
func (w *world) drop(r *request) {
	if r.copyAt != nil {
		w.copies[r.daemon][r.copyAt.id]--
		r.copyAt = nil
	}
}

// copyAgain makes a copy of each run whose copy was lost.
func (w *world) copyAgain(now time.Duration) {
	for _, r := range w.requests {
		if w.p.remakes && r.first > 0 && r.end == 0 && r.at != nil && !r.at.down && r.copyAt == nil {
			w.copy(now, r)
		}
	}
}

// lose takes a zone's engines down, and the copies there.
func (w *world) lose(now time.Duration, zone int, dark bool) {
	struck := w.struck(zone, dark)
	for _, r := range w.requests {
		if r.copyAt != nil && struck[r.copyAt.id] {
			w.drop(r)
		}
	}
	for _, e := range w.engines {
		if !struck[e.id] {
			continue
		}
		for _, lost := range e.fail() {
			w.broken(now, lost, dark)
		}
	}
}

// struck marks the engines that a loss takes: those of a zone, or of every other loss
// a share of them.
func (w *world) struck(zone int, whole bool) []bool {
	struck := make([]bool, len(w.engines))
	for i, e := range w.engines {
		all := whole || w.d.lossShare == 0
		struck[i] = e.zone == zone && (all || w.random.Float64() < w.d.lossShare)
	}
	return struck
}

// broken lets a lost run go on once its daemon has noticed.
func (w *world) broken(now time.Duration, lost *run, dark bool) {
	r := lost.request
	seen := resetSeen
	switch {
	case dark && r.first == 0:
		seen = unreadSeen
	case dark:
		seen = darkSeen
	}
	w.suspect[r.daemon][r.at.id] = now + seen + suspicion
	w.leave(r)
	fromCopy := r.made > 0 && r.copyAt != nil && !r.copyAt.down
	if !fromCopy {
		r.wasted += r.prompt - lost.unread
		w.drop(r)
	}
	w.pending = append(w.pending, pending{at: now + seen, r: r, copy: fromCopy})
}

// goOn continues the requests whose time has come.
func (w *world) goOn(now time.Duration) {
	due := w.pending
	w.pending = nil
	for _, p := range due {
		switch {
		case p.r.over:
		case p.at > now:
			w.pending = append(w.pending, p)
		case p.back:
			w.read(now, p.r)
		case p.copy && p.r.copyAt != nil && !p.r.copyAt.down:
			w.move(now, p.r)
		default:
			w.drop(p.r)
			w.read(now, p.r)
		}
	}
}

// move goes on from the copy.
func (w *world) move(now time.Duration, r *request) {
	e := r.copyAt
	w.drop(r)
	w.enter(r, e, false)
	e.running = append(e.running, &run{request: r, ready: now + moveTime})
	w.copy(now, r)
}

// back brings a zone's engines up again, empty.
func (w *world) back(zone int) {
	for _, e := range w.engines {
		if e.zone == zone {
			e.down = false
		}
	}
}

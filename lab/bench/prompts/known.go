package prompts

import (
	"time"

	decide "mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/route"
)

// window marks a daemon's home engines of each zone.
func (w *world) window(daemon int) []bool {
	var daemons []uint64
	for n := range w.d.daemons {
		daemons = append(daemons, uint64(n)+1)
	}
	home := make([]bool, w.d.engines)
	per := w.d.engines / zones
	for z := range zones {
		var members []uint64
		for i := range per {
			members = append(members, uint64(z*per+i)+1000)
		}
		size := (per + w.d.daemons - 1) / w.d.daemons
		for _, k := range route.Subset(uint64(daemon)+1, daemons, members, size) {
			home[z*per+k] = true
		}
	}
	return home
}

// view is what a daemon knows of the engines.
func (w *world) view(now time.Duration, daemon int, reads bool) []decide.Engine {
	engines := make([]decide.Engine, len(w.engines))
	for i, e := range w.engines {
		engines[i] = decide.Engine{
			Zone: string(rune('a' + e.zone)), Preferred: w.homes[daemon][i] && w.p.homes,
			Prefilling: w.reading[daemon][i], Running: w.running[daemon][i], Copies: w.copies[daemon][i],
			Suspect: now < w.suspect[daemon][i],
		}
		if reads && w.told() {
			engines[i].Prefilling, engines[i].Running = w.allAt(i)
		}
		if w.p.split {
			engines[i].Excluded = reads != (i%2 == 0)
		}
	}
	return engines
}

// told reports whether daemons ask each other what they have under way.
func (w *world) told() bool { return w.p.told && decide.ShouldPollPeers(w.d.daemons) }

// allAt is what all daemons have under way at an engine.
func (w *world) allAt(i int) (reading, running int) {
	for n := range w.d.daemons {
		reading += w.reading[n][i]
		running += w.running[n][i]
	}
	return reading, running
}

// enter and leave count a daemon's work at an engine.
func (w *world) enter(r *request, e *engine, reading bool) {
	r.at, r.reading = e, reading
	w.count(r, 1)
}

func (w *world) leave(r *request) { w.count(r, -1) }

func (w *world) count(r *request, n int) {
	if r.reading {
		w.reading[r.daemon][r.at.id] += n
	} else {
		w.running[r.daemon][r.at.id] += n
	}
}

// report takes down what the engines do. One that is down answers nothing.
func (w *world) report() {
	for _, e := range w.engines {
		e.copied = 0
	}
	for _, r := range w.requests {
		if r.copyAt != nil {
			r.copyAt.copied += r.size()
		}
	}
	w.reports = make([]decide.Report, len(w.engines))
	for i, e := range w.engines {
		w.reports[i] = decide.Report{PendingPrompts: len(e.reading), Running: len(e.running), UsedTokens: e.used(), CapacityTokens: e.memory}
	}
}

package prompts

import (
	"time"

	decide "mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/route"
)

// chooseHomeEngines marks a daemon's preferred engines in each zone.
func (w *world) chooseHomeEngines(daemon int) []bool {
	var daemons []uint64
	for n := range w.deployment.daemons {
		daemons = append(daemons, uint64(n)+1)
	}
	home := make([]bool, w.deployment.engines)
	per := w.deployment.engines / zones
	for z := range zones {
		var members []uint64
		for i := range per {
			members = append(members, uint64(z*per+i)+1000)
		}
		size := (per + w.deployment.daemons - 1) / w.deployment.daemons
		for _, k := range route.Subset(uint64(daemon)+1, daemons, members, size) {
			home[z*per+k] = true
		}
	}
	return home
}

// engineView returns the state of the engines as a daemon knows it, for choosing where to prefill
// (reads) or where to place a copy.
func (w *world) engineView(now time.Duration, daemon int, reads bool) []decide.Engine {
	engines := make([]decide.Engine, len(w.engines))
	for i, e := range w.engines {
		engines[i] = decide.Engine{
			Zone: string(rune('a' + e.zone)), Preferred: w.homeEngines[daemon][i] && w.policy.prefersHomeEngines,
			Prefilling: w.prefilling[daemon][i], Running: w.running[daemon][i], Copies: w.copies[daemon][i],
			Suspect: now < w.suspectUntil[daemon][i],
		}
		if reads && w.pollsPeers() {
			engines[i].Prefilling, engines[i].Running = w.totalLoad(i)
		}
		if w.policy.splitsPrefill {
			engines[i].Excluded = reads != (i%2 == 0)
		}
	}
	return engines
}

// pollsPeers reports whether daemons poll each other for their load on each engine.
func (w *world) pollsPeers() bool {
	return w.policy.pollsPeers && decide.ShouldPollPeers(w.deployment.daemons)
}

// totalLoad returns the runs of all daemons on engine i.
func (w *world) totalLoad(i int) (reading, running int) {
	for n := range w.deployment.daemons {
		reading += w.prefilling[n][i]
		running += w.running[n][i]
	}
	return reading, running
}

// addLoad assigns r to engine e and counts it in the daemon's load there; removeLoad undoes the
// count.
func (w *world) addLoad(r *request, e *engine, reading bool) {
	r.engine, r.prefilling = e, reading
	w.adjustLoad(r, 1)
}

func (w *world) removeLoad(r *request) { w.adjustLoad(r, -1) }

func (w *world) adjustLoad(r *request, n int) {
	if r.prefilling {
		w.prefilling[r.daemon][r.engine.id] += n
	} else {
		w.running[r.daemon][r.engine.id] += n
	}
}

// refreshReports records every engine's load report. Those of engines that are down aren't read
// by chooseByReport and chooseByPeerLoad.
func (w *world) refreshReports() {
	for _, e := range w.engines {
		e.copyTokens = 0
	}
	for _, r := range w.requests {
		if r.copyEngine != nil {
			r.copyEngine.copyTokens += r.contextTokens()
		}
	}
	w.reports = make([]decide.Report, len(w.engines))
	for i, e := range w.engines {
		w.reports[i] = decide.Report{PendingPrompts: len(e.prefilling), Running: len(e.running), UsedTokens: e.usedTokens(), CapacityTokens: e.capacityTokens}
	}
}

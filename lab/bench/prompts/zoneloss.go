package prompts

import (
	"time"
)

// dropCopy frees the copy of a run.
func (w *world) dropCopy(r *request) {
	if r.copyEngine != nil {
		w.copies[r.daemon][r.copyEngine.id]--
		r.copyEngine = nil
	}
}

// recreateCopies makes another copy of each run whose copy was lost.
func (w *world) recreateCopies(now time.Duration) {
	for _, r := range w.requests {
		if w.policy.recreatesCopies && r.firstEventAt > 0 && r.endedAt == 0 && r.engine != nil && !r.engine.down && r.copyEngine == nil {
			w.placeCopy(now, r)
		}
	}
}

// failZone takes engines of a zone down, with the runs and the copies they hold.
func (w *world) failZone(now time.Duration, zone int, silent bool) {
	failing := w.enginesToFail(zone, silent)
	for _, r := range w.requests {
		if r.copyEngine != nil && failing[r.copyEngine.id] {
			w.dropCopy(r)
		}
	}
	for _, e := range w.engines {
		if !failing[e.id] {
			continue
		}
		for _, lost := range e.fail() {
			w.scheduleLostRun(now, lost, silent)
		}
	}
}

// enginesToFail marks the engines that a loss takes down: all of the zone, or each with probability
// lossRatio if the loss is not whole and the deployment sets one.
func (w *world) enginesToFail(zone int, whole bool) []bool {
	failing := make([]bool, len(w.engines))
	for i, e := range w.engines {
		all := whole || w.deployment.lossRatio == 0
		failing[i] = e.zone == zone && (all || w.rng.Float64() < w.deployment.lossRatio)
	}
	return failing
}

// scheduleLostRun schedules a lost run to resume once its daemon has detected the failure.
func (w *world) scheduleLostRun(now time.Duration, lost *run, silent bool) {
	r := lost.request
	seen := resetDetectionTime
	switch {
	case silent && r.firstEventAt == 0:
		seen = silentPrefillDetectionTime
	case silent:
		seen = silentDetectionTime
	}
	w.suspectUntil[r.daemon][r.engine.id] = now + seen + suspectDuration
	w.removeLoad(r)
	fromCopy := r.emittedEvents > 0 && r.copyEngine != nil && !r.copyEngine.down
	if !fromCopy {
		r.wastedPromptTokens += r.promptTokens - lost.pendingPromptTokens
		w.dropCopy(r)
	}
	w.scheduled = append(w.scheduled, scheduledResume{at: now + seen, request: r, fromCopy: fromCopy})
}

// resumeDue resumes the scheduled requests that are due.
func (w *world) resumeDue(now time.Duration) {
	due := w.scheduled
	w.scheduled = nil
	for _, p := range due {
		switch {
		case p.request.abandoned:
		case p.at > now:
			w.scheduled = append(w.scheduled, p)
		case p.callerRetry:
			w.sendPrompt(now, p.request)
		case p.fromCopy && p.request.copyEngine != nil && !p.request.copyEngine.down:
			w.resumeFromCopy(now, p.request)
		default:
			w.dropCopy(p.request)
			w.sendPrompt(now, p.request)
		}
	}
}

// resumeFromCopy resumes a run on the engine that holds its copy.
func (w *world) resumeFromCopy(now time.Duration, r *request) {
	e := r.copyEngine
	w.dropCopy(r)
	w.addLoad(r, e, false)
	e.running = append(e.running, &run{request: r, readyAt: now + copyResumeTime})
	w.placeCopy(now, r)
}

// restoreZone brings a zone's engines up again, without any runs.
func (w *world) restoreZone(zone int) {
	for _, e := range w.engines {
		if e.zone == zone {
			e.down = false
		}
	}
}

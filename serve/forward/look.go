package forward

import (
	"context"
	"maps"
	"slices"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/peer/peerpb"
)

const (
	// maxLookProbes bounds the engines probed by one look for room of a waiting prompt. Trackers show
	// where there is room; a probe finds out about memory and engines that have failed.
	maxLookProbes = 2
	// noRoomTTL is how long a waiting prompt skips an engine whose report showed no room, unless a
	// run has ended there since as far as daemons reported it. Reports are 200 to 300 ms old, so a
	// probe before learns nothing new.
	noRoomTTL = 300 * time.Millisecond
)

// look looks once for an engine with room for a prompt that waits, and counts the prompt there. rank
// is the rank at which the trackers order it.
func (r *relay) look(ctx context.Context, view *feed.View, w *waiter, rank int) (sampledEngine, bool) {
	w.looks++
	others, complete := r.h.peers.totalWork(ctx, view, r.service)
	onlyKnown := !complete
	if !complete {
		stated := &peerpb.WaitingPrompt{Id: w.ID, Priority: int32(rank), SlackMs: w.Slack(time.Now()).Milliseconds()}
		if others, complete = r.h.workTracker.trackedWork(ctx, view, r.service, w.part, stated); others != nil {
			w.stated = stated
		}
	}
	if complete {
		return r.lookByFleetWork(ctx, view, w, others, onlyKnown)
	}
	return r.lookByReports(ctx, view, w, others)
}

// lookByFleetWork probes the engines that have room by what all daemons have in progress there, and
// that no other waiting prompt comes first at.
func (r *relay) lookByFleetWork(ctx context.Context, view *feed.View, w *waiter, others workloads, onlyKnown bool) (sampledEngine, bool) {
	excluded := append(slices.Clone(r.excluded), others.awaited()...)
	known := others.plus(r.h.pool.localWork(view, r.service))
	excluded = append(excluded, w.withoutRoom(time.Now(), view.Config.Engine(r.service).Slots, known)...)
	queries := r.h.newProbeRound()
	defer queries.suspectSilent()
	for probes := 0; probes < maxLookProbes; {
		c, pending, ok := r.h.pool.reservePrefill(time.Now(), view, r.service, others, onlyKnown, excluded)
		if !ok {
			return sampledEngine{}, false
		}
		best := sampledEngine{choice: c, report: prompts.Report{PendingPrompts: pending}}
		if admission, _ := r.admission(best); admission != prompts.Admitted {
			// Engines of different speed are not ordered by their pending prompts.
			r.h.pool.addLoad(c, -1, 0, 0)
			excluded = append(excluded, c.server.Incarnation())
			continue
		}
		probes++
		if best, answered := queries.probeReserved(ctx, c, pending); answered && r.takes(ctx, w, best, known) {
			return best, true
		}
		r.h.pool.addLoad(c, -1, 0, 0)
		excluded = append(excluded, c.server.Incarnation())
	}
	return sampledEngine{}, false
}

// lookByReports probes a few engines, if there are no trackers to ask or too few answer.
func (r *relay) lookByReports(ctx context.Context, view *feed.View, w *waiter, others workloads) (sampledEngine, bool) {
	excluded := append(slices.Clone(r.excluded), others.awaited()...)
	local := r.h.pool.localWork(view, r.service)
	excluded = append(excluded, w.withoutRoom(time.Now(), 0, local)...)
	queries := r.h.newProbeRound()
	defer queries.suspectSilent()
	candidates := r.h.pool.prefillCandidates(time.Now(), view, r.service, w.part, SampleSize, excluded)
	best, ok := r.leastLoaded(queries.sampleLoads(ctx, candidates, 0))
	if !ok || !r.takes(ctx, w, best, local) {
		return sampledEngine{}, false
	}
	r.h.pool.addLoad(best.choice, 1, 0, 0)
	return best, true
}

// takes reports whether the prompt is sent to an engine that was probed. An engine without room is
// skipped for a while.
func (r *relay) takes(ctx context.Context, w *waiter, best sampledEngine, known workloads) bool {
	if admission, _ := r.admission(best); admission == prompts.Admitted {
		return r.tryAcquirePermit(ctx, best.choice)
	}
	life := best.server.Incarnation()
	w.noRoom[life] = engineWithoutRoom{work: known[life].total(), until: time.Now().Add(noRoomTTL)}
	return false
}

// withoutRoom returns the engines that are not worth a probe now: all their slots are in use, or
// their last report showed no room and no run has ended there since. slots is 0 if it is unknown. known
// is the work of all daemons, this one included, as far as it is known.
func (w *waiter) withoutRoom(now time.Time, slots int, known workloads) (list []routing.Incarnation) {
	for life, full := range w.noRoom {
		if now.Before(full.until) && known[life].total() >= full.work {
			list = append(list, life)
		}
	}
	for life, work := range known {
		if slots > 0 && work.total() >= slots {
			list = append(list, life)
		}
	}
	return list
}

// plus returns the sum of two workloads.
func (w workloads) plus(other workloads) workloads {
	sum := maps.Clone(w)
	if sum == nil {
		sum = workloads{}
	}
	for life, more := range other {
		work := sum[life]
		work.prefilling += more.prefilling
		work.running += more.running
		sum[life] = work
	}
	return sum
}

// total returns the number of requests at an engine.
func (w workload) total() int { return w.prefilling + w.running }

// awaited returns the engines at which waiting prompts of other daemons come first.
func (w workloads) awaited() (list []routing.Incarnation) {
	for life, work := range w {
		if work.ahead > 0 {
			list = append(list, life)
		}
	}
	return list
}

// isAwaited reports whether waiting prompts of other daemons come first at some engine.
func (w workloads) isAwaited() bool { return len(w.awaited()) > 0 }

package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
)

const (
	// SampleSize is the number of engines that are probed at once to place a prompt. While a
	// third of all engines prefill a prompt, all three of a sample do in one of thirty cases.
	SampleSize = 3
	// maxSampleRounds bounds the rounds of probes for one prompt. A round takes one round trip
	// while engines respond, and fastProbeTimeout where none does.
	maxSampleRounds = 3
	// fastProbeTimeout bounds a probe that a placement waits for. It is many round trips, and
	// short compared to the prefill of a prompt.
	fastProbeTimeout = 50 * time.Millisecond
)

// sampledEngine is an engine with its report, which is empty if the engine did not respond.
type sampledEngine struct {
	choice
	report   prompts.Report
	answered bool
}

// triedEngines are engines that were found without room for a prompt, with the reports of those that
// responded.
type triedEngines struct {
	incarnations []routing.Incarnation
	reports      []sampledEngine
}

// place chooses the engine that prefills the prompt, and counts the prompt there. It prefers an
// engine that has room and prefills no other prompt. Engines that do not respond are skipped,
// since the entry of a crashed engine remains for seconds. If none responds, the one ranked first
// gets the request anyway: the daemon's own link may be at fault, and nothing is lost by trying. If
// prompts that wait at other daemons come first, it sets r.leftToOthers and returns false.
func (r *relay) place(ctx context.Context, view *feed.View) (sampledEngine, bool) {
	var others workloads
	r.leftToOthers = false
	var tried triedEngines
	if view.Config.Engine(r.service) != nil {
		var everyDaemon bool
		others, everyDaemon = r.h.peers.totalWork(ctx, view, r.service)
		complete := everyDaemon
		if !everyDaemon {
			others, complete = r.h.workTracker.trackedWork(ctx, view, r.service, r.in.call.PromptKey, nil)
		}
		if complete {
			c, without, ok := r.placeByFleetWork(ctx, view, others, !everyDaemon)
			if ok {
				r.countPlacement(c.choice)
				return c, true
			}
			if r.leftToOthers = r.mayWait(view) && others.isAwaited(); r.leftToOthers {
				return sampledEngine{}, false
			}
			if r.hasPriorities() {
				tried = without
			}
		}
	}
	c, ok := r.placeByReports(ctx, view, others, tried)
	r.h.pool.addLoad(c.choice, 1, 0, 0)
	if ok {
		r.countPlacement(c.choice)
	}
	return c, ok
}

// placeByFleetWork chooses by the requests that all daemons have in progress. The chosen engine is
// still probed: it may be dead, or full of work that no daemon reported. If none of the first few
// engines is free, the choice is left to placeByReports, which samples more of them. onlyKnown
// limits the choice to the engines in others. tried are the engines found without room.
func (r *relay) placeByFleetWork(ctx context.Context, view *feed.View, others workloads, onlyKnown bool) (chosen sampledEngine, tried triedEngines, ok bool) {
	excluded := slices.Clone(r.excluded)
	if r.mayWait(view) {
		excluded = append(excluded, others.awaited()...)
	}
	queries := r.h.newProbeRound()
	defer queries.suspectSilent()
	for range maxSampleRounds {
		c, unread, ok := r.h.pool.reservePrefill(time.Now(), view, r.service, others, onlyKnown, excluded)
		if !ok {
			break
		}
		if best, answered := queries.probeReserved(ctx, c, unread); answered {
			if best.report.CanPrefillNow(r.in.call.PromptTokens) && r.hasFreeRoom(best.report) {
				return best, tried, true
			}
			tried.reports = append(tried.reports, best)
		}
		r.h.pool.addLoad(c, -1, 0, 0)
		excluded = append(excluded, c.server.Incarnation())
		tried.incarnations = append(tried.incarnations, c.server.Incarnation())
	}
	return sampledEngine{}, tried, false
}

// probeReserved probes an engine at which reservePrefill has counted the prompt. pending is the number
// of other prompts known to be pending there, which its report may not show yet.
func (q *probeRound) probeReserved(ctx context.Context, c choice, pending int) (probed sampledEngine, answered bool) {
	sampled := q.sampleLoads(ctx, []choice{c}, 1) // 1 is the prompt itself
	if len(sampled) == 0 {
		return sampledEngine{}, false
	}
	probed = sampled[0]
	probed.report.PendingPrompts = max(probed.report.PendingPrompts, pending)
	return probed, true
}

// placeByReports chooses by the reports of a sample of engines. others is the known work of other
// daemons, which only counts where streams differ in priority. The engines in tried are part of the
// sample and are not probed again.
func (r *relay) placeByReports(ctx context.Context, view *feed.View, others workloads, tried triedEngines) (sampledEngine, bool) {
	first := r.h.pool.prefillCandidates(time.Now(), view, r.service, r.in.call.PromptKey, SampleSize, r.excluded)
	if len(first) == 0 || view.Config.Engine(r.service) == nil {
		return firstChoice(first)
	}
	excluded := append(slices.Clone(r.excluded), tried.incarnations...)
	queries := r.h.newProbeRound()
	defer queries.suspectSilent()
	sampled := r.countReserved(tried.reports, others)
	candidates := first
	// The engines probed by placeByFleetWork count as rounds: SampleSize of them as one.
	for round := len(tried.incarnations) / SampleSize; round < maxSampleRounds; round++ {
		if round > 0 || len(tried.incarnations) > 0 {
			candidates = r.h.pool.prefillCandidates(time.Now(), view, r.service, r.in.call.PromptKey, SampleSize, excluded)
		}
		for _, c := range candidates {
			excluded = append(excluded, c.server.Incarnation())
		}
		sampled = append(sampled, r.countReserved(queries.sampleLoads(ctx, candidates, 0), others)...)
		if c, ok := r.leastLoaded(sampled); ok && c.report.CanPrefillNow(r.in.call.PromptTokens) && r.hasFreeRoom(c.report) {
			return c, true
		}
	}
	if len(r.withFreeRoom(sampled)) == 0 {
		hints := r.enginesSeenWithRoom(view, excluded)
		sampled = append(sampled, r.countReserved(queries.sampleLoads(ctx, hints, 0), others)...)
	}
	if c, ok := r.leastLoaded(sampled); ok {
		return c, true
	}
	return firstChoice(first)
}

// firstChoice returns the first of a list, without a report.
func firstChoice(list []choice) (sampledEngine, bool) {
	if len(list) == 0 {
		return sampledEngine{}, false
	}
	return sampledEngine{choice: list[0]}, true
}

// leastLoaded returns the sampled engine that is best for the prompt by its report. Engines with
// room for it, beside the room kept for more urgent prompts, come first.
func (r *relay) leastLoaded(sampled []sampledEngine) (sampledEngine, bool) {
	if free := r.withFreeRoom(sampled); len(free) > 0 {
		sampled = free
	}
	reports := make([]prompts.Report, len(sampled))
	for i, s := range sampled {
		reports[i] = s.report
	}
	i := prompts.LeastLoaded(reports, r.in.call.PromptTokens)
	if i < 0 {
		return sampledEngine{}, false
	}
	return sampled[i], true
}

// sampleLoads probes engines for their load and returns those that respond, in the order given.
// counted is the number of prompts that the pool counts at each engine but that were not sent yet.
func (q *probeRound) sampleLoads(ctx context.Context, candidates []choice, counted int) []sampledEngine {
	sampled := make([]*sampledEngine, len(candidates))
	var wg sync.WaitGroup
	for i, c := range candidates {
		wg.Go(func() {
			report, err := q.probe(ctx, c.server, fastProbeTimeout)
			if err != nil {
				return
			}
			load := q.h.loadOf(c.server, report)
			load.PendingPrompts = max(load.PendingPrompts, q.h.pool.prefillCount(c)-counted) // a report lags
			q.h.paces.rateReport(time.Now(), c.server, &load)
			sampled[i] = &sampledEngine{choice: c, report: load, answered: true}
		})
	}
	wg.Wait()
	var responded []sampledEngine
	for _, a := range sampled {
		if a != nil {
			responded = append(responded, *a)
		}
	}
	return responded
}

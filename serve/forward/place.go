package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/prompts"
)

const (
	// SampleSize is how many engines are asked at once where a prompt could be read.
	// With a third of the engines reading, all three do in one of thirty cases.
	SampleSize = 3
	// maxSampleRounds bounds the questions before one prompt. They take a round trip each
	// while engines answer, and askLimit each where none does.
	maxSampleRounds = 3
	// fastProbeTimeout is how long an engine may take to answer a question on which a choice
	// waits: many round trips, and short beside the reading of a prompt.
	fastProbeTimeout = 50 * time.Millisecond
)

// sampledEngine is an engine with its answer; the report is empty where it gave none.
type sampledEngine struct {
	choice
	report   prompts.Report
	answered bool
}

// place chooses the engine that reads the prompt, and counts the prompt there: one that
// has room and reads no other now. Engines that do not answer are passed over, since the
// entry of one that died stays for seconds. Where none answers the best known gets the
// request all the same: the link from here may be at fault, and it loses nothing to try.
func (r *relay) place(ctx context.Context, view *feed.View) (sampledEngine, bool) {
	if view.Config.Engine(r.service) != nil {
		others, all := r.h.neighbours.totalWork(ctx, view, r.service)
		known := all
		if !all {
			others, known = r.h.keepers.trackedWork(ctx, view, r.service, r.in.call.PromptKey)
		}
		if known {
			if c, ok := r.placeByFleetWork(ctx, view, others, !all); ok {
				return c, true
			}
		}
	}
	c, ok := r.placeByReports(ctx, view)
	r.h.pool.addLoad(c.choice, 1, 0, 0)
	return c, ok
}

// placeByFleetWork chooses by what all daemons have under way. The engine chosen is asked all
// the same: it may be dead, or full of what nobody told. Where none of the first few is
// free the choice is left to the reports of more. among says that the engines in others are
// those to choose from.
func (r *relay) placeByFleetWork(ctx context.Context, view *feed.View, others workloads, among bool) (sampledEngine, bool) {
	excluded := slices.Clone(r.excluded)
	asked := r.h.newProbeRound()
	defer asked.suspectSilent()
	for range maxSampleRounds {
		c, unread, ok := r.h.pool.reservePrefill(time.Now(), view, r.service, others, among, excluded)
		if !ok {
			return sampledEngine{}, false
		}
		// The prompt itself is counted there by now.
		if seen := asked.sampleLoads(ctx, []choice{c}, 1); len(seen) == 1 {
			best := seen[0]
			best.report.PendingPrompts = max(best.report.PendingPrompts, unread) // a report lags
			if best.report.CanPrefillNow(r.in.call.PromptTokens) {
				return best, true
			}
		}
		r.h.pool.addLoad(c, -1, 0, 0)
		excluded = append(excluded, c.server.Incarnation())
	}
	return sampledEngine{}, false
}

// placeByReports chooses by the reports of engines.
func (r *relay) placeByReports(ctx context.Context, view *feed.View) (sampledEngine, bool) {
	first := r.h.pool.prefillCandidates(time.Now(), view, r.service, r.in.call.PromptKey, SampleSize, r.excluded)
	if len(first) == 0 || view.Config.Engine(r.service) == nil {
		return firstChoice(first)
	}
	excluded := slices.Clone(r.excluded)
	asked := r.h.newProbeRound()
	defer asked.suspectSilent()
	var seen []sampledEngine
	candidates := first
	for round := range maxSampleRounds {
		if round > 0 {
			candidates = r.h.pool.prefillCandidates(time.Now(), view, r.service, r.in.call.PromptKey, SampleSize, excluded)
		}
		for _, c := range candidates {
			excluded = append(excluded, c.server.Incarnation())
		}
		seen = append(seen, asked.sampleLoads(ctx, candidates, 0)...)
		if c, ok := r.leastLoaded(seen); ok && c.report.CanPrefillNow(r.in.call.PromptTokens) {
			return c, true
		}
	}
	if c, ok := r.leastLoaded(seen); ok {
		return c, true
	}
	return firstChoice(first)
}

// firstChoice is the first of a list, of which no report is known.
func firstChoice(list []choice) (sampledEngine, bool) {
	if len(list) == 0 {
		return sampledEngine{}, false
	}
	return sampledEngine{choice: list[0]}, true
}

func (r *relay) leastLoaded(seen []sampledEngine) (sampledEngine, bool) {
	reports := make([]prompts.Report, len(seen))
	for i, s := range seen {
		reports[i] = s.report
	}
	i := prompts.LeastLoaded(reports, r.in.call.PromptTokens)
	if i < 0 {
		return sampledEngine{}, false
	}
	return seen[i], true
}

// sampleLoads asks engines for their load and returns those that answer, in the order given.
// counted is how many prompts that were not sent yet are counted at each.
func (q *probeRound) sampleLoads(ctx context.Context, candidates []choice, counted int) []sampledEngine {
	answers := make([]*sampledEngine, len(candidates))
	var all sync.WaitGroup
	for i, c := range candidates {
		all.Go(func() {
			report, err := q.probe(ctx, c.server, fastProbeTimeout)
			if err != nil {
				return
			}
			load := report.loadReport()
			load.PendingPrompts = max(load.PendingPrompts, q.h.pool.prefillCount(c)-counted) // a report lags
			answers[i] = &sampledEngine{choice: c, report: load, answered: true}
		})
	}
	all.Wait()
	var seen []sampledEngine
	for _, a := range answers {
		if a != nil {
			seen = append(seen, *a)
		}
	}
	return seen
}

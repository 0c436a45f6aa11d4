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
	// Asked is how many engines are asked at once where a prompt could be read.
	// With a third of the engines reading, all three do in one of thirty cases.
	Asked = 3
	// askRounds bounds the questions before one prompt. They take a round trip each
	// while engines answer, and askLimit each where none does.
	askRounds = 3
	// askLimit is how long an engine may take to answer a question on which a choice
	// waits: many round trips, and short beside the reading of a prompt.
	askLimit = 50 * time.Millisecond
)

// surveyed is an engine with its answer; the report is empty where it gave none.
type surveyed struct {
	choice
	report   prompts.Report
	answered bool
}

// place chooses the engine that reads the prompt, and counts the prompt there: one that
// has room and reads no other now. Engines that do not answer are passed over, since the
// entry of one that died stays for seconds. Where none answers the best known gets the
// request all the same: the link from here may be at fault, and it loses nothing to try.
func (r *relay) place(ctx context.Context, view *feed.View) (surveyed, bool) {
	if view.Config.Engine(r.service) != nil {
		others, all := r.h.neighbours.work(ctx, view, r.service)
		known := all
		if !all {
			others, known = r.h.keepers.work(ctx, view, r.service, r.in.call.OwnPart)
		}
		if known {
			if c, ok := r.placeKnowing(ctx, view, others, !all); ok {
				return c, true
			}
		}
	}
	c, ok := r.placeAsking(ctx, view)
	r.h.pool.count(c.choice, 1, 0, 0)
	return c, ok
}

// placeKnowing chooses by what all daemons have under way. The engine chosen is asked all
// the same: it may be dead, or full of what nobody told. Where none of the first few is
// free the choice is left to the reports of more. among says that the engines in others are
// those to choose from.
func (r *relay) placeKnowing(ctx context.Context, view *feed.View, others workAt, among bool) (surveyed, bool) {
	excluded := slices.Clone(r.failed)
	asked := r.h.questions()
	defer asked.judge()
	for range askRounds {
		c, unread, ok := r.h.pool.reader(time.Now(), view, r.service, others, among, excluded)
		if !ok {
			return surveyed{}, false
		}
		// The prompt itself is counted there by now.
		if seen := asked.survey(ctx, []choice{c}, 1); len(seen) == 1 {
			best := seen[0]
			best.report.PendingPrompts = max(best.report.PendingPrompts, unread) // a report lags
			if best.report.CanPrefillNow(r.in.call.PromptTokens) {
				return best, true
			}
		}
		r.h.pool.count(c, -1, 0, 0)
		excluded = append(excluded, c.server.Life())
	}
	return surveyed{}, false
}

// placeAsking chooses by the reports of engines.
func (r *relay) placeAsking(ctx context.Context, view *feed.View) (surveyed, bool) {
	first := r.h.pool.readers(time.Now(), view, r.service, r.in.call.OwnPart, Asked, r.failed)
	if len(first) == 0 || view.Config.Engine(r.service) == nil {
		return firstOf(first)
	}
	excluded := slices.Clone(r.failed)
	asked := r.h.questions()
	defer asked.judge()
	var seen []surveyed
	candidates := first
	for round := range askRounds {
		if round > 0 {
			candidates = r.h.pool.readers(time.Now(), view, r.service, r.in.call.OwnPart, Asked, excluded)
		}
		for _, c := range candidates {
			excluded = append(excluded, c.server.Life())
		}
		seen = append(seen, asked.survey(ctx, candidates, 0)...)
		if c, ok := r.quietest(seen); ok && c.report.CanPrefillNow(r.in.call.PromptTokens) {
			return c, true
		}
	}
	if c, ok := r.quietest(seen); ok {
		return c, true
	}
	return firstOf(first)
}

// firstOf is the first of a list, of which no report is known.
func firstOf(list []choice) (surveyed, bool) {
	if len(list) == 0 {
		return surveyed{}, false
	}
	return surveyed{choice: list[0]}, true
}

func (r *relay) quietest(seen []surveyed) (surveyed, bool) {
	reports := make([]prompts.Report, len(seen))
	for i, s := range seen {
		reports[i] = s.report
	}
	i := prompts.LeastLoaded(reports, r.in.call.PromptTokens)
	if i < 0 {
		return surveyed{}, false
	}
	return seen[i], true
}

// survey asks engines for their load and returns those that answer, in the order given.
// counted is how many prompts that were not sent yet are counted at each.
func (q *questions) survey(ctx context.Context, candidates []choice, counted int) []surveyed {
	answers := make([]*surveyed, len(candidates))
	var all sync.WaitGroup
	for i, c := range candidates {
		all.Go(func() {
			report, err := q.ask(ctx, c.server, askLimit)
			if err != nil {
				return
			}
			load := report.load()
			load.PendingPrompts = max(load.PendingPrompts, q.h.pool.reading(c)-counted) // a report lags
			answers[i] = &surveyed{choice: c, report: load, answered: true}
		})
	}
	all.Wait()
	var seen []surveyed
	for _, a := range answers {
		if a != nil {
			seen = append(seen, *a)
		}
	}
	return seen
}

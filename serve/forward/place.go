package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
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
	report prompts.Report
}

// place chooses the engine that reads the prompt: one that has room and reads no
// other now. Engines that do not answer are passed over, since the entry of one that died
// stays for seconds. Where none answers the best known gets the request all the
// same: the link from here may be at fault, and it loses nothing to try.
func (r *relay) place(ctx context.Context, view *feed.View) (surveyed, bool) {
	first := r.h.pool.readers(time.Now(), view, r.service, Asked, r.failed)
	if len(first) == 0 || view.Config.Engine(r.service) == nil {
		return firstOf(first)
	}
	excluded := slices.Clone(r.failed)
	var seen []surveyed
	candidates := first
	for round := range askRounds {
		if round > 0 {
			candidates = r.h.pool.readers(time.Now(), view, r.service, Asked, excluded)
		}
		for _, c := range candidates {
			excluded = append(excluded, c.server.Life())
		}
		seen = append(seen, r.h.survey(ctx, candidates)...)
		if c, ok := r.quietest(seen); ok && c.report.Free(r.in.call.PromptTokens) {
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
	i := prompts.Quietest(reports, r.in.call.PromptTokens)
	if i < 0 {
		return surveyed{}, false
	}
	return seen[i], true
}

// silent makes an engine suspect that was asked in vain, unless the question was ended
// from here or a later life answered, which is as good as any.
func (h *Handler) silent(ctx context.Context, s routing.Server, err error) {
	if ctx.Err() == nil && !errors.Is(err, errRestarted) {
		h.pool.failed(time.Now(), s.Life())
	}
}

// survey asks engines for their load. Those that do not answer are suspect from
// then on; the others are returned in the order given.
func (h *Handler) survey(ctx context.Context, candidates []choice) []surveyed {
	answers := make([]*surveyed, len(candidates))
	var all sync.WaitGroup
	for i, c := range candidates {
		all.Go(func() {
			report, err := h.probe(ctx, c.server, askLimit)
			if err != nil {
				h.silent(ctx, c.server, err)
				return
			}
			load := report.load()
			load.Unread = max(load.Unread, h.pool.reading(c)) // a report lags
			answers[i] = &surveyed{choice: c, report: load}
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

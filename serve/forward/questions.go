package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
)

// probeRound are those that one choice asks of engines, and what they show of the engines
// that do not answer.
//
// The failure it guards against: the link of the VM is held up for a second, no engine
// answers, and the daemon takes dozens of engines for dead that work. It chooses among
// suspects only for seconds after. It holds because an engine that does not answer in time
// is suspect only where the way to another has worked for a question of the same choice.
type probeRound struct {
	h         *Handler
	mu        sync.Mutex
	linkWorks bool // the way to an engine works
	silent    []routing.Server
}

func (h *Handler) newProbeRound() *probeRound { return &probeRound{h: h} }

// probe asks an engine for a sign of life.
func (q *probeRound) probe(ctx context.Context, s routing.Server, limit time.Duration) (Report, error) {
	report, err := q.h.probe(ctx, s, limit)
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, errRestarted): // a later life is as good as any
		q.linkWorks = true
	case ctx.Err() != nil: // the question was ended from here
	case isTimeout(err):
		q.silent = append(q.silent, s)
	default:
		q.linkWorks = true
		q.h.pool.recordFailure(time.Now(), s)
	}
	return report, err
}

// suspectSilent makes the engines suspect that were silent while the way to another worked.
func (q *probeRound) suspectSilent() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.linkWorks {
		return
	}
	for _, s := range q.silent {
		q.h.pool.recordFailure(time.Now(), s)
	}
}

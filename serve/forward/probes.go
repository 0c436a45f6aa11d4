package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
)

// probeRound groups the probes sent for one choice of an engine and decides what the missing
// answers mean.
//
// It guards against blaming engines for a stalled link: the VM's link stalls for a second, no
// engine answers, and the daemon would suspect dozens of healthy engines and choose among suspects
// only for seconds afterwards. An engine that times out therefore becomes suspect only if another
// engine was reached by a probe of the same round.
type probeRound struct {
	h         *Handler
	mu        sync.Mutex
	linkWorks bool // some engine was reached
	silent    []routing.Server
}

func (h *Handler) newProbeRound() *probeRound { return &probeRound{h: h} }

// probe probes one engine.
func (q *probeRound) probe(ctx context.Context, s routing.Server, limit time.Duration) (Report, error) {
	report, err := q.h.probe(ctx, s, limit)
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, errRestarted): // a newer incarnation proves the link just as well
		q.linkWorks = true
	case ctx.Err() != nil: // canceled by this daemon
	case sent.IsTimeout(err):
		q.silent = append(q.silent, s)
	default:
		q.linkWorks = true
		q.h.pool.recordFailure(time.Now(), s)
	}
	return report, err
}

// suspectSilent suspects the engines that timed out while another engine was reached.
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

package slopes

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/lab/report"
)

const (
	resumeTokens = 200 // 6 s of one stream
	killAfter    = 60  // tokens of each stream before its engine dies
)

// resumeExperiments are what callers wait when the engine of their answers
// dies: it forgets its generations, resets their connections and answers no more.
func resumeExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("streams", ""), Sizes: []int{16, 32, 64, 128},
		Quantities: []Quantity{
			{"resume_engine_time", "Longest wait between two tokens of any of N streams of one daemon on seven engines, one of which dies; the stand-ins' prefill included.", report.Col("wait", "ms")},
		},
		Run: one(resumeEngine),
	}}
}

// progress is one stream's tokens as they reach its caller.
type progress struct {
	tokens  atomic.Int64
	last    time.Time // of the last token; only the reader uses it
	longest time.Duration
}

func (p *progress) token() {
	now := time.Now()
	if p.tokens.Add(1) > 1 {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// resumeEngine runs the streams of one daemon on the seven engines of one model
// and kills the one with the most.
func resumeEngine(ctx context.Context, streams int, _ *rand.Rand) (float64, error) {
	s, err := relayStack(ctx)
	if err != nil {
		return 0, err
	}
	all := make([]progress, streams)
	var g errgroup.Group
	for i := range all {
		g.Go(func() error {
			// Every stream asks for the same model: the index of a stream names it.
			_, err := s.throughDaemons().read(ctx, http.DefaultClient, i*models*relayDaemons, resumeTokens, all[i].token)
			return err
		})
	}
	ended := make(chan error, 1)
	go func() { ended <- g.Wait() }()
	for !reached(all, killAfter) {
		select {
		case err := <-ended:
			return 0, errors.Errorf("streams ended before the engine was killed: %v", err)
		case <-time.After(pace):
		}
	}
	s.killBusiest()
	if err := <-ended; err != nil {
		return 0, err
	}
	var longest time.Duration
	for i := range all {
		longest = max(longest, all[i].longest)
	}
	return float64(longest) / float64(time.Millisecond), s.close()
}

func reached(all []progress, n int64) bool {
	for i := range all {
		if all[i].tokens.Load() < n {
			return false
		}
	}
	return true
}

// killBusiest kills the engine with the most running generations.
func (s *stack) killBusiest() {
	busiest, most := 0, -1
	for i, sim := range s.sims {
		status, err := sim.Status(context.Background())
		if err == nil && status.Running > most {
			busiest, most = i, status.Running
		}
	}
	s.sims[busiest].Crash()
	s.engines[busiest].CloseClientConnections()
}

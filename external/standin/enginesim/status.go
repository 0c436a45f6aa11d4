package enginesim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mallowwind.dev/external/engine"
)

// figures are the load at one time.
type figures struct {
	at       time.Time
	running  int
	waiting  int
	tokens   int64
	perS     float64
	measured bool
}

// loadReport keeps two samples of the load, so that the one reported is at
// least as old as the lag whenever work goes on.
type loadReport struct {
	old, recent figures
}

// sample takes figures when the recent ones are as old as the lag.
func (l *loadReport) sample(s *Sim) {
	now := time.Now()
	if l.recent.measured && now.Sub(l.recent.at) < s.config.StatusLag {
		return
	}
	f := figures{at: now, running: len(s.batch), waiting: len(s.queue), tokens: s.stats.Tokens, measured: true}
	if d := now.Sub(l.recent.at); l.recent.measured && d > 0 {
		f.perS = float64(f.tokens-l.recent.tokens) / d.Seconds()
	}
	if d := now.Sub(l.recent.at); d == 0 {
		f.perS = l.recent.perS
	}
	l.old, l.recent = l.recent, f
}

func (l *loadReport) reported(lag time.Duration) figures {
	if lag > 0 && l.old.measured {
		return l.old
	}
	return l.recent
}

// Status implements engine.Engine. Models, role and fence are exact; the load
// figures are old by Age.
func (s *Sim) Status(ctx context.Context) (engine.Status, error) {
	if err := s.enter(ctx); err != nil {
		return engine.Status{}, err
	}
	defer s.mu.Unlock()
	s.weights.settle(s.uses)
	s.load.sample(s)
	f := s.load.reported(s.config.StatusLag)
	status := engine.Status{
		Incarnation:     fmt.Sprintf("%s-%d", s.config.Name, s.incarnation),
		Role:            s.weights.role,
		Models:          slices.Clone(s.weights.models),
		Running:         f.running,
		Waiting:         f.waiting,
		Slots:           s.config.Slots,
		TokensPerSecond: f.perS,
		Age:             time.Since(f.at),
	}
	if s.config.EnforceFencing {
		status.Fence = s.weights.fence
	}
	return status, nil
}

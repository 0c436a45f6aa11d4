package enginesim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mallowwind.dev/external/engine"
)

// loadSample are the load at one time.
type loadSample struct {
	sampledAt       time.Time
	running         int
	waiting         int
	tokens          int64
	tokensPerSecond float64
	valid           bool
}

// loadSampler keeps two samples of the load, so that the one reported is at
// least as old as the lag whenever work goes on.
type loadSampler struct {
	previous, latest loadSample
}

// sample takes figures when the recent ones are as old as the lag.
func (l *loadSampler) sample(s *Sim) {
	now := time.Now()
	if l.latest.valid && now.Sub(l.latest.sampledAt) < s.config.StatusLag {
		return
	}
	f := loadSample{sampledAt: now, running: len(s.batch), waiting: len(s.queue), tokens: s.stats.Tokens, valid: true}
	if d := now.Sub(l.latest.sampledAt); l.latest.valid && d > 0 {
		f.tokensPerSecond = float64(f.tokens-l.latest.tokens) / d.Seconds()
	}
	if d := now.Sub(l.latest.sampledAt); d == 0 {
		f.tokensPerSecond = l.latest.tokensPerSecond
	}
	l.previous, l.latest = l.latest, f
}

func (l *loadSampler) reported(lag time.Duration) loadSample {
	if lag > 0 && l.previous.valid {
		return l.previous
	}
	return l.latest
}

// Status implements engine.Engine. Models, role and fence are exact; the load
// figures are old by Age.
func (s *Sim) Status(ctx context.Context) (engine.Status, error) {
	if err := s.beginCall(ctx); err != nil {
		return engine.Status{}, err
	}
	defer s.mu.Unlock()
	s.weights.dropUnused(s.isInUse)
	s.loadHistory.sample(s)
	f := s.loadHistory.reported(s.config.StatusLag)
	status := engine.Status{
		Incarnation: fmt.Sprintf("%s-%d", s.config.Name, s.incarnation),
		Role:        s.weights.role,
		Models:      slices.Clone(s.weights.models),
		Running:     f.running,
		Waiting:     f.waiting,
		Slots:       s.config.Slots,
		TokensPerS:  f.tokensPerSecond,
		Age:         time.Since(f.sampledAt),
	}
	if s.config.EnforceFencing {
		status.Fence = s.weights.fence
	}
	return status, nil
}

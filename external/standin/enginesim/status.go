package enginesim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mallowwind.dev/external/engine"
)

// loadSample is the load of the engine at one point in time.
type loadSample struct {
	sampledAt       time.Time
	running         int
	waiting         int
	tokens          int64
	tokensPerSecond float64
	valid           bool
}

// loadSampler keeps the last two samples of the load. They are taken at least StatusLag apart,
// so that the previous one is at least that old. With a lag above 0 the previous one is reported
// as soon as it exists.
type loadSampler struct {
	previous, latest loadSample
}

// sample takes a new sample once the latest one is at least StatusLag old.
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

// Status implements engine.Engine. Models, role and fence are current; the load figures are as
// old as Age says.
func (s *Sim) Status(ctx context.Context) (engine.Status, error) {
	if err := s.beginCall(ctx); err != nil {
		return engine.Status{}, err
	}
	defer s.mu.Unlock()
	s.weights.dropUnused(s.isInUse)
	s.loadHistory.sample(s)
	f := s.loadHistory.reported(s.config.StatusLag)
	status := engine.Status{
		Incarnation:     fmt.Sprintf("%s-%d", s.config.Name, s.incarnation),
		Role:            s.weights.role,
		Models:          slices.Clone(s.weights.models),
		Running:         f.running,
		Waiting:         f.waiting,
		Slots:           s.config.Slots,
		TokensPerSecond: f.tokensPerSecond,
		Age:             time.Since(f.sampledAt),
	}
	if s.config.EnforceFencing {
		status.Fence = s.weights.fence
	}
	return status, nil
}

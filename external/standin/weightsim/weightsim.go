// Package weightsim is the stand-in for the rate-limited weight store: a bound
// on fetches at once, each slower the more run beside it.
package weightsim

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/weights"
)

// Sim is one weight store. It is safe for concurrent use and runs in virtual time.
type Sim struct {
	slots chan struct{}
	fetch time.Duration

	mu     sync.Mutex
	active int
	slow   float64
	counts map[engine.ModelRef]int
}

var _ weights.Store = (*Sim)(nil)

// New returns a weight store that serves capacity fetches at once, one alone
// taking fetch.
func New(capacity int, fetch time.Duration) *Sim {
	return &Sim{
		slots:  make(chan struct{}, capacity),
		fetch:  fetch,
		slow:   1,
		counts: make(map[engine.ModelRef]int),
	}
}

// Fetch waits for a slot and then as long as the fetch takes.
func (s *Sim) Fetch(ctx context.Context, ref engine.ModelRef) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.slots }()
	t := time.NewTimer(s.begin(ref))
	defer t.Stop()
	defer s.end()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Sim) begin(ref engine.ModelRef) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	s.counts[ref]++
	return s.typical(s.active)
}

func (s *Sim) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// typical is the time of a fetch among n: the bandwidth is shared.
func (s *Sim) typical(n int) time.Duration {
	return time.Duration(float64(s.fetch) * s.slow * float64(max(n, 1)))
}

// SetSlowdown multiplies the time of fetches that begin from now on; 1 is usual.
func (s *Sim) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// FetchCount returns how often each set of weights was fetched.
func (s *Sim) FetchCount(ref engine.ModelRef) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[ref]
}

// Status implements weights.Store.
func (s *Sim) Status(ctx context.Context) (weights.Status, error) {
	if err := ctx.Err(); err != nil {
		return weights.Status{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return weights.Status{Capacity: cap(s.slots), Active: s.active, FetchDuration: s.typical(s.active)}, nil
}

// Handler serves the report in its wire form: one GET, one JSON object.
func Handler(s weights.Store) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, err := s.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status)
	})
}

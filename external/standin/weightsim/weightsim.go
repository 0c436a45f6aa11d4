// Package weightsim simulates the rate-limited weight store: the number of concurrent fetches is
// bounded, and concurrent fetches share the bandwidth.
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

// Sim is one simulated weight store. It is safe for concurrent use and also runs in virtual time.
type Sim struct {
	slots     chan struct{}
	fetchTime time.Duration

	mu            sync.Mutex
	activeFetches int
	slowdown      float64
	fetchCounts   map[engine.ModelRef]int
}

var _ weights.Store = (*Sim)(nil)

// New returns a weight store that serves up to capacity concurrent fetches. A single fetch takes
// fetchTime.
func New(capacity int, fetchTime time.Duration) *Sim {
	return &Sim{
		slots:       make(chan struct{}, capacity),
		fetchTime:   fetchTime,
		slowdown:    1,
		fetchCounts: make(map[engine.ModelRef]int),
	}
}

// Fetch waits for a slot and then for the duration of the fetch.
func (s *Sim) Fetch(ctx context.Context, ref engine.ModelRef) error {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.slots }()
	t := time.NewTimer(s.startFetch(ref))
	defer t.Stop()
	defer s.endFetch()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Sim) startFetch(ref engine.ModelRef) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFetches++
	s.fetchCounts[ref]++
	return s.fetchDuration(s.activeFetches)
}

func (s *Sim) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFetches--
}

// fetchDuration returns the time of a fetch while n fetches run, which share the bandwidth.
func (s *Sim) fetchDuration(n int) time.Duration {
	return time.Duration(float64(s.fetchTime) * s.slowdown * float64(max(n, 1)))
}

// SetSlowdown sets the factor by which the time of later fetches is multiplied; 1 is the default.
func (s *Sim) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// FetchCount returns how often the weights ref were fetched, including fetches in progress or
// canceled.
func (s *Sim) FetchCount(ref engine.ModelRef) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetchCounts[ref]
}

// Status implements weights.Store.
func (s *Sim) Status(ctx context.Context) (weights.Status, error) {
	if err := ctx.Err(); err != nil {
		return weights.Status{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return weights.Status{Capacity: cap(s.slots), Active: s.activeFetches, FetchDuration: s.fetchDuration(s.activeFetches)}, nil
}

// Handler serves the status of s as a JSON object.
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

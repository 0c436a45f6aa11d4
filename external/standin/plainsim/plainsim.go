// Package plainsim simulates a plain service, such as an ordering or dispatch system. It runs every
// call that it receives and counts the runs by Idempotency-Key. It does not deduplicate, so that a call
// that is sent twice shows up as two runs.
package plainsim

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

const (
	// IdempotencyKeyHeader is the header that identifies a call.
	IdempotencyKeyHeader = "Idempotency-Key"
	maxBodyBytes         = 16 << 20
)

// Reply is the response body.
type Reply struct {
	Service string `json:"service"`
	Key     string `json:"key,omitempty"`
	Run     int    `json:"run"` // number of runs of this key, including this one
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body,omitempty"`
}

// Sim is one simulated plain service. It is safe for concurrent use.
type Sim struct {
	name string

	mu              sync.Mutex
	runs            map[string]int
	total           int
	serviceTime     time.Duration
	responsesToLose int
	resumed         chan struct{}
}

// New returns a service that takes serviceTime for each call.
func New(name string, serviceTime time.Duration) *Sim {
	return &Sim{name: name, serviceTime: serviceTime, runs: make(map[string]int)}
}

// ServeHTTP implements http.Handler. It records the run before it writes the response, because a real
// service would have taken effect by then.
func (s *Sim) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.awaitService(r.Context()) {
		return
	}
	reply, lost := s.recordRun(r, string(body))
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

// awaitService waits for the service time and, while the service is silent, until it is no longer. It
// reports whether the call should run: it reports false if the caller disconnects first.
func (s *Sim) awaitService(ctx context.Context) bool {
	s.mu.Lock()
	serviceTime, resumed := s.serviceTime, s.resumed
	s.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
			return false
		}
	}
	t := time.NewTimer(serviceTime)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Sim) recordRun(r *http.Request, body string) (Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(IdempotencyKeyHeader)
	s.runs[key]++
	s.total++
	lost := s.responsesToLose > 0
	if lost {
		s.responsesToLose--
	}
	return Reply{
		Service: s.name, Key: key, Run: s.runs[key],
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	}, lost
}

// Runs returns the number of runs of a key.
func (s *Sim) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns the number of runs of each key.
func (s *Sim) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// TotalRuns returns the number of runs of all keys.
func (s *Sim) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// LoseResponses makes the next n calls run but close the connection instead of responding.
func (s *Sim) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// SetServiceTime sets the service time of later calls.
func (s *Sim) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetSilent makes the service accept calls without running or answering them until it is called with
// false. Calls whose callers are still connected then run.
func (s *Sim) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.resumed == nil:
		s.resumed = make(chan struct{})
	case !silent && s.resumed != nil:
		close(s.resumed)
		s.resumed = nil
	}
}

// Package plainsim is the stand-in for a plain service, such as an order desk
// or a dispatch system. It runs whatever it is sent and records each run by its
// Idempotency-Key; it checks nothing, so that a call sent twice shows as two runs.
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
	// IdempotencyKeyHeader names the call.
	IdempotencyKeyHeader = "Idempotency-Key"
	maxBody              = 16 << 20
)

// Reply is the body of an answer.
type Reply struct {
	Service string `json:"service"`
	Key     string `json:"key,omitempty"`
	Run     int    `json:"run"` // how many runs this key has had, this one included
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body,omitempty"`
}

// Sim is one plain service. It is safe for concurrent use.
type Sim struct {
	name string

	mu        sync.Mutex
	runs      map[string]int
	total     int
	work      time.Duration
	loseNext  int
	unsilence chan struct{}
}

// New returns a service that takes work for each call.
func New(name string, work time.Duration) *Sim {
	return &Sim{name: name, work: work, runs: make(map[string]int)}
}

// ServeHTTP implements http.Handler. The run is recorded before the answer is
// written, as a real effect would be.
func (s *Sim) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.wait(r.Context()) {
		return
	}
	reply, lost := s.run(r, string(body))
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

// wait takes the time of the work, and holds the call while the service is
// silent. It reports whether the call goes on: a caller that leaves before the
// work is done finds that it did not run, one that leaves after, that it did.
func (s *Sim) wait(ctx context.Context) bool {
	s.mu.Lock()
	work, unsilence := s.work, s.unsilence
	s.mu.Unlock()
	if unsilence != nil {
		select {
		case <-unsilence:
		case <-ctx.Done():
			return false
		}
	}
	t := time.NewTimer(work)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Sim) run(r *http.Request, body string) (Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(IdempotencyKeyHeader)
	s.runs[key]++
	s.total++
	lost := s.loseNext > 0
	if lost {
		s.loseNext--
	}
	return Reply{
		Service: s.name, Key: key, Run: s.runs[key],
		Method: r.Method, Path: r.URL.RequestURI(), Body: body,
	}, lost
}

// Runs returns how often a key has run.
func (s *Sim) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// AllRuns returns the runs of every key.
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

// LoseResponses makes the next n calls run and lose their answers.
func (s *Sim) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// SetServiceTime changes how long calls take from now on.
func (s *Sim) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// SetSilent makes the service take calls and neither run nor answer them, until
// it is called with false. Calls whose caller is still there then run.
func (s *Sim) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.unsilence == nil:
		s.unsilence = make(chan struct{})
	case !silent && s.unsilence != nil:
		close(s.unsilence)
		s.unsilence = nil
	}
}

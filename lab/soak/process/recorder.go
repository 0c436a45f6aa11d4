package process

import (
	"fmt"
	"sync"
	"time"
)

// execution is one run of a request at a server.
type execution struct {
	server    string
	service   string
	signature string
	status    int
	body      string // "" for streams
	startedAt time.Time
	finished  bool
}

// recorder holds what the servers did and which promises were broken.
type recorder struct {
	mu           sync.Mutex
	executions   map[string][]*execution // by request
	bySignature  map[string]*execution
	sentRequests map[string]sentRequest
	violations   []string
	counts       map[string]int
}

// sentRequest is what a caller sent.
type sentRequest struct {
	account    string // holder of the key when it was sent
	key        string
	pathSuffix string // what follows the route's prefix in its path
	kind       callKind
	sentAt     time.Time
}

func newRecorder() *recorder {
	return &recorder{executions: map[string][]*execution{}, bySignature: map[string]*execution{}, sentRequests: map[string]sentRequest{}, counts: map[string]int{}}
}

// recordViolation records a broken promise.
func (rec *recorder) recordViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

// count adds to a figure of the report.
func (rec *recorder) count(name string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[name]++
}

// recordSent records a caller's request before it is sent.
func (rec *recorder) recordSent(id string, c sentRequest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.sentRequests[id] = c
}

// startExecution records that a server begins a run.
func (rec *recorder) startExecution(id string, r *execution) sentRequest {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.startedAt = time.Now()
	r.signature = fmt.Sprintf("%s.%s.%d", r.server, id, len(rec.executions[id]))
	rec.executions[id] = append(rec.executions[id], r)
	rec.bySignature[r.signature] = r
	return rec.sentRequests[id]
}

func (rec *recorder) finishExecution(r *execution, status int, body string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.status, r.body, r.finished = status, body, true
}

// executionBySignature returns the run that a proof speaks of.
func (rec *recorder) executionBySignature(signature string) (execution, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r, ok := rec.bySignature[signature]
	if !ok {
		return execution{}, false
	}
	return *r, true
}

// executionCount is how often a request ran.
func (rec *recorder) executionCount(id string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.executions[id])
}

// unfinishedRequests are the requests that servers still work on.
func (rec *recorder) unfinishedRequests() (ids []string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for id, runs := range rec.executions {
		for _, r := range runs {
			if !r.finished {
				ids = append(ids, id+" at "+r.server)
			}
		}
	}
	return ids
}

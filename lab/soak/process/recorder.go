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
func (l *recorder) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// count adds to a figure of the report.
func (l *recorder) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// recordSent records a caller's request before it is sent.
func (l *recorder) recordSent(id string, c sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentRequests[id] = c
}

// startExecution records that a server begins a run.
func (l *recorder) startExecution(id string, r *execution) sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.startedAt = time.Now()
	r.signature = fmt.Sprintf("%s.%s.%d", r.server, id, len(l.executions[id]))
	l.executions[id] = append(l.executions[id], r)
	l.bySignature[r.signature] = r
	return l.sentRequests[id]
}

func (l *recorder) finishExecution(r *execution, status int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.body, r.finished = status, body, true
}

// executionBySignature returns the run that a proof speaks of.
func (l *recorder) executionBySignature(proof string) (execution, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.bySignature[proof]
	if !ok {
		return execution{}, false
	}
	return *r, true
}

// executionCount is how often a request ran.
func (l *recorder) executionCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.executions[id])
}

// unfinishedRequests are the requests that servers still work on.
func (l *recorder) unfinishedRequests() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.executions {
		for _, r := range runs {
			if !r.finished {
				ids = append(ids, id+" at "+r.server)
			}
		}
	}
	return ids
}

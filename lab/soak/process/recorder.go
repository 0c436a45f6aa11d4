package process

import (
	"fmt"
	"sync"
	"time"
)

// execution is one execution of a request at a server.
type execution struct {
	server    string
	service   string
	signature string
	status    int
	body      string // "" for streams
	startedAt time.Time
	finished  bool
	// Of streams.
	at         *server
	begunAt    time.Time // first token; zero before it
	finishedAt time.Time // the engine has stopped to work on it
	notes      []note
}

// recorder collects the executions at the servers, the requests sent and the violations found.
type recorder struct {
	mu           sync.Mutex
	executions   map[string][]*execution // by request ID
	bySignature  map[string]*execution
	sentRequests map[string]sentRequest
	violations   []string
	counts       map[string]int
	refused      map[string]bool              // IDs of requests refused as not run that must never run
	headerTimes  map[callKind][]time.Duration // of served requests
}

// sentRequest is a request as its caller sent it.
type sentRequest struct {
	account      string // owner of the key when the request was sent
	key          string
	pathSuffix   string // path after the route prefix
	kind         callKind
	promptTokens int
	sentAt       time.Time
	daemon       string // address to which the caller sent it
}

func newRecorder() *recorder {
	return &recorder{executions: map[string][]*execution{}, bySignature: map[string]*execution{}, sentRequests: map[string]sentRequest{}, counts: map[string]int{}, refused: map[string]bool{}, headerTimes: map[callKind][]time.Duration{}}
}

// recordViolation records that a guarantee did not hold.
func (rec *recorder) recordViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

// count increments a counter of the report.
func (rec *recorder) count(name string) { rec.addCount(name, 1) }

// addCount adds to a counter of the report.
func (rec *recorder) addCount(name string, n int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[name] += n
}

// countKind increments a counter of the requests of one kind.
func (rec *recorder) countKind(kind callKind, name string) { rec.count(kindNames[kind] + " " + name) }

// countOf returns a counter of the requests of one kind.
func (rec *recorder) countOf(kind callKind, name string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.counts[kindNames[kind]+" "+name]
}

// recordServed records that a request was served, with the time to the headers of its response.
func (rec *recorder) recordServed(kind callKind, headerTime time.Duration) {
	rec.countKind(kind, "served")
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.headerTimes[kind] = append(rec.headerTimes[kind], headerTime)
}

// recordRefused records that a request was refused as not run. If mustNotRun is set, a later
// execution is a violation.
func (rec *recorder) recordRefused(id string, mustNotRun bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts["refused"]++
	rec.counts[kindNames[rec.sentRequests[id].kind]+" refused"]++
	if mustNotRun {
		rec.refused[id] = true
	}
}

// recordSent records a request before its caller sends it.
func (rec *recorder) recordSent(id string, c sentRequest) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.sentRequests[id] = c
}

// sentRequestOf returns a request as its caller sent it; a zero one if no caller did.
func (rec *recorder) sentRequestOf(id string) sentRequest {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.sentRequests[id]
}

// startExecution records that a server starts to run a request, and returns the request as sent.
func (rec *recorder) startExecution(id string, r *execution) sentRequest {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r.startedAt = time.Now()
	r.signature = fmt.Sprintf("%s.%s.%d", r.server, id, len(rec.executions[id]))
	rec.executions[id] = append(rec.executions[id], r)
	rec.bySignature[r.signature] = r
	if rec.refused[id] {
		rec.violations = append(rec.violations, id+" runs after it was refused as not run")
	}
	return rec.sentRequests[id]
}

func (rec *recorder) finishExecution(r *execution, status int, body string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if r.finished {
		return
	}
	r.status, r.body, r.finished, r.finishedAt = status, body, true, time.Now()
}

// executionBySignature returns the execution with the given signature.
func (rec *recorder) executionBySignature(signature string) (execution, bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r, ok := rec.bySignature[signature]
	if !ok {
		return execution{}, false
	}
	return *r, true
}

// firstExecutionStart returns when a request first began to run, a zero time if it has not.
func (rec *recorder) firstExecutionStart(id string) time.Time {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if runs := rec.executions[id]; len(runs) > 0 {
		return runs[0].startedAt
	}
	return time.Time{}
}

// executionCount returns how often a request has run.
func (rec *recorder) executionCount(id string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.executions[id])
}

// unfinishedRequests lists the requests that servers are still running.
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

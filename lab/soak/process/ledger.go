package process

import (
	"fmt"
	"sync"
	"time"
)

// ran is one run of a request at a server.
type ran struct {
	server  string
	service string
	proof   string
	status  int
	body    string // "" for streams
	at      time.Time
	ended   bool
}

// ledger holds what the servers did and which promises were broken.
type ledger struct {
	mu     sync.Mutex
	runs   map[string][]*ran // by request
	proofs map[string]*ran
	sent   map[string]sentCall
	broken []string
	counts map[string]int
}

// sentCall is what a caller sent.
type sentCall struct {
	account string // holder of the key when it was sent
	key     string
	name    string // what follows the route's prefix in its path
	kind    callKind
	at      time.Time
}

func newLedger() *ledger {
	return &ledger{runs: map[string][]*ran{}, proofs: map[string]*ran{}, sent: map[string]sentCall{}, counts: map[string]int{}}
}

// violate records a broken promise.
func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// count adds to a figure of the report.
func (l *ledger) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// send records a caller's request before it is sent.
func (l *ledger) send(id string, c sentCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = c
}

// run records that a server begins a run.
func (l *ledger) run(id string, r *ran) sentCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.at = time.Now()
	r.proof = fmt.Sprintf("%s.%s.%d", r.server, id, len(l.runs[id]))
	l.runs[id] = append(l.runs[id], r)
	l.proofs[r.proof] = r
	return l.sent[id]
}

func (l *ledger) end(r *ran, status int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.body, r.ended = status, body, true
}

// proven returns the run that a proof speaks of.
func (l *ledger) proven(proof string) (ran, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.proofs[proof]
	if !ok {
		return ran{}, false
	}
	return *r, true
}

// timesRun is how often a request ran.
func (l *ledger) timesRun(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[id])
}

// unfinished are the requests that servers still work on.
func (l *ledger) unfinished() (ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.runs {
		for _, r := range runs {
			if !r.ended {
				ids = append(ids, id+" at "+r.server)
			}
		}
	}
	return ids
}

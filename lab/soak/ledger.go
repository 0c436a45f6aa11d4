package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// lastEvents is how many events of a run a report shows.
const lastEvents = 40

// ledger collects what happened in a run and what broke.
type ledger struct {
	began time.Time

	mu     sync.Mutex
	events []string
	broken []string
	counts map[string]int
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), counts: make(map[string]int)}
}

// note adds an event of the plan or of the operators.
func (l *ledger) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, l.stamp(fmt.Sprintf(format, args...)))
}

// violate notes that an invariant did not hold.
func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, l.stamp(fmt.Sprintf(format, args...)))
}

// count counts an outcome that a caller saw.
func (l *ledger) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
}

func (l *ledger) stamp(s string) string {
	return fmt.Sprintf("%9.3fs %s", time.Since(l.began).Seconds(), s)
}

// Report is the outcome of one run.
type Report struct {
	Plan   Plan
	Events []string       // the last of the run
	Broken []string       // invariants that did not hold
	Counts map[string]int // outcomes that callers saw
}

func (l *ledger) report(p Plan) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events[max(0, len(l.events)-lastEvents):]
	return &Report{Plan: p, Events: events, Broken: l.broken, Counts: l.counts}
}

// Err is nil when every invariant held.
func (r *Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant(s) broken\n%s\nthe plan: %s\nthe last events:\n%s",
		len(r.Broken), strings.Join(r.Broken, "\n"), r.Plan, strings.Join(r.Events, "\n"))
}

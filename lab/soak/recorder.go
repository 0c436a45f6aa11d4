package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// reportedEvents is how many events of a run a report shows.
const reportedEvents = 40

// recorder collects what happened in a run and what broke.
type recorder struct {
	startedAt time.Time

	mu         sync.Mutex
	events     []string
	violations []string
	counts     map[string]int
}

func newRecorder() *recorder {
	return &recorder{startedAt: time.Now(), counts: make(map[string]int)}
}

// logEvent adds an event of the plan or of the operators.
func (l *recorder) logEvent(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, l.timestamped(fmt.Sprintf(format, args...)))
}

// recordViolation notes that an invariant did not hold.
func (l *recorder) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, l.timestamped(fmt.Sprintf(format, args...)))
}

// count counts an outcome that a caller saw.
func (l *recorder) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
}

func (l *recorder) timestamped(s string) string {
	return fmt.Sprintf("%9.3fs %s", time.Since(l.startedAt).Seconds(), s)
}

// Report is the outcome of one run.
type Report struct {
	Plan       Plan
	Events     []string       // the last of the run
	Violations []string       // invariants that did not hold
	Counts     map[string]int // outcomes that callers saw
}

func (l *recorder) report(p Plan) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events[max(0, len(l.events)-reportedEvents):]
	return &Report{Plan: p, Events: events, Violations: l.violations, Counts: l.counts}
}

// Err is nil when every invariant held.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant(s) broken\n%s\nthe plan: %s\nthe last events:\n%s",
		len(r.Violations), strings.Join(r.Violations, "\n"), r.Plan, strings.Join(r.Events, "\n"))
}

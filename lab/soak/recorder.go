package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// reportedEvents is the number of events that a report shows.
const reportedEvents = 40

// recorder collects the events, violations and outcomes of a run.
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

// logEvent adds an event to the log of the run.
func (l *recorder) logEvent(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, l.timestamped(fmt.Sprintf(format, args...)))
}

// recordViolation records that an invariant did not hold.
func (l *recorder) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, l.timestamped(fmt.Sprintf(format, args...)))
}

// count counts an outcome.
func (l *recorder) count(outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
}

func (l *recorder) timestamped(s string) string {
	return fmt.Sprintf("%9.3fs %s", time.Since(l.startedAt).Seconds(), s)
}

// Report is the result of one run.
type Report struct {
	Plan       Plan
	Events     []string       // last events of the run
	Violations []string       // invariants that did not hold
	Counts     map[string]int // by outcome
}

func (l *recorder) report(p Plan) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.events[max(0, len(l.events)-reportedEvents):]
	return &Report{Plan: p, Events: events, Violations: l.violations, Counts: l.counts}
}

// Err returns nil if all invariants held.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant(s) broken\n%s\nthe plan: %s\nthe last events:\n%s",
		len(r.Violations), strings.Join(r.Violations, "\n"), r.Plan, strings.Join(r.Events, "\n"))
}

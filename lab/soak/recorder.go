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
func (rec *recorder) logEvent(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.events = append(rec.events, rec.timestamped(fmt.Sprintf(format, args...)))
}

// recordViolation records that an invariant did not hold.
func (rec *recorder) recordViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, rec.timestamped(fmt.Sprintf(format, args...)))
}

// count counts an outcome.
func (rec *recorder) count(outcome string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[outcome]++
}

func (rec *recorder) timestamped(s string) string {
	return fmt.Sprintf("%9.3fs %s", time.Since(rec.startedAt).Seconds(), s)
}

// Report is the result of one run.
type Report struct {
	Plan       Plan
	Events     []string       // last events of the run
	Violations []string       // invariants that did not hold
	Counts     map[string]int // by outcome
}

func (rec *recorder) report(p Plan) *Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	events := rec.events[max(0, len(rec.events)-reportedEvents):]
	return &Report{Plan: p, Events: events, Violations: rec.violations, Counts: rec.counts}
}

// Err returns nil if all invariants held.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant(s) broken\n%s\nthe plan: %s\nthe last events:\n%s",
		len(r.Violations), strings.Join(r.Violations, "\n"), r.Plan, strings.Join(r.Events, "\n"))
}

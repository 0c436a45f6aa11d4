package prompts

import "time"

// Admission says whether a prompt is sent to an engine.
type Admission uint8

// The admissions.
const (
	// Admitted prompts are sent.
	Admitted Admission = iota
	// TooLate means that other prompts are read for longer than the first event may take.
	TooLate
	// NoMemory means that the engine's memory is full once the prompts there are read.
	NoMemory
)

// String returns the word used in logs.
func (a Admission) String() string {
	return [...]string{"admitted", "too_late", "no_room"}[a]
}

// lateShare is the part of the time left by which the first event of an answer must
// come whose objective is missed in any case: an answer takes several times as long to
// make as its prompt to read, and a late one is worth as much at any time.
const lateShare = 0.5

// FirstEventBudget is how long the first event of an answer may still take. objective and timeout
// are the route's, left is what the caller waits for yet: one that was refused and
// came back has less of it left. The objective does not count where it is missed in any
// case, as by a prompt that takes longer to read alone: refused for that, the largest
// prompts would be turned away again and again beside idle engines.
func (p *Estimator) FirstEventBudget(tokens int, objective, timeout, left time.Duration) time.Duration {
	if onTime := objective - max(timeout-left, 0); onTime > p.TimeToFirstEvent(0, tokens) {
		return onTime
	}
	return time.Duration(lateShare * float64(left))
}

// Admit decides about a prompt. r is the report of the best engine there is, due how
// long the first event may take. A prompt of which somebody holds a part of the answer
// is owed: the caller of Admit sends it also where there is no room.
//
// Load it answers: prompts that come faster than the engines of a service can read
// them, or than their memory holds the runs, for some seconds.
//
// Without it, all are sent. An engine reads one chunk between two steps of its batch,
// so answers take three times as long beside prompts; runs fill the memory, no copies
// of them fit, and each loss of a zone has all its prompts read again. The backlog
// outlasts the burst, and callers wait for nothing until their time is over.
//
// Thresholds: the objective itself, since an answer that misses it takes the place of
// one that does not; and the whole memory, with the prompts that still wait there
// counted as the mean of all.
func (p *Estimator) Admit(r Report, tokens int, due time.Duration) Admission {
	switch {
	case r.PendingPrompts > 0 && p.TimeToFirstEvent(r.PendingPrompts, tokens) > due:
		return TooLate
	case r.CapacityTokens > 0 && r.UsedTokens+r.PendingPrompts*int(p.tokens)+tokens > r.CapacityTokens:
		return NoMemory
	}
	return Admitted
}

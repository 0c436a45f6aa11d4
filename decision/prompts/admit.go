package prompts

import "time"

// Admission says whether a prompt is sent to an engine, or why it is refused.
type Admission uint8

// The admission results.
const (
	// Admitted means that the prompt is sent.
	Admitted Admission = iota
	// TooLate means that the prefill of earlier prompts would delay the first event beyond its budget.
	TooLate
	// NoMemory means that the engine's memory would be full after the prefill of its pending prompts.
	NoMemory
)

// String returns the name used in logs and metrics.
func (a Admission) String() string {
	return [...]string{"admitted", "too_late", "no_room"}[a]
}

// lateBudgetRatio is the share of the remaining time within which the first event of an answer
// must come once the objective can't be met. Decoding an answer takes several times as long as
// the prefill of its prompt, and an answer that misses its objective is worth the same whenever
// it comes.
const lateBudgetRatio = 0.5

// FirstEventBudget returns how long the first event of an answer may still take. objective and
// timeout are those of the route. remaining is how long the caller still waits; it is shorter
// after a refusal and a retry. The objective is ignored if it can't be met, for example by a
// prompt whose prefill alone takes longer: otherwise the largest prompts would be refused on
// every retry although engines are idle.
func (e *Estimator) FirstEventBudget(tokens int, objective, timeout, remaining time.Duration) time.Duration {
	if onTime := TimeToObjective(objective, timeout, remaining); onTime > e.TimeToFirstEvent(0, tokens) {
		return onTime
	}
	return time.Duration(lateBudgetRatio * float64(remaining))
}

// StartBudget returns how long a prompt may wait before it is sent to an idle engine. Its first event
// then meets the objective. A prompt that can't meet the objective even if it is sent at once, as
// after a refusal and a retry, waits for as long as the objective, or half of the time left if that is
// shorter, less a lower bound of its prefill: room may appear in a moment, and a late answer is better than another refusal.
func (e *Estimator) StartBudget(tokens int, objective, timeout, remaining time.Duration) time.Duration {
	first := e.TimeToFirstEvent(0, tokens)
	if onTime := TimeToObjective(objective, timeout, remaining); onTime > first {
		return onTime - first
	}
	late := min(objective, time.Duration(lateBudgetRatio*float64(remaining)))
	return late - time.Duration(lowerBoundRatio*e.leastPrefillNs(tokens))
}

// TimeToObjective returns the time until the objective of a request, negative if it has passed.
// objective and timeout are those of the route; a caller that retries has used up a part of both
// before, so that less than the timeout remains.
func TimeToObjective(objective, timeout, remaining time.Duration) time.Duration {
	return objective - max(timeout-remaining, 0)
}

// Admit decides whether a prompt is sent. r is the report of the best engine available, budget is
// how long the first event may take. A request of which some client already holds a part of the
// answer is sent in spite of NoMemory; that is up to the code that calls Admit.
//
// Load pattern: for some seconds, prompts arrive faster than the engines of a service can prefill
// them, or than their memory can hold the runs.
//
// Without it, all prompts are sent. An engine prefills one chunk between two decode steps of its
// batch, so answers take three times as long while prompts are prefilled. Runs fill the memory and
// leave no space for copies of them, so that the loss of a zone repeats all of its prefills. The
// backlog outlasts the burst, and callers wait until their timeout for answers that don't come.
//
// Thresholds: the objective itself, because an answer that misses it displaces one that would not;
// and the whole memory, with each pending prompt counted at the mean prompt length.
func (e *Estimator) Admit(r Report, tokens int, budget time.Duration) Admission {
	switch {
	case r.PendingPrompts > 0 && e.TimeToFirstEvent(r.PendingPrompts, tokens) > budget:
		return TooLate
	case r.CapacityTokens > 0 && r.UsedTokens+r.PendingPrompts*int(e.meanPromptTokens)+tokens > r.CapacityTokens:
		return NoMemory
	}
	return Admitted
}

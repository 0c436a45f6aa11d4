package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The prefill of a prompt of 8,000 tokens takes 1 s alone and 1.3 s beside running answers. Three
// pending prompts before it add 3.25 s.
func TestAdmit(t *testing.T) {
	var e Estimator
	e.ObservePrompt(8000)
	e.ObservePrefill(8000, time.Second)
	const capacity = 80000
	cases := []struct {
		name   string
		report Report
		budget time.Duration
		want   Admission
	}{
		{"idle", Report{CapacityTokens: capacity}, time.Second, Admitted},
		{"idle, objective missed anyway", Report{CapacityTokens: capacity}, time.Millisecond, Admitted},
		{"in time behind others", Report{PendingPrompts: 3, CapacityTokens: capacity}, 4600 * time.Millisecond, Admitted},
		{"too late behind others", Report{PendingPrompts: 3, CapacityTokens: capacity}, 4500 * time.Millisecond, TooLate},
		{"memory just sufficient", Report{UsedTokens: 72000, CapacityTokens: capacity}, time.Minute, Admitted},
		{"memory full", Report{UsedTokens: 72001, CapacityTokens: capacity}, time.Minute, NoMemory},
		{"memory full after pending prompts", Report{PendingPrompts: 2, UsedTokens: 60000, CapacityTokens: capacity}, time.Minute, NoMemory},
		{"capacity unknown", Report{UsedTokens: 1 << 30}, time.Minute, Admitted},
		{"no report", Report{}, time.Millisecond, Admitted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, e.Admit(c.report, 8000, c.budget)) })
	}
}

// While no prefill has been observed, no prompt is refused as too late. Otherwise the first callers
// after a start would be refused without evidence.
func TestAdmitWithoutObservations(t *testing.T) {
	var e Estimator
	e.ObservePrompt(8000)
	must.Eq(t, Admitted, e.Admit(Report{PendingPrompts: 9}, 8000, time.Second))
}

func TestFirstEventBudget(t *testing.T) {
	const objective, timeout = 4500 * time.Millisecond, 25 * time.Second
	var e Estimator
	budget := func(tokens int, objective, remaining time.Duration) time.Duration {
		return e.FirstEventBudget(tokens, objective, timeout, remaining)
	}
	must.Eq(t, objective, budget(8000, objective, timeout)) // no observations
	e.ObservePrompt(8000)
	e.ObservePrefill(8000, time.Second)
	must.Eq(t, objective, budget(8000, objective, timeout))
	must.Eq(t, 3500*time.Millisecond, budget(8000, objective, 24*time.Second))
	must.Eq(t, 8*time.Second, budget(8000, objective, 16*time.Second)) // a retry
	must.Eq(t, objective, budget(8000, objective, time.Minute))        // longer than the route's timeout
	must.Eq(t, 5*time.Second, budget(8000, 0, 10*time.Second))         // the route has no objective
}

// The prefill of a prompt takes longer than the objective even at an idle engine. With one pending
// prompt before it, it would be refused on every retry, although it can be answered in the caller's
// time.
func TestLargePromptIsNotRefusedForItsSize(t *testing.T) {
	var e Estimator
	e.ObservePrompt(8000)
	e.ObservePrefill(8000, 2*time.Second)
	const large, remaining = 16000, 25 * time.Second
	budget := e.FirstEventBudget(large, 4500*time.Millisecond, remaining, remaining)
	must.Eq(t, remaining/2, budget)
	must.Eq(t, Admitted, e.Admit(Report{PendingPrompts: 1}, large, budget))
	must.Eq(t, TooLate, e.Admit(Report{PendingPrompts: 9}, large, budget))
}

func TestMeanAnswerTime(t *testing.T) {
	var e Estimator
	must.Eq(t, 0, e.MeanAnswerTime())
	e.ObserveAnswerTime(4 * time.Second)
	must.Eq(t, 4*time.Second, e.MeanAnswerTime())
	for range 100 {
		e.ObserveAnswerTime(8 * time.Second)
	}
	must.Between(t, 7900*time.Millisecond, e.MeanAnswerTime(), 8*time.Second)
}

// Guards against callers that wait for an answer that will be late for longer than the objective, and
// against a prompt that is sent too late to meet it.
func TestStartBudget(t *testing.T) {
	const objective, timeout = 4 * time.Second, 25 * time.Second
	var e Estimator
	budget := func(objective, remaining time.Duration) time.Duration {
		return e.StartBudget(8000, objective, timeout, remaining)
	}
	must.Eq(t, objective, budget(objective, timeout)) // no observations
	e.ObservePrompt(8000)
	e.ObservePrefill(8000, time.Second)
	must.Eq(t, 2700*time.Millisecond, budget(objective, timeout))
	must.Eq(t, 1700*time.Millisecond, budget(objective, 24*time.Second))
	must.Eq(t, 3300*time.Millisecond, budget(objective, 22*time.Second)) // 1 s is less than a prefill beside answers
	must.Eq(t, 3300*time.Millisecond, budget(objective, 16*time.Second)) // a retry
	must.Eq(t, 1300*time.Millisecond, budget(objective, 4*time.Second))  // half of the time left
	must.Eq(t, -700*time.Millisecond, budget(0, timeout))
}

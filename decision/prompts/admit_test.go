package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A prompt of 8,000 tokens takes a second alone and 1.3 s beside running answers.
// Three others before it take 3.25 s more.
func TestAdmit(t *testing.T) {
	var p Estimator
	p.ObservePrompt(8000)
	p.ObservePrefill(8000, time.Second)
	const memory = 80000
	cases := []struct {
		name   string
		report Report
		due    time.Duration
		want   Admission
	}{
		{"idle", Report{CapacityTokens: memory}, time.Second, Admitted},
		{"idle, though it is late by itself", Report{CapacityTokens: memory}, time.Millisecond, Admitted},
		{"read in time behind others", Report{PendingPrompts: 3, CapacityTokens: memory}, 4600 * time.Millisecond, Admitted},
		{"not read in time behind others", Report{PendingPrompts: 3, CapacityTokens: memory}, 4500 * time.Millisecond, TooLate},
		{"the last room", Report{UsedTokens: 72000, CapacityTokens: memory}, time.Minute, Admitted},
		{"no room", Report{UsedTokens: 72001, CapacityTokens: memory}, time.Minute, NoMemory},
		{"no room once those that wait are read", Report{PendingPrompts: 2, UsedTokens: 60000, CapacityTokens: memory}, time.Minute, NoMemory},
		{"memory unknown", Report{UsedTokens: 1 << 30}, time.Minute, Admitted},
		{"nothing known of a silent engine", Report{}, time.Millisecond, Admitted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, p.Admit(c.report, 8000, c.due)) })
	}
}

// Before any prompt was read nothing is refused for its time: the first callers after
// a start would be turned away on a guess.
func TestAdmitsBeforeAnythingIsKnown(t *testing.T) {
	var p Estimator
	p.ObservePrompt(8000)
	must.Eq(t, Admitted, p.Admit(Report{PendingPrompts: 9}, 8000, time.Second))
}

func TestDue(t *testing.T) {
	const objective, timeout = 4500 * time.Millisecond, 25 * time.Second
	var p Estimator
	due := func(tokens int, objective, left time.Duration) time.Duration {
		return p.FirstEventBudget(tokens, objective, timeout, left)
	}
	must.Eq(t, objective, due(8000, objective, timeout)) // nothing is known of the engines
	p.ObservePrompt(8000)
	p.ObservePrefill(8000, time.Second)
	must.Eq(t, objective, due(8000, objective, timeout))
	must.Eq(t, 3500*time.Millisecond, due(8000, objective, 24*time.Second))
	must.Eq(t, 8*time.Second, due(8000, objective, 16*time.Second)) // came back
	must.Eq(t, objective, due(8000, objective, time.Minute))        // waits longer than the route lets it
	must.Eq(t, 5*time.Second, due(8000, 0, 10*time.Second))         // the route has no objective
}

// A prompt takes longer to read than the objective allows, also by an idle engine. With
// one other prompt before it it would be refused each time its caller comes, although
// it can be answered in the caller's time.
func TestLargePromptIsNotRefusedForItsSize(t *testing.T) {
	var p Estimator
	p.ObservePrompt(8000)
	p.ObservePrefill(8000, 2*time.Second)
	const large, left = 16000, 25 * time.Second
	due := p.FirstEventBudget(large, 4500*time.Millisecond, left, left)
	must.Eq(t, left/2, due)
	must.Eq(t, Admitted, p.Admit(Report{PendingPrompts: 1}, large, due))
	must.Eq(t, TooLate, p.Admit(Report{PendingPrompts: 9}, large, due))
}

func TestMeans(t *testing.T) {
	var p Estimator
	must.Eq(t, 0, p.MeanAnswerTime())
	p.ObserveAnswerTime(4 * time.Second)
	must.Eq(t, 4*time.Second, p.MeanAnswerTime())
	for range 100 {
		p.ObserveAnswerTime(8 * time.Second)
	}
	must.Between(t, 7900*time.Millisecond, p.MeanAnswerTime(), 8*time.Second)
}

package prompts

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers retry with little of their timeout left. Those whose answers can't complete in time even
// at the best rate are refused at once. Those that hold most of the events already, or whose
// answers may be short, are served.
func TestCannotFinishWithin(t *testing.T) {
	var e Estimator
	must.False(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 0}, time.Millisecond)) // no observations
	e.ObservePrefill(5000, time.Second)
	e.ObserveAnswer(101, 0, 3*time.Second)
	for range minAnswerCount - 1 {
		must.False(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 0}, time.Millisecond))
		e.ObserveAnswer(1, 0, 0)                       // ignored
		e.ObserveAnswer(131, 0, 4550*time.Millisecond) // slower, beside prefills
	}
	// At least 0.7 of 101 events at 30 ms each, after 0.7 s of prefill.
	must.True(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 0}, 2800*time.Millisecond))
	must.False(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 0}, 3*time.Second))
	must.True(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: false, Received: 60}, 300*time.Millisecond))
	must.False(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: false, Received: 60}, 450*time.Millisecond))
	must.False(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: false, Received: 90}, time.Millisecond))
	// No engine holds the prompt, so that its prefill adds to the time needed.
	must.True(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 60}, 950*time.Millisecond))
	must.False(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 60}, 1200*time.Millisecond))
	must.True(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 90}, 600*time.Millisecond))
	for range 100 { // answers have become longer
		e.ObserveAnswer(201, 0, 8*time.Second)
	}
	must.True(t, e.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: false, Received: 60}, 2*time.Second))
}

func TestCannotPrefillWithin(t *testing.T) {
	var e Estimator
	must.False(t, e.CannotPrefillWithin(8000, time.Millisecond)) // no observations
	e.ObservePrefill(8000, time.Second)
	must.True(t, e.CannotPrefillWithin(8000, 600*time.Millisecond))
	must.False(t, e.CannotPrefillWithin(8000, 800*time.Millisecond))
	must.False(t, e.CannotPrefillWithin(4000, 400*time.Millisecond))
	e.ObservePrefill(8000, 3*time.Second) // queued behind others
	must.False(t, e.CannotPrefillWithin(8000, 800*time.Millisecond))
	for range 120 { // the engines have become slower permanently
		e.ObservePrefill(8000, 3*time.Second)
	}
	must.True(t, e.CannotPrefillWithin(8000, 1400*time.Millisecond))
}

// All daemons start at once, and callers retry seconds later with little time left. Each of
// hundreds of daemons has observed two answers by then, which is too few; merged they suffice.
func TestMergeEstimates(t *testing.T) {
	var local, peer Estimator
	for range 2 {
		local.ObserveAnswer(131, 0, 4*time.Second)
		peer.ObservePrefill(5000, time.Second)
		peer.ObserveAnswer(101, 0, 3*time.Second)
	}
	must.False(t, local.HasEnoughAnswers())
	local.Merge(peer.Estimates())
	local.Merge(Estimates{})                                   // empty
	local.Merge(Estimates{NsPerEvent: math.NaN(), Answers: 9}) // invalid
	must.False(t, local.HasEnoughAnswers())
	local.Merge(peer.Estimates())
	must.True(t, local.HasEnoughAnswers())
	must.True(t, local.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 60}, 950*time.Millisecond))
	must.False(t, local.CannotFinishWithin(Answer{PromptTokens: 5000, NeedsPrefill: true, Received: 60}, 1200*time.Millisecond))
}

// Guards against a short answer that is refused for good after long ones: its request states how few tokens
// it allows, or is tried now and then.
func TestShortAnswerAfterLongOnes(t *testing.T) {
	var e Estimator
	e.ObservePrefill(8200, time.Second)
	for range 10 {
		e.ObserveAnswer(130, 780, 3640*time.Millisecond) // 28 ms an event of six tokens
	}
	short := Answer{PromptTokens: 200, NeedsPrefill: true, MaxTokens: 120}
	must.False(t, e.CannotFinishWithin(short, 2*time.Second))
	must.True(t, e.CannotFinishWithin(short, 300*time.Millisecond))
	short.MaxTokens = 0
	must.True(t, e.CannotFinishWithin(short, 2*time.Second)) // nothing tells that it is short
	e.ObserveAnswer(20, 0, 540*time.Millisecond)
	must.False(t, e.CannotFinishWithin(short, 2*time.Second))
}

// Guards against a long prompt that is refused for good after short ones, whose time is not that of their
// tokens.
func TestLongPromptAfterShortOnes(t *testing.T) {
	var e Estimator
	for range 10 {
		e.ObservePrefill(16, 20*time.Millisecond)
		e.ObserveAnswer(130, 780, 3640*time.Millisecond)
	}
	must.False(t, e.CannotPrefillWithin(30_000, 25*time.Second))
	must.False(t, e.CannotFinishWithin(Answer{PromptTokens: 30_000, NeedsPrefill: true, MaxTokens: 780}, 25*time.Second))
	must.True(t, e.CannotPrefillWithin(30_000, 10*time.Millisecond))
	e.ObservePrefill(30_000, 3750*time.Millisecond)
	must.True(t, e.CannotPrefillWithin(30_000, 2*time.Second))
}

package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against late answers and repeated prefill while a zone's engines fail every six seconds.
// Without copies, each loss makes answers late and has prompts prefilled twice; with home engines and
// copies nearly all answers are on time.
func TestPlacementMeetsObjectivesUnderZoneLosses(t *testing.T) {
	const length = 40 * time.Second
	for _, d := range deployments[:2] {
		baseline := Trial(d, policies[0], 1, length)
		ours := Trial(d, currentPolicy, 1, length)
		must.Eq(t, ours.requests, ours.completed)
		must.GreaterEq(t, 95, 100*ours.onTime/ours.requests)
		must.Greater(t, baseline.onTime, ours.onTime)
		must.Less(t, baseline.wastedPromptTokens/3, ours.wastedPromptTokens)
		must.Less(t, 700*time.Millisecond, ours.pauseP99)
	}
}

// Six daemons share 24 engines that run an answer or two each. With only their own requests and three
// load reports, daemons send several prompts to one engine, which prefills them beside its answers
// while other engines idle: each answer takes a second longer. Polling each other, daemons get answers
// completed sooner and waste less prefill.
func TestPeerPollingReducesAnswerTime(t *testing.T) {
	const length = 60 * time.Second
	for seed := range uint64(3) {
		before := Trial(deployments[2], withoutPeerLoad, seed, length)
		ours := Trial(deployments[2], currentPolicy, seed, length)
		must.Eq(t, ours.requests, ours.completed)
		must.Less(t, before.answerTimeP50-200*time.Millisecond, ours.answerTimeP50)
		must.Less(t, before.firstEventP99, ours.firstEventP99)
		must.GreaterEq(t, before.onTime, ours.onTime)
	}
}

// Some seventy daemons share 120 engines and a zone is lost every three seconds, so the engine that
// holds the copy of a run often fails before the one that runs it. Unless the copy is recreated, the
// prompt is prefilled again, which slows all answers; more of them are running at the next loss, and
// fewer than half are on time.
func TestLostCopiesAreRecreated(t *testing.T) {
	const length = 30 * time.Second
	grown := deployments[4]
	grown.lossRatio, grown.memoryTokens, grown.callerTimeout = 0, 1<<30, time.Hour
	once := withoutAdmission
	once.recreatesCopies = false
	before := Trial(grown, once, 1, length)
	ours := Trial(grown, withoutAdmission, 1, length)
	must.Eq(t, ours.requests, ours.completed)
	must.GreaterEq(t, 85, 100*ours.onTime/ours.requests)
	must.Less(t, 50, 100*before.onTime/before.requests)
	must.Less(t, before.wastedPromptTokens/3, ours.wastedPromptTokens)
}

// Some seventy daemons share engines whose memory is half full of runs and copies. After the loss of a
// zone the other engines are full: prompts sent there regardless have runs preempted and leave no
// memory for copies, and the next loss has all of them prefilled again. Callers that are refused for
// some seconds instead get their answer when they retry.
func TestAdmissionControlKeepsMemoryForCopies(t *testing.T) {
	const length = 60 * time.Second
	all := Trial(deployments[4], withoutAdmission, 1, length)
	ours := Trial(deployments[4], currentPolicy, 1, length)
	must.GreaterEq(t, 70, 100*ours.onTime/ours.requests)
	must.GreaterEq(t, 95, 100*ours.completed/ours.requests)
	must.Less(t, 65, 100*all.onTime/all.requests)
	must.Less(t, all.wastedPromptTokens*2/3, ours.wastedPromptTokens)
}

// The load is four times as high for eight seconds while zones are lost. Without admission control,
// half of the callers wait for 25 s and get no complete answer, because engines prefill in every step
// and preempt runs. With it, more answers are completed, and more of them on time.
func TestAdmissionControlUnderBurstAndZoneLosses(t *testing.T) {
	const length = 60 * time.Second
	for seed := range uint64(3) {
		all := Trial(deployments[5], withoutAdmission, seed, length)
		ours := Trial(deployments[5], currentPolicy, seed, length)
		must.Greater(t, 100*all.onTime/all.requests, 100*ours.onTime/ours.requests)
		must.Greater(t, 100*all.completed/all.requests, 100*ours.completed/ours.requests)
		must.Less(t, all.wastedPromptTokens, ours.wastedPromptTokens)
		lost := func(r result) int { return 100 * (r.requests - r.completed - r.refused) / r.requests }
		must.Less(t, lost(all)*3/4, lost(ours))
	}
}

func TestNormalLoadIsNotRefused(t *testing.T) {
	for _, d := range deployments[:2] {
		must.Eq(t, 0, Trial(d, currentPolicy, 1, 60*time.Second).refused)
	}
}

// Daemons that know only one in seventy of the prompts in prefill send several to one engine. With
// load reports from the engines, first events arrive earlier.
func TestLoadReportsReduceTimeToFirstEvent(t *testing.T) {
	const length = 30 * time.Second
	grown := deployments[4]
	grown.lossInterval = time.Hour
	blind := currentPolicy
	blind.choose = chooseByRank
	before := Trial(grown, blind, 1, length)
	ours := Trial(grown, currentPolicy, 1, length)
	must.Less(t, before.firstEventP99*19/20, ours.firstEventP99)
	must.Less(t, before.firstEventP50, ours.firstEventP50)
}

package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Several daemons place long prompts without knowing of each other, and every
// six seconds the engines of a zone die. Callers get nearly all answers in time
// with home engines and copies; without copies each loss makes answers late and
// prompts are read twice.
func TestPlacingHoldsUnderLosses(t *testing.T) {
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

// Six daemons stand before two dozen engines, each of which runs an answer or two. Where
// daemons know their own requests and three reports, prompts meet at an engine and are read
// beside answers while others idle: each answer waits a second longer. Told by each other
// what is under way, they have answers whole sooner, and fewer prompts read in vain.
func TestDaemonsThatTellEachOther(t *testing.T) {
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

// Seventy daemons stand before 120 engines, and a zone is lost every three seconds:
// the engine that keeps the copy of a run often dies before the one that runs it.
// Without another copy the prompt is read anew, which slows all answers, more of
// them are there at the next loss, and hardly any comes in time.
func TestLostCopiesAreMadeAgain(t *testing.T) {
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

// Seventy daemons before engines whose memory is half full of runs and copies. After
// the loss of a zone the others are full: prompts sent there all the same have runs
// thrown out and leave no room for copies, and the next loss has all of them read again.
// Callers that are turned away for some seconds instead are answered when they return.
func TestRefusalsKeepRoomForCopies(t *testing.T) {
	const length = 60 * time.Second
	all := Trial(deployments[4], withoutAdmission, 1, length)
	ours := Trial(deployments[4], currentPolicy, 1, length)
	must.GreaterEq(t, 70, 100*ours.onTime/ours.requests)
	must.GreaterEq(t, 95, 100*ours.completed/ours.requests)
	must.Less(t, 65, 100*all.onTime/all.requests)
	must.Less(t, all.wastedPromptTokens*2/3, ours.wastedPromptTokens)
}

// Four times the load comes for eight seconds while zones are lost. Where all prompts
// are sent, half of the callers wait for 25 s and get no whole answer, for engines read
// prompts in every step and throw runs out. With refusals more answers arrive, and more
// of them on time.
func TestBurstBesideLosses(t *testing.T) {
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

func TestUsualLoadRefusesNobody(t *testing.T) {
	for _, d := range deployments[:2] {
		must.Eq(t, 0, Trial(d, currentPolicy, 1, 60*time.Second).refused)
	}
}

// Daemons that know one in seventy of the prompts being read send several to one
// engine. Asked what they do, engines say so, and first events come earlier.
func TestAskedEnginesReadSooner(t *testing.T) {
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

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
		ours := Trial(d, inUse, 1, length)
		must.Eq(t, ours.answers, ours.whole)
		must.GreaterEq(t, 95, 100*ours.onTime/ours.answers)
		must.Greater(t, baseline.onTime, ours.onTime)
		must.Less(t, baseline.wasted/3, ours.wasted)
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
		before := Trial(deployments[2], untold, seed, length)
		ours := Trial(deployments[2], inUse, seed, length)
		must.Eq(t, ours.answers, ours.whole)
		must.Less(t, before.tookP50-200*time.Millisecond, ours.tookP50)
		must.Less(t, before.firstP99, ours.firstP99)
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
	grown.lossShare, grown.memory, grown.patience = 0, 1<<30, time.Hour
	once := sendsAll
	once.remakes = false
	before := Trial(grown, once, 1, length)
	ours := Trial(grown, sendsAll, 1, length)
	must.Eq(t, ours.answers, ours.whole)
	must.GreaterEq(t, 85, 100*ours.onTime/ours.answers)
	must.Less(t, 50, 100*before.onTime/before.answers)
	must.Less(t, before.wasted/3, ours.wasted)
}

// Seventy daemons before engines whose memory is half full of runs and copies. After
// the loss of a zone the others are full: prompts sent there all the same have runs
// thrown out and leave no room for copies, and the next loss has all of them read again.
// Callers that are turned away for some seconds instead are answered when they return.
func TestRefusalsKeepRoomForCopies(t *testing.T) {
	const length = 60 * time.Second
	all := Trial(deployments[4], sendsAll, 1, length)
	ours := Trial(deployments[4], inUse, 1, length)
	must.GreaterEq(t, 70, 100*ours.onTime/ours.answers)
	must.GreaterEq(t, 95, 100*ours.whole/ours.answers)
	must.Less(t, 65, 100*all.onTime/all.answers)
	must.Less(t, all.wasted*2/3, ours.wasted)
}

// Four times the load comes for eight seconds while zones are lost. Where all prompts
// are sent, half of the callers wait for 25 s and get no whole answer, for engines read
// prompts in every step and throw runs out. With refusals more answers arrive, and more
// of them on time.
func TestBurstBesideLosses(t *testing.T) {
	const length = 60 * time.Second
	for seed := range uint64(3) {
		all := Trial(deployments[5], sendsAll, seed, length)
		ours := Trial(deployments[5], inUse, seed, length)
		must.Greater(t, 100*all.onTime/all.answers, 100*ours.onTime/ours.answers)
		must.Greater(t, 100*all.whole/all.answers, 100*ours.whole/ours.answers)
		must.Less(t, all.wasted, ours.wasted)
		lost := func(r result) int { return 100 * (r.answers - r.whole - r.refused) / r.answers }
		must.Less(t, lost(all)*3/4, lost(ours))
	}
}

func TestUsualLoadRefusesNobody(t *testing.T) {
	for _, d := range deployments[:2] {
		must.Eq(t, 0, Trial(d, inUse, 1, 60*time.Second).refused)
	}
}

// Daemons that know one in seventy of the prompts being read send several to one
// engine. Asked what they do, engines say so, and first events come earlier.
func TestAskedEnginesReadSooner(t *testing.T) {
	const length = 30 * time.Second
	grown := deployments[4]
	grown.lossEvery = time.Hour
	blind := inUse
	blind.choose = byRank
	before := Trial(grown, blind, 1, length)
	ours := Trial(grown, inUse, 1, length)
	must.Less(t, before.firstP99*19/20, ours.firstP99)
	must.Less(t, before.firstP50, ours.firstP50)
}

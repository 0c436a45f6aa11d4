package headroom

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// scenarioEngines is the number of engines in a simulation: those of one zone.
const scenarioEngines = 36

// compare plays a scenario without and with headroom, with the same arrivals, and logs the outcomes.
func compare(t *testing.T, scenario func(*simulation)) (without, with *simulation) {
	without, with = newSimulation(scenarioEngines, false), newSimulation(scenarioEngines, true)
	scenario(without)
	scenario(with)
	for _, s := range []*simulation{without, with} {
		urgent, less := s.all()
		t.Logf("headroom %t: urgent %+v, less urgent %+v", s.useHeadroom, urgent, less)
	}
	return without, with
}

// all returns the outcomes of urgent and of less urgent prompts.
func (s *simulation) all() (urgent, less outcome) {
	return s.outcome(0, simUrgentBound, 0, 0), s.outcome(1, simLessBound, 0, 0)
}

func playBursts(s *simulation) {
	for range 4 {
		s.play(10*time.Second, simUrgentRate, simLessRate)
		s.play(6*time.Second, 1.8*simUrgentRate, 2.4*simLessRate)
	}
}

// Guards against bursts of less urgent prompts that fill the engines, so that urgent prompts wait
// for the end of a run; and against headroom that costs less urgent callers more than it saves.
func TestBurst(t *testing.T) {
	without, with := compare(t, playBursts)
	urgentBefore, lessBefore := without.all()
	urgent, less := with.all()
	must.Greater(t, 0.05, urgentBefore.lateRatio())
	must.LessEq(t, 0.015, urgent.lateRatio())
	must.LessEq(t, lessBefore.lateRatio()+0.01, less.lateRatio())
}

// Guards against refusals for headroom after the loss of a zone, when the engines left have room.
func TestLossOfZone(t *testing.T) {
	_, with := compare(t, func(s *simulation) {
		for zone := range 10 {
			s.play(6*time.Second, simUrgentRate, simLessRate)
			s.loseZone(zone%simZones, 1200*time.Millisecond)
		}
	})
	urgent, less := with.all()
	must.Eq(t, 0, urgent.late)
	must.LessEq(t, 0.005, less.lateRatio())
}

// Guards against the starvation of the largest less urgent prompts, which need the most memory beside
// the headroom, and against headroom that is too small for the largest urgent ones.
func TestLongPromptsAmongShortOnes(t *testing.T) {
	const long = 14_400
	_, with := compare(t, func(s *simulation) {
		s.lengths = func() int {
			if s.arrivals.IntN(10) == 0 {
				return long
			}
			return 7_200
		}
		playBursts(s)
	})
	must.Eq(t, 0, with.outcome(0, simUrgentBound, 0, long).late)
	must.LessEq(t, 0.15, with.outcome(1, simLessBound, 0, long).lateRatio())
}

// Guards against a fleet that serves fewer prompts in all while it is saturated, and against
// headroom that delays the return to normal.
func TestSaturationAndRecovery(t *testing.T) {
	var recovered time.Duration
	without, with := compare(t, func(s *simulation) {
		s.play(time.Minute, simUrgentRate, 3*simLessRate)
		s.play(20*time.Second, simUrgentRate, simLessRate)
		recovered = s.now
		s.play(20*time.Second, simUrgentRate, simLessRate)
	})
	urgentBefore, lessBefore := without.all()
	urgent, less := with.all()
	must.Greater(t, 0.15, urgentBefore.lateRatio())
	must.LessEq(t, 0.02, urgent.lateRatio())
	must.LessEq(t, lessBefore.lateRatio()+0.02, less.lateRatio())
	must.Eq(t, 0, with.outcome(1, simLessBound, recovered, 0).late)
}

// Guards against room that stays reserved for a class of prompts that sends nothing: less urgent
// prompts then get all of each engine.
func TestUrgentClassFallsSilent(t *testing.T) {
	var silent time.Duration
	without, with := compare(t, func(s *simulation) {
		s.play(20*time.Second, simUrgentRate, simLessRate)
		s.play(maxSilence+time.Second, 0, simLessRate)
		silent = s.now
		s.play(30*time.Second, 0, 2.4*simLessRate)
	})
	must.Eq(t, 0, with.prompts(1).UrgentShare)
	must.LessEq(t, without.outcome(1, simLessBound, silent, 0).late, with.outcome(1, simLessBound, silent, 0).late)
}

// Guards against the starvation of the few less urgent prompts among many urgent ones that the
// engines have room for: a few callers send nearly all prompts, and their share would keep most of
// each engine free. They are compared with the run without headroom.
func TestMostPromptsAreUrgent(t *testing.T) {
	without, with := compare(t, func(s *simulation) { s.play(time.Minute, 20*simUrgentRate, 0.2*simLessRate) })
	urgentBefore, lessBefore := without.all()
	urgent, less := with.all()
	must.LessEq(t, 0.02, urgent.lateRatio())
	must.Less(t, urgentBefore.lateRatio(), urgent.lateRatio())
	must.LessEq(t, lessBefore.lateRatio(), less.lateRatio())
}

// Guards against urgent runs that lose their copies to less urgent ones while memory is scarce: an
// urgent run is at least as likely to have a copy.
func TestUrgentRunsKeepCopiesInSaturation(t *testing.T) {
	without, with := compare(t, func(s *simulation) { s.play(time.Minute, simUrgentRate, 3*simLessRate) })
	ratio := func(s *simulation, rank int) float64 {
		o := s.outcome(rank, time.Hour, 0, 0)
		return float64(s.copied[rank]) / float64(o.all-o.refused)
	}
	must.Greater(t, ratio(without, 0)*1.5, ratio(with, 0))
	must.Greater(t, ratio(with, 1)*1.5, ratio(with, 0))
}

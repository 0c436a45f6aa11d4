package soak

import (
	"testing"
	"time"
)

// runSteps runs steps in virtual time and fails on what broke.
func runSteps(t *testing.T, seed uint64, mustServe bool, steps ...Step) {
	t.Helper()
	t.Parallel()
	p := Plan{Seed: seed, Steps: steps, Length: steps[len(steps)-1].At + 6*time.Second, EntriesPerZone: 1}
	r := inVirtualTime(t, Options{Plan: p, MustServe: mustServe, Callers: 2})
	if err := r.Err(); err != nil {
		t.Errorf("%v\n%v", err, r.Counts)
	}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// A new image is rolled out: every entry VM is replaced, one after another,
// while callers read answers and operators change the text. Callers see
// nothing of it. Each VM leaves the answers, serves what it has and stops.
func TestEveryEntryReplaced(t *testing.T) {
	runSteps(
		t, 101, true,
		Step{At: seconds(2), Kind: EntryStop},
		Step{At: seconds(7), Kind: EntryStop},
		Step{At: seconds(12), Kind: EntryStop},
	)
}

// The platform replaces the engines' VMs one by one and marks each as leaving
// before. Long answers that run there end there or move; callers see nothing.
func TestEveryEngineReplaced(t *testing.T) {
	steps := make([]Step, 6)
	for i := range steps {
		steps[i] = Step{At: seconds(1 + 3*float64(i)), Kind: EngineDrain}
	}
	runSteps(t, 102, true, steps...)
}

// A whole availability zone is lost in the middle of everything: its entry VM
// and its engines at once. Callers go on elsewhere with what they hold; every
// answer is copied to another zone before it is shown.
func TestZoneLost(t *testing.T) {
	runSteps(t, 103, true, Step{At: seconds(3), For: seconds(6), Kind: ZoneLost})
}

// Something between the ends loses track of all open connections: those of
// callers to entry VMs, and those of entry VMs to engines and to each other.
// New connections work. Callers notice the silence and go on elsewhere; entry
// VMs notice it and attach anew.
func TestConnectionsSilentForGood(t *testing.T) {
	var steps []Step
	for i := range 3 {
		steps = append(
			steps,
			Step{At: seconds(2), Kind: CallersSilent, Target: i},
			Step{At: seconds(3), Kind: PeersSilent, Target: i},
		)
	}
	for i := range 6 {
		steps = append(steps, Step{At: seconds(4), Kind: EngineConnsSilent, Target: i})
	}
	runSteps(t, 104, true, steps...)
}

// One fault at a time, each kind in turn: an answer that a caller has begun to
// read becomes whole whatever single thing fails, for each reviews caller.
func TestSingleFaults(t *testing.T) {
	for i, kind := range faultKinds {
		t.Run(string(kind), func(t *testing.T) {
			runSteps(t, uint64(300+i), true, Step{At: seconds(2), For: seconds(4), Kind: kind, Target: i, Other: i})
		})
	}
}

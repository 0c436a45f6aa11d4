package soak

import (
	"testing"
	"time"
)

// runSteps runs steps in virtual time and fails on any violation.
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

// Guards against failures during a rollout that replaces every entry VM in turn, while callers
// read responses and operators change the text. Each VM is taken off the list of entry VMs, serves
// its in-flight requests and stops; callers notice nothing.
func TestEveryEntryReplaced(t *testing.T) {
	runSteps(
		t, 101, true,
		Step{At: seconds(2), Kind: EntryStop},
		Step{At: seconds(7), Kind: EntryStop},
		Step{At: seconds(12), Kind: EntryStop},
	)
}

// Guards against failures while the platform replaces the engines' VMs one by one, each marked as
// draining first. Long responses on them finish there or move; callers notice nothing.
func TestEveryEngineReplaced(t *testing.T) {
	steps := make([]Step, 6)
	for i := range steps {
		steps[i] = Step{At: seconds(1 + 3*float64(i)), Kind: EngineDrain}
	}
	runSteps(t, 102, true, steps...)
}

// Guards against lost responses when an availability zone fails, its entry VM and engines at once.
// Callers continue elsewhere with what they hold: every response is copied to another zone before
// it is shown.
func TestZoneLost(t *testing.T) {
	runSteps(t, 103, true, Step{At: seconds(3), For: seconds(6), Kind: ZoneLost})
}

// Guards against hanging on connections whose state a middlebox has lost: those from callers to
// entry VMs, and those from entry VMs to engines and to each other. New connections work. Callers
// detect the silence and continue elsewhere; entry VMs detect it and reconnect.
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

// Guards against responses lost to a single fault, each kind in turn: every response that a
// reviews caller has begun to read becomes complete.
func TestSingleFaults(t *testing.T) {
	for i, kind := range faultKinds {
		t.Run(string(kind), func(t *testing.T) {
			runSteps(t, uint64(300+i), true, Step{At: seconds(2), For: seconds(4), Kind: kind, Target: i, Other: i})
		})
	}
}

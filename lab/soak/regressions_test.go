package soak

import (
	"fmt"
	"testing"
)

// Replays the plans of seeds that broke an invariant. The steps are written out, so that they do
// not depend on how plans are drawn.
func TestRegressionPlans(t *testing.T) {
	for _, p := range []Plan{
		{ // a new entry VM asked the plain service for an engine's status
			Seed: 1, Length: LongRun, IgnoreFence: true, EntriesPerZone: 1,
			Steps: []Step{
				{At: seconds(10.129), For: seconds(1.855), Kind: DeskSlow, Target: 9, Other: 1},
				{At: seconds(10.366), For: seconds(2.401), Kind: EntryStop, Target: 4, Other: 5},
			},
		},
		{ // a new entry VM returned not_run for a key that had run elsewhere
			Seed: 10, Length: LongRun, EntriesPerZone: 1,
			Steps: []Step{
				{At: seconds(7.247), For: seconds(3.934), Kind: EntryStop, Target: 0, Other: 7},
				{At: seconds(7.302), For: seconds(0.258), Kind: EntryCut, Target: 3, Other: 10},
			},
		},
		{ // all entry VMs were replaced in turn, and new ones waited for lost ones still on the VM list
			Seed: 20, Length: ShortRun, IgnoreFence: true, EntriesPerZone: 1,
			Steps: []Step{
				{At: seconds(1.711), For: seconds(3.246), Kind: EntryReplace, Target: 3, Other: 1},
				{At: seconds(2.208), For: seconds(0.51), Kind: EntryPause, Target: 1, Other: 2},
				{At: seconds(2.291), For: seconds(5.386), Kind: CallersSilent, Target: 9, Other: 10},
				{At: seconds(2.394), For: seconds(1.03), Kind: StoreLoseWriteResponse, Target: 5, Other: 6},
				{At: seconds(2.553), For: seconds(4.414), Kind: EngineConnsSilent, Target: 9, Other: 1},
				{At: seconds(5.355), For: seconds(3.246), Kind: EntryReplace, Target: 3, Other: 1},
				{At: seconds(9.46), For: seconds(3.246), Kind: EntryReplace, Target: 3, Other: 1},
			},
		},
		{ // while two VMs were cut off, callers were told that no VM knew their generation
			Seed: 3069, Length: LongRun, EntriesPerZone: 1,
			Steps: []Step{
				{At: seconds(2.443), For: seconds(1.364), Kind: StoreDropWrite, Target: 11, Other: 7},
				{At: seconds(2.649), For: seconds(1.429), Kind: EntryPause, Target: 3, Other: 8},
				{At: seconds(5.335), For: seconds(4.555), Kind: StoreDown, Target: 8, Other: 5},
				{At: seconds(8.448), For: seconds(1.051), Kind: EntryCut, Target: 4, Other: 11},
				{At: seconds(9.837), For: seconds(1.051), Kind: EntryCut, Target: 4, Other: 11},
				{At: seconds(10.513), For: seconds(3.239), Kind: EntryCut, Target: 5, Other: 9},
				{At: seconds(11.012), For: seconds(5.094), Kind: EntryReplace, Target: 6, Other: 9},
			},
		},
	} {
		t.Run(fmt.Sprint("seed ", p.Seed), func(t *testing.T) {
			t.Parallel()
			r := inVirtualTime(t, Options{Plan: p, Callers: 2})
			if err := r.Err(); err != nil {
				t.Errorf("%v\n%v", err, r.Counts)
			}
		})
	}
}

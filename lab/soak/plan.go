package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind names a fault or a planned change.
type Kind string

// The kinds. Those of a VM or link have a target; the others concern the one
// store, VM list or plain service.
const (
	EngineCrash            Kind = "engine_die"        // and revive
	EnginePause            Kind = "engine_pause"      // stops, connections stay open
	EngineSlow             Kind = "engine_slow"       // a straggler
	EngineStreamsSilent    Kind = "engine_silence"    // its open streams never say another word
	EngineConnsSilent      Kind = "engine_net_silent" // all its open connections do
	EngineRefuse           Kind = "engine_refuse"     // takes nothing new
	EntryCut               Kind = "entry_cut"         // off the network, then back
	EntryPause             Kind = "entry_pause"       // no traffic, then on as before
	EntryReplace           Kind = "entry_replace"     // lost; another VM takes its place
	CallersSilent          Kind = "callers_silent"    // callers' open connections to an entry VM
	PeersSilent            Kind = "peers_silent"      // entry VMs' open connections to one
	ZonesCutOneWay         Kind = "zones_cut_one_way"
	ZonesCut               Kind = "zones_cut"
	ZoneLost               Kind = "zone_lost" // every entry VM and engine of a zone
	StoreDown              Kind = "store_down"
	StoreSlow              Kind = "store_slow"
	StoreLoseWriteResponse Kind = "store_lose_write" // takes effect, its answer is lost
	StoreDropWrite         Kind = "store_drop_write" // lost on its way
	VMListDown             Kind = "list_down"
	DeskLoseResponses      Kind = "desk_lose_answers"
	DeskSilent             Kind = "desk_silent"
	DeskSlow               Kind = "desk_slow"

	EntryStop   Kind = "entry_stop"   // planned: another VM starts, this one drains
	EngineDrain Kind = "engine_leave" // planned: another VM starts, this one is marked leaving
)

// faultKinds are drawn with equal weight.
var faultKinds = []Kind{
	EngineCrash, EnginePause, EngineSlow, EngineStreamsSilent, EngineConnsSilent, EngineRefuse,
	EntryCut, EntryPause, EntryReplace, CallersSilent, PeersSilent,
	ZonesCutOneWay, ZonesCut, ZoneLost,
	StoreDown, StoreSlow, StoreLoseWriteResponse, StoreDropWrite, VMListDown,
	DeskLoseResponses, DeskSilent, DeskSlow, EntryStop,
}

// Step is one fault with its healing, or one planned change.
type Step struct {
	At   time.Duration // after the start of the run
	For  time.Duration // until it heals
	Kind Kind
	// Target and Other choose among the VMs or zones there are then, modulo
	// their number.
	Target, Other int
}

// String is one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%v %s target=%d other=%d for %v", s.At, s.Kind, s.Target, s.Other, s.For)
}

// Plan is what happens in a run, in order of time.
type Plan struct {
	Seed   uint64
	Steps  []Step
	Length time.Duration // everything is healed then
	// EntriesPerZone and IgnoreFence vary the deployment.
	EntriesPerZone int
	IgnoreFence    bool
}

// IsPlanned reports whether the plan holds planned changes alone: then nothing
// may be cut.
func (p Plan) IsPlanned() bool {
	return !slices.ContainsFunc(p.Steps, func(s Step) bool {
		return s.Kind != EntryStop && s.Kind != EngineDrain
	})
}

// mayLoseKeys reports whether two entry VMs or more are lost for good. Both that
// knew a slot of idempotency keys may be among them: its keys are undecided
// then until their retention ends, by design, because any of them may have run.
func (p Plan) mayLoseKeys() bool {
	lost := 0
	for _, s := range p.Steps {
		if s.Kind == EntryReplace {
			lost++
		}
	}
	return lost > 1
}

// String lists the steps.
func (p Plan) String() string {
	lines := []string{fmt.Sprintf("seed %d, %d entry VMs per zone, engines ignore fences: %t", p.Seed, p.EntriesPerZone, p.IgnoreFence)}
	for _, s := range p.Steps {
		lines = append(lines, "  "+s.String())
	}
	return strings.Join(lines, "\n")
}

const (
	// LongRun leaves room for faults that follow each other; ShortRun is for many seeds.
	LongRun  = 16 * time.Second
	ShortRun = 8 * time.Second
	minFault = 200 * time.Millisecond
	maxFault = 6 * time.Second
	// maxPairGap is how far apart the faults of a pair begin at most: within the
	// time in which the first is noticed.
	maxPairGap = 800 * time.Millisecond
	maxTargets = 12
	// groupInterval is the time for one group of faults: in a long run up to six.
	groupInterval = 2500 * time.Millisecond
	maxRepeats    = 3
)

// Draw makes the plan of a seed: groups of one fault, of two at about the same
// time, or of one fault that comes again right after it healed.
// Seeds keep their meaning as long as length is the same.
func Draw(seed uint64, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, planStream))
	p := Plan{Seed: seed, Length: length, EntriesPerZone: 1, IgnoreFence: rng.IntN(4) == 0}
	if rng.IntN(4) == 0 {
		p.EntriesPerZone = 2
	}
	for range 1 + rng.IntN(int(length/groupInterval)) {
		p.Steps = append(p.Steps, drawGroup(rng, length)...)
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// planStream and callStream keep the random choices of the plan apart from
// those of the callers.
const (
	planStream = 1
	callStream = 2
)

func drawGroup(rng *rand.Rand, length time.Duration) []Step {
	first := drawStep(rng, time.Second+randomDuration(rng, 0, max(length-maxFault, time.Second)))
	switch rng.IntN(3) {
	case 0:
		return []Step{first}
	case 1:
		return []Step{first, drawStep(rng, first.At+randomDuration(rng, 0, maxPairGap))}
	}
	steps := []Step{first}
	for range 1 + rng.IntN(maxRepeats-1) {
		again := steps[len(steps)-1]
		again.At += again.For + randomDuration(rng, 0, time.Second)
		steps = append(steps, again)
	}
	return steps
}

func drawStep(rng *rand.Rand, at time.Duration) Step {
	return Step{
		At: at, For: randomDuration(rng, minFault, maxFault), Kind: faultKinds[rng.IntN(len(faultKinds))],
		Target: rng.IntN(maxTargets), Other: rng.IntN(maxTargets),
	}
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low))).Truncate(time.Millisecond)
}

// minPlannedGap is the least time between two planned changes: operators replace one
// VM after another.
const minPlannedGap = 500 * time.Millisecond

// DrawPlanned makes a plan of planned changes alone: stops of entry VMs and
// engines that leave, some before the one before has ended.
func DrawPlanned(seed uint64, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, planStream))
	p := Plan{Seed: seed, Length: length, EntriesPerZone: 1 + rng.IntN(2)}
	for at := time.Second; at < length-2*time.Second; at += randomDuration(rng, minPlannedGap, 3*time.Second) {
		s := drawStep(rng, at)
		s.Kind = []Kind{EntryStop, EngineDrain}[rng.IntN(2)]
		p.Steps = append(p.Steps, s)
	}
	return p
}

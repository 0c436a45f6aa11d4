package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a fault or a planned change.
type Kind string

// The kinds. Those of a VM or link have a target; the others affect the single store, VM list or
// plain service.
const (
	EngineCrash            Kind = "engine_die"        // crashes, later restarts
	EnginePause            Kind = "engine_pause"      // stops working, connections stay open
	EngineSlow             Kind = "engine_slow"       // becomes a straggler
	EngineStreamsSilent    Kind = "engine_silence"    // its open streams go silent for good
	EngineConnsSilent      Kind = "engine_net_silent" // all its open connections go silent for good
	EngineRefuse           Kind = "engine_refuse"     // refuses new requests
	EntryCut               Kind = "entry_cut"         // off the network, later back
	EntryPause             Kind = "entry_pause"       // handles no traffic, then continues
	EntryReplace           Kind = "entry_replace"     // lost; another VM replaces it
	CallersSilent          Kind = "callers_silent"    // open connections from callers to an entry VM go silent
	PeersSilent            Kind = "peers_silent"      // open connections from entry VMs to one of them go silent
	ZonesCutOneWay         Kind = "zones_cut_one_way"
	ZonesCut               Kind = "zones_cut"
	ZoneLost               Kind = "zone_lost" // all entry VMs and engines of a zone
	StoreDown              Kind = "store_down"
	StoreSlow              Kind = "store_slow"
	StoreLoseWriteResponse Kind = "store_lose_write" // takes effect, its response is lost
	StoreDropWrite         Kind = "store_drop_write" // lost before it takes effect
	VMListDown             Kind = "list_down"
	DeskLoseResponses      Kind = "desk_lose_answers"
	DeskSilent             Kind = "desk_silent"
	DeskSlow               Kind = "desk_slow"

	EntryStop   Kind = "entry_stop"   // planned: another VM starts, this one drains
	EngineDrain Kind = "engine_leave" // planned: another VM starts, this one is marked as draining

	EngineStall Kind = "engine_stall" // sound: all its connections stall, its runs go on, nothing is lost
	DeskStall   Kind = "desk_stall"   // the same for the plain service
)

// harmlessKinds must not make any request fail.
var harmlessKinds = []Kind{EntryStop, EngineDrain, EngineStall, DeskStall}

// faultKinds are drawn with equal probability.
var faultKinds = []Kind{
	EngineCrash, EnginePause, EngineSlow, EngineStreamsSilent, EngineConnsSilent, EngineRefuse,
	EntryCut, EntryPause, EntryReplace, CallersSilent, PeersSilent,
	ZonesCutOneWay, ZonesCut, ZoneLost,
	StoreDown, StoreSlow, StoreLoseWriteResponse, StoreDropWrite, VMListDown,
	DeskLoseResponses, DeskSilent, DeskSlow, EntryStop,
}

// Step is one fault, which is healed later, or one planned change.
type Step struct {
	At   time.Duration // from the start of the run
	For  time.Duration // until the fault is healed
	Kind Kind
	// Target and Other select among the VMs or zones that exist at that time, modulo their number.
	Target, Other int
}

// String returns the step as one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%v %s target=%d other=%d for %v", s.At, s.Kind, s.Target, s.Other, s.For)
}

// Plan lists the steps of a run in order of time.
type Plan struct {
	Seed   uint64
	Steps  []Step
	Length time.Duration // all faults are healed at its end
	// EntriesPerZone and IgnoreFence vary the deployment.
	EntriesPerZone int
	IgnoreFence    bool
}

// IsPlanned reports whether the plan consists of planned changes and stalls of sound servers only,
// which must not make any request fail.
func (p Plan) IsPlanned() bool {
	return !slices.ContainsFunc(p.Steps, func(s Step) bool {
		return !slices.Contains(harmlessKinds, s.Kind)
	})
}

// mayLoseKeys reports whether two or more entry VMs are lost for good. Both VMs that knew a slot
// of idempotency keys may be among them. The keys of that slot are then undecided until their
// retention ends, by design, because any of them may have run.
func (p Plan) mayLoseKeys() bool {
	lost := 0
	for _, s := range p.Steps {
		if s.Kind == EntryReplace {
			lost++
		}
	}
	return lost > 1
}

// String returns the deployment and the steps, one a line.
func (p Plan) String() string {
	lines := []string{fmt.Sprintf("seed %d, %d entry VMs per zone, engines ignore fences: %t", p.Seed, p.EntriesPerZone, p.IgnoreFence)}
	for _, s := range p.Steps {
		lines = append(lines, "  "+s.String())
	}
	return strings.Join(lines, "\n")
}

const (
	// LongRun has room for successive faults; ShortRun allows many seeds.
	LongRun  = 16 * time.Second
	ShortRun = 8 * time.Second
	minFault = 200 * time.Millisecond
	maxFault = 6 * time.Second
	// maxPairGap is the longest time between the starts of a pair of faults, within the time in
	// which the first one is detected.
	maxPairGap = 800 * time.Millisecond
	maxTargets = 12
	// groupInterval is the time per group of faults: a long run has up to six.
	groupInterval = 2500 * time.Millisecond
	maxRepeats    = 3
)

// Draw draws the plan of a seed: groups of one fault, of two at about the same time, or of one
// fault that recurs right after it was healed. The same seed and length give the same plan.
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

// planStream and callStream separate the random choices of the plan from those of the callers.
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

// minPlannedGap is the shortest time between two planned changes: operators replace VMs one after
// another.
const minPlannedGap = 500 * time.Millisecond

// DrawPlanned draws a plan of planned changes only: stops of entry VMs and replacements of engines,
// some of which overlap.
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

const (
	// A sound engine stalls for 0.5 to 2.5 seconds, the plain service no longer than its calls can
	// wait: their deadline is two seconds.
	minStall       = 500 * time.Millisecond
	maxEngineStall = 2500 * time.Millisecond
	maxDeskStall   = 1500 * time.Millisecond
	// Two stalls of the same kind are this far apart, so that what was held back is delivered.
	minStallPause = 100 * time.Millisecond
	maxStallPause = 2 * time.Second
	// silenceStream separates the stalls of a plan from its other steps.
	silenceStream = 3
)

// DrawSilent draws a plan of planned changes during which sound servers stall now and then.
func DrawSilent(seed uint64, length time.Duration) Plan {
	p := DrawPlanned(seed, length)
	rng := rand.New(rand.NewPCG(seed, silenceStream))
	p.Steps = append(p.Steps, drawStalls(rng, EngineStall, maxEngineStall, length)...)
	p.Steps = append(p.Steps, drawStalls(rng, DeskStall, maxDeskStall, length)...)
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// drawStalls draws stalls of one kind, one after another, that end before the plan does.
func drawStalls(rng *rand.Rand, kind Kind, longest, length time.Duration) (stalls []Step) {
	for at := randomDuration(rng, minStallPause, maxStallPause); at < length-longest; {
		s := Step{At: at, For: randomDuration(rng, minStall, longest), Kind: kind, Target: rng.IntN(maxTargets)}
		stalls = append(stalls, s)
		at += s.For + randomDuration(rng, minStallPause, maxStallPause)
	}
	return stalls
}

// Package prompts decides which model engine prefills a long prompt, and which one keeps a copy of
// the KV cache of the run.
//
// Load pattern: prompts whose prefill takes a second arrive at several entry VMs at once, while the
// engines of a whole zone may fail together.
//
// Without it, daemons that know only their own requests send two prompts to one engine while others
// are idle: both prompts wait, every answer running there stalls between the prefill chunks, and
// twice as much work is lost if the engine fails. A copy in the same zone is lost together with the
// run.
//
// Decision: each daemon prefers its own subset of each zone's engines, so that two daemons choose
// the same engine only when they spill over. Engines that prefill no prompt of this daemon come
// before those that do, then preferred engines before others, then those with the fewest runs. The
// first few engines in this order are queried for a report, and the least loaded of them is chosen:
// with seventy daemons most prompts spill over, and each daemon knows of only one in seventy of the
// prompts in prefill.
//
// In a small fleet, each daemon instead polls the others for their requests in flight before it
// places a prompt (ShouldPollPeers). The engine that prefills nothing and runs the fewest answers
// then comes first, preferred or not. In a larger fleet, the daemon queries the trackers of the
// prompt's candidate engines instead (Tracker, PlacementCandidates). If too few trackers answer, it
// falls back to the reports of the first few engines.
//
// Where the engines of a service are observed to differ in speed (package pace), Engine.Pace and
// Report.Pace are set. The order is then by the expected time to the first event, counted in prompts
// of an average engine (queueTime), and by the delay of the answers at the engine (delay): a short
// queue at a fast engine comes before an idle slow one. Both are rounded, so that many engines are
// equal and daemons that choose at the same instant choose different ones. Where Pace is 0, nothing
// of this applies.
package prompts

import (
	"math"
	"slices"

	"mallowwind.dev/decision/route"
)

// Engine is one candidate as this daemon knows it.
type Engine struct {
	Zone string
	// Preferred marks an engine of this daemon's subset, or a candidate for the prompt.
	Preferred bool
	// Prefilling and Running count the requests in flight at the engine before and after their
	// first event, and Copies the copies of runs elsewhere that it keeps. They include the requests
	// of other daemons as far as those are known.
	Prefilling, Running, Copies int
	// Suspect marks an engine that failed recently; it is a last resort.
	Suspect bool
	// Excluded engines are not chosen.
	Excluded bool
	// Pace is the time that the engine takes relative to an average one, 1 if that is unknown, 0
	// where engines are not observed to differ.
	Pace float64
	// Untested marks an engine of unknown pace where engines differ. It gets one prompt at a time.
	Untested bool
	// Slow marks an engine that is clearly slower than average.
	Slow bool
}

// Reason says why an engine was chosen.
type Reason string

// The reasons.
const (
	ReasonKnown     Reason = "known_idle"
	ReasonPreferred Reason = "home_idle"
	ReasonSpill     Reason = "spill_idle"
	ReasonBusy      Reason = "all_reading"
	ReasonSuspect   Reason = "suspects_only"
)

// Choice is a chosen engine by its index.
type Choice struct {
	Index  int
	Reason Reason
}

// rank orders engines; smaller is better, and the first field that differs decides.
type rank struct {
	suspect        bool
	queued         bool // behind a prompt at an engine that gets one at a time
	slow           bool // matters for copies only
	prefilling     int  // prompts at an average engine that take as long; one less than queueTime
	delayedAnswers int  // answers that a prefill would delay; 0 unless those of all daemons are known
	notPreferred   bool
	load           int
	tieBreak       uint64
}

func (a rank) before(b rank) bool {
	switch {
	case a.suspect != b.suspect:
		return !a.suspect
	case a.queued != b.queued:
		return !a.queued
	case a.slow != b.slow:
		return !a.slow
	case a.prefilling != b.prefilling:
		return a.prefilling < b.prefilling
	case a.delayedAnswers != b.delayedAnswers:
		return a.delayedAnswers < b.delayedAnswers
	case a.notPreferred != b.notPreferred:
		return !a.notPreferred
	case a.load != b.load:
		return a.load < b.load
	}
	return a.tieBreak < b.tieBreak
}

// rankedEngine is the index of an engine with its rank.
type rankedEngine struct {
	rank
	index int
}

// ChoosePrefillEngines returns at most n engines that may prefill a prompt, the best first. complete
// says that the counts in engines include those of all daemons. seed breaks ties at random.
func ChoosePrefillEngines(engines []Engine, n int, complete bool, seed uint64) []Choice {
	var best []rankedEngine
	for i, e := range engines {
		if e.Excluded {
			continue
		}
		r := rank{
			suspect: e.Suspect, prefilling: e.Prefilling, notPreferred: !e.Preferred,
			load: e.Running + e.Copies, tieBreak: route.Mix(seed + uint64(i)),
		}
		if complete {
			r.delayedAnswers = e.Running
		}
		if e.Pace > 0 {
			r.applyPace(e, complete)
		}
		best = insert(best, n, rankedEngine{index: i, rank: r})
	}
	choices := make([]Choice, len(best))
	for i, r := range best {
		choices[i] = Choice{Index: r.index, Reason: reason(engines[r.index], complete)}
	}
	return choices
}

// applyPace ranks an engine by its pace.
func (a *rank) applyPace(e Engine, complete bool) {
	a.queued = e.Untested && e.Prefilling > 0
	a.prefilling = queueTime(e.Pace, e.Slow, e.Prefilling, e.Running) - 1
	if complete {
		a.delayedAnswers = delay(e.Pace, e.Prefilling+e.Running)
	}
}

// queueTime returns how long the first event of a prompt takes behind so many pending ones, in whole
// prompts of an average engine, rounded. A prefill at a slow engine that runs answers counts one
// prompt more: their events come so far apart meanwhile that they may miss the gap target of their
// route, which is worse than a first event that comes one prefill later.
func queueTime(pace float64, slow bool, pending, running int) int {
	prompts := int(math.Round(pace * float64(pending+1)))
	if slow && running > 0 {
		prompts++
	}
	return max(prompts, 1)
}

// delayUnits is the number of units that one answer at an average engine counts for delay: enough to
// tell an idle fast engine from an idle average one.
const delayUnits = 2

// delay returns how much a prefill delays the answers at an engine, those of pending prompts and of
// this one included, rounded.
func delay(pace float64, answers int) int {
	return int(math.Round(delayUnits * pace * float64(answers+1)))
}

// insert adds r to the sorted list of the n best engines.
func insert(best []rankedEngine, n int, r rankedEngine) []rankedEngine {
	at, _ := slices.BinarySearchFunc(best, r, func(a, b rankedEngine) int {
		if a.before(b.rank) {
			return -1
		}
		return 1
	})
	if at >= n {
		return best
	}
	best = slices.Insert(best, at, r)
	return best[:min(len(best), n)]
}

func reason(e Engine, complete bool) Reason {
	switch {
	case e.Suspect:
		return ReasonSuspect
	case e.Prefilling > 0:
		return ReasonBusy
	case complete:
		return ReasonKnown
	case !e.Preferred:
		return ReasonSpill
	}
	return ReasonPreferred
}

// ChooseCopyEngine returns the index of the engine that keeps the copy of a run in the given zone,
// -1 if there is none. Engines in other zones come first, because all engines of a zone may fail
// together, then engines that are not slow, because the answer continues there, then engines without
// a prefill, because an answer resumed there would stall between the prefill chunks.
func ChooseCopyEngine(engines []Engine, zone string, seed uint64) int {
	best, at, bestInZone := rank{}, -1, false
	for i, e := range engines {
		if e.Excluded || e.Suspect {
			continue
		}
		inZone := e.Zone == zone
		r := rank{slow: e.Slow, prefilling: e.Prefilling, notPreferred: !e.Preferred, load: e.Copies + e.Running, tieBreak: route.Mix(seed + uint64(i))}
		better := at < 0 || inZone != bestInZone && !inZone || inZone == bestInZone && r.before(best)
		if better {
			best, at, bestInZone = r, i, inZone
		}
	}
	return at
}

// Report is the load that an engine reports when it is queried, as of a fifth of a second ago.
type Report struct {
	// PendingPrompts counts the prompts in prefill and those queued.
	PendingPrompts int
	// Running counts the runs that are decoding.
	Running int
	// UsedTokens is the number of tokens in memory that the engine can't evict, CapacityTokens the
	// number that fits in memory, or 0 if the engine doesn't report it.
	UsedTokens, CapacityTokens int
	// Slots is the number of runs that the engine processes at once; 0 if unknown.
	Slots int
	// CopyTokens is the part of UsedTokens that belongs to no run listed, which is taken by copies
	// of runs at other engines. It is too low if runs share parts of their prompts.
	CopyTokens int
	// Copies is the number of copies that this daemon placed at the engine.
	Copies int
	// Priorities holds the priority of each run that states one.
	Priorities []int
	// Pace, Untested and Slow are those of Engine. They are not part of what the engine reports.
	Pace           float64
	Untested, Slow bool
}

// maxFillRatio is the share of an engine's memory above which it gets no copy, and no prompt while
// another engine has capacity. Copies grow to their full size only after they were placed, answers
// add a tenth of their prompts' size, and reports lag.
const maxFillRatio = 0.75

// HasCapacity reports whether the engine has memory for so many more tokens. An engine without it
// preempts its newest run in the middle of the answer and repeats the prefill of that run's prompt.
func (r Report) HasCapacity(tokens int) bool {
	return r.CapacityTokens == 0 || float64(r.UsedTokens+tokens) <= maxFillRatio*float64(r.CapacityTokens)
}

// CanPrefillNow reports whether the prefill of a prompt with so many tokens would start at once, or,
// behind other prompts at a fast engine, end about as early as at an idle average one.
func (r Report) CanPrefillNow(tokens int) bool {
	return (r.PendingPrompts == 0 || r.Pace > 0 && r.queueTime() == 1) && r.HasCapacity(tokens)
}

// queueTime returns queueTime of the engine that sent the report.
func (r Report) queueTime() int { return queueTime(r.Pace, r.Slow, r.PendingPrompts, r.Running) }

// LeastLoaded returns the index of the report of the best engine for a prompt, -1 without reports.
// Engines with capacity come first, then those with the fewest pending prompts, then those where the
// prefill delays the fewest running answers. Among equals, the first is taken: the reports are in
// order of preference.
func LeastLoaded(reports []Report, tokens int) int {
	best := -1
	for i, r := range reports {
		if best < 0 || r.before(reports[best], tokens) {
			best = i
		}
	}
	return best
}

func (r Report) before(other Report, tokens int) bool {
	if hasCapacity := r.HasCapacity(tokens); hasCapacity != other.HasCapacity(tokens) {
		return hasCapacity
	}
	if r.Pace > 0 && other.Pace > 0 {
		return r.beforeByPace(other)
	}
	if r.PendingPrompts != other.PendingPrompts {
		return r.PendingPrompts < other.PendingPrompts
	}
	return r.Running < other.Running
}

// beforeByPace compares two engines of different speed.
func (r Report) beforeByPace(other Report) bool {
	if a, b := r.Untested && r.PendingPrompts > 0, other.Untested && other.PendingPrompts > 0; a != b {
		return b
	}
	if a, b := r.queueTime(), other.queueTime(); a != b {
		return a < b
	}
	return delay(r.Pace, r.PendingPrompts+r.Running) < delay(other.Pace, other.PendingPrompts+other.Running)
}

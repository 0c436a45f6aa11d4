// Package prompts decides which model engine reads a long prompt, and which
// one keeps a copy of the run's memory.
//
// Load it answers: prompts that take an engine a second to read, arriving at
// several entry VMs at once, while the engines of a whole zone may be lost.
//
// Without it, daemons that know only their own requests send two prompts to
// one engine while others idle: both wait, every answer that runs there stalls
// between the chunks, and twice as much is lost when the engine dies. A copy in
// the same zone is lost together with the run.
//
// How it decides: each daemon has home engines, a window of its own of each
// zone's engines, so that daemons meet on an engine only when they spill over.
// An engine that reads no prompt of this daemon goes before one that does, a
// home engine before another, and then the one with the fewest runs. The first
// few of this order are asked what they do, and the quietest of them is chosen:
// with seventy daemons most prompts spill over, and each daemon knows one in
// seventy of the prompts being read.
//
// A fleet of few daemons does better: each asks the others what they have under way
// before it places a prompt (Asks), and then the engine that reads nothing and makes the
// fewest answers goes first, home or not. In a larger fleet the keepers of the engines of the
// prompt's window are asked instead (Keeper, Window). The first few engines by reports are
// what is left where too few keepers answer.
package prompts

import (
	"slices"

	"mallowwind.dev/decision/route"
)

// Engine is one candidate as this daemon sees it.
type Engine struct {
	Zone string
	// Preferred marks an engine of this daemon's own window.
	Preferred bool
	// Reading, Running and Copies are the requests known there, this daemon's and what
	// others told of theirs: before their first event, after it, and copies of runs
	// elsewhere.
	Prefilling, Running, Copies int
	// Suspect marks an engine that failed a moment ago; it is a last resort.
	Suspect bool
	// Excluded engines are not chosen.
	Excluded bool
}

// Reason says why an engine was chosen.
type Reason string

// The reasons.
const (
	ReasonKnown   Reason = "known_idle"
	ReasonHome    Reason = "home_idle"
	ReasonSpill   Reason = "spill_idle"
	ReasonBusy    Reason = "all_reading"
	ReasonSuspect Reason = "suspects_only"
)

// Choice is an engine by index.
type Choice struct {
	Index  int
	Reason Reason
}

// rank orders candidates; smaller is better at every field in turn.
type rank struct {
	suspect bool
	reading int
	delayed int // answers that a prompt there would delay, as far as all of them are known
	away    bool
	load    int
	draw    uint64
}

func (a rank) before(b rank) bool {
	switch {
	case a.suspect != b.suspect:
		return !a.suspect
	case a.reading != b.reading:
		return a.reading < b.reading
	case a.delayed != b.delayed:
		return a.delayed < b.delayed
	case a.away != b.away:
		return !a.away
	case a.load != b.load:
		return a.load < b.load
	}
	return a.draw < b.draw
}

// ranked is a candidate with its rank.
type ranked struct {
	rank
	index int
}

// ChoosePrefillEngines returns the engines that may read a prompt, the best first and n at most. known
// says that the counts are those of all daemons. draw breaks ties at random.
func ChoosePrefillEngines(engines []Engine, n int, known bool, draw uint64) []Choice {
	var best []ranked
	for i, e := range engines {
		if e.Excluded {
			continue
		}
		r := rank{
			suspect: e.Suspect, reading: e.Prefilling, away: !e.Preferred,
			load: e.Running + e.Copies, draw: route.Mix(draw + uint64(i)),
		}
		if known {
			r.delayed = e.Running
		}
		best = insert(best, n, ranked{index: i, rank: r})
	}
	choices := make([]Choice, len(best))
	for i, r := range best {
		choices[i] = Choice{Index: r.index, Reason: reason(r.rank, known)}
	}
	return choices
}

// insert puts r into a list of the n best, which is in order.
func insert(best []ranked, n int, r ranked) []ranked {
	at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
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

func reason(r rank, known bool) Reason {
	switch {
	case r.suspect:
		return ReasonSuspect
	case r.reading > 0:
		return ReasonBusy
	case known:
		return ReasonKnown
	case r.away:
		return ReasonSpill
	}
	return ReasonHome
}

// ChooseCopyEngine chooses the engine that keeps the copy of a run in zone, -1 if none. It
// is in another zone where there is one, since zones are lost whole, and reads
// no prompt, since an answer that goes on there would wait between its chunks.
func ChooseCopyEngine(engines []Engine, zone string, draw uint64) int {
	best, at, bestNear := rank{}, -1, false
	for i, e := range engines {
		if e.Excluded || e.Suspect {
			continue
		}
		near := e.Zone == zone
		r := rank{reading: e.Prefilling, away: !e.Preferred, load: e.Copies + e.Running, draw: route.Mix(draw + uint64(i))}
		better := at < 0 || near != bestNear && !near || near == bestNear && r.before(best)
		if better {
			best, at, bestNear = r, i, near
		}
	}
	return at
}

// Report is what an engine says of itself when it is asked, as of a fifth of a
// second ago.
type Report struct {
	// PendingPrompts are the prompts that it reads or that wait there.
	PendingPrompts int
	// Running are the runs that make events.
	Running int
	// UsedTokens and Memory are the tokens that it holds and cannot give up, and all that
	// it can hold; Memory is 0 where it does not say.
	UsedTokens, CapacityTokens int
}

// fullShare is the share of an engine's memory beyond which no copy is placed there,
// and no prompt while another engine has room. Copies grow to their whole size only
// after they were placed, answers grow by a tenth of their prompts, and reports lag.
const fullShare = 0.75

// HasCapacity reports whether the engine has room for so many more tokens. Without room
// it throws out the newest of the runs there, in the middle of its answer, and
// reads that one's prompt again.
func (r Report) HasCapacity(tokens int) bool {
	return r.CapacityTokens == 0 || float64(r.UsedTokens+tokens) <= fullShare*float64(r.CapacityTokens)
}

// CanPrefillNow reports whether a prompt of so many tokens would be read at once.
func (r Report) CanPrefillNow(tokens int) bool { return r.PendingPrompts == 0 && r.HasCapacity(tokens) }

// LeastLoaded returns the index of the engine that has room for a prompt, where it
// waits least, and among equals the one where reading it delays the fewest running
// answers; -1 without reports. The reports are in the order of preference.
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
	if fits := r.HasCapacity(tokens); fits != other.HasCapacity(tokens) {
		return fits
	}
	if r.PendingPrompts != other.PendingPrompts {
		return r.PendingPrompts < other.PendingPrompts
	}
	return r.Running < other.Running
}

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
// home engine before another, and then the one with the fewest runs.
package prompts

import "mallowwind.dev/decision/route"

// Engine is one candidate as this daemon sees it.
type Engine struct {
	Zone string
	// Home marks an engine of this daemon's own window.
	Home bool
	// Reading, Running and Copies are this daemon's requests there: before their
	// first event, after it, and copies of runs elsewhere.
	Reading, Running, Copies int
	// Suspect marks an engine that failed a moment ago; it is a last resort.
	Suspect bool
	// Excluded engines are not chosen.
	Excluded bool
}

// Reason says why an engine was chosen.
type Reason string

// The reasons.
const (
	ReasonHome    Reason = "home_idle"
	ReasonSpill   Reason = "spill_idle"
	ReasonBusy    Reason = "all_reading"
	ReasonSuspect Reason = "suspects_only"
	ReasonNone    Reason = "none"
)

// Choice is an engine by index, -1 if there is none.
type Choice struct {
	Index  int
	Reason Reason
}

// rank orders candidates; smaller is better at every field in turn.
type rank struct {
	suspect bool
	reading int
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
	case a.away != b.away:
		return !a.away
	case a.load != b.load:
		return a.load < b.load
	}
	return a.draw < b.draw
}

// Read chooses the engine that reads a prompt. draw breaks ties at random.
func Read(engines []Engine, draw uint64) Choice {
	best, at := rank{}, -1
	for i, e := range engines {
		if e.Excluded {
			continue
		}
		r := rank{
			suspect: e.Suspect, reading: e.Reading, away: !e.Home,
			load: e.Running + e.Copies, draw: route.Mix(draw + uint64(i)),
		}
		if at < 0 || r.before(best) {
			best, at = r, i
		}
	}
	return Choice{Index: at, Reason: reason(best, at)}
}

func reason(r rank, at int) Reason {
	switch {
	case at < 0:
		return ReasonNone
	case r.suspect:
		return ReasonSuspect
	case r.reading > 0:
		return ReasonBusy
	case r.away:
		return ReasonSpill
	}
	return ReasonHome
}

// Copy chooses the engine that keeps the copy of a run in zone, -1 if none. It
// is in another zone where there is one, since zones are lost whole, and reads
// no prompt, since an answer that goes on there would wait between its chunks.
func Copy(engines []Engine, zone string, draw uint64) int {
	best, at, bestNear := rank{}, -1, false
	for i, e := range engines {
		if e.Excluded || e.Suspect {
			continue
		}
		near := e.Zone == zone
		r := rank{reading: e.Reading, away: !e.Home, load: e.Copies + e.Running, draw: route.Mix(draw + uint64(i))}
		better := at < 0 || near != bestNear && !near || near == bestNear && r.before(best)
		if better {
			best, at, bestNear = r, i, near
		}
	}
	return at
}

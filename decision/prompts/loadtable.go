package prompts

import (
	"time"

	"mallowwind.dev/decision/rendezvous"
)

const (
	// loadTTL is how long a report counts that no later one replaces: about as long as an answer
	// takes. A daemon that failed doesn't report the end of its requests.
	loadTTL = 10 * time.Second
	// sweepInterval is how often engines without a current report are removed.
	sweepInterval = 30 * time.Second
)

// Tracker returns the index of the daemon that tracks the load of an engine, by rendezvous hashing
// of the hashes of both; -1 if there is no daemon.
//
// Load pattern: dozens to hundreds of daemons use as many engines. Each daemon receives one prompt
// in several seconds, the reports of engines are a tenth of a second old, and polling all daemons
// before each prompt would take a number of calls quadratic in the fleet size.
//
// Without it, daemons that query the same engines at the same time find the same engine idle, and
// their prompts are prefilled one after the other. Querying more engines makes this more frequent.
//
// Decision: each engine has one tracker, which every daemon computes alike. Each daemon reports any
// change of its requests in flight at an engine to the tracker at once, always with the full counts,
// so that a lost report is repaired by the next one. Before a prompt is placed, the trackers of its
// candidate engines are queried. An engine that fails requests at once would always look idle and
// attract the prompts of all daemons, so a report also says whether the daemon suspects the engine.
// The tracked load is advisory: the chosen engine is still queried for its own report, and if
// trackers don't answer, the choice is made from the reports of engines.
func Tracker(engine uint64, daemons []uint64) int {
	for _, i := range rendezvous.Select(engine, daemons, 1) {
		return i
	}
	return -1
}

// DaemonLoad is what one daemon reports of its requests in flight at an engine: prompts without an
// event, and answers that have begun. Incarnation identifies the daemon's process, and Sequence
// orders the reports of one process.
type DaemonLoad struct {
	Incarnation, Sequence uint64
	Prefilling, Running   int
	// SuspectFor is how long the daemon will continue to suspect the engine after a failure.
	SuspectFor time.Duration
}

// LoadSum is the sum of what daemons reported for an engine, and how many of them suspect it.
type LoadSum struct{ Prefilling, Running, SuspectedBy int }

// timedLoad is a report with the time at which it was received.
type timedLoad struct {
	DaemonLoad
	received time.Time
}

// LoadTable holds the load of engines as reported by daemons. K identifies an incarnation of an
// engine. The zero value is empty. It is not safe for concurrent use.
type LoadTable[K comparable] struct {
	engines   map[K]map[string]timedLoad // by engine and daemon
	lastSweep time.Time
}

// Update records the report of a daemon, unless a later one of the same process is known.
func (l *LoadTable[K]) Update(now time.Time, engine K, daemon string, report DaemonLoad) {
	if l.engines == nil {
		l.engines = map[K]map[string]timedLoad{}
	}
	l.sweep(now)
	reports := l.engines[engine]
	if reports == nil {
		reports = map[string]timedLoad{}
		l.engines[engine] = reports
	}
	if old, known := reports[daemon]; known && old.Incarnation == report.Incarnation && report.Sequence <= old.Sequence {
		return
	}
	reports[daemon] = timedLoad{DaemonLoad: report, received: now}
}

// Sum returns the sum of what all daemons but one reported for an engine.
func (l *LoadTable[K]) Sum(now time.Time, engine K, except string) (sum LoadSum) {
	for daemon, report := range l.engines[engine] {
		age := now.Sub(report.received)
		if daemon == except || age >= loadTTL {
			continue
		}
		sum.Prefilling += report.Prefilling
		sum.Running += report.Running
		if age < report.SuspectFor {
			sum.SuspectedBy++
		}
	}
	return sum
}

// sweep removes expired reports.
func (l *LoadTable[K]) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for engine, reports := range l.engines {
		for daemon, report := range reports {
			if now.Sub(report.received) >= loadTTL {
				delete(reports, daemon)
			}
		}
		if len(reports) == 0 {
			delete(l.engines, engine)
		}
	}
}

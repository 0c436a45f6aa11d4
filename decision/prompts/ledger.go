package prompts

import (
	"time"

	"mallowwind.dev/decision/rendezvous"
)

const (
	// noteKept is how long a note counts that no later one replaces: about as long as an
	// answer takes. A daemon that died tells no end of what it had under way.
	noteKept = 10 * time.Second
	// sweepEvery is how often engines are forgotten of which no note counts any more.
	sweepEvery = 30 * time.Second
)

// Tracker returns the index of the daemon that keeps the notes on an engine, by rendezvous
// hashing of the hashes of both; -1 where there is no daemon.
//
// Load it answers: dozens to hundreds of daemons before as many engines. Each daemon sees
// one prompt in seconds, the reports of engines are a tenth of a second old, and asking all
// daemons before each prompt costs their number squared.
//
// Without it daemons that ask about the same engines at the same time find the same one
// idle, and their prompts are read one after the other; the more engines each asks, the
// more do.
//
// How it decides: for each engine one daemon, the same by every daemon's reckoning, is told
// what each of the others has under way there, at once and as a whole, so that a note that
// is lost is mended by the next. Before a prompt the keepers of the few engines of its
// window are asked. An engine that fails requests at once would always be idle by the notes
// and draw the prompts of all: so a note says too whether its daemon suspects the engine.
// Notes are no promise: the engine chosen is asked for its report all the same, and where
// keepers are lost the choice is left to reports.
func Tracker(engine uint64, daemons []uint64) int {
	for _, i := range rendezvous.Select(engine, daemons, 1) {
		return i
	}
	return -1
}

// DaemonLoad is what one daemon has under way at an engine: prompts without an event, and
// answers that have begun. Sequence orders the notes of one process, Boot names it.
type DaemonLoad struct {
	Incarnation, Sequence uint64
	Prefilling, Running   int
	// SuspectFor is for how long the daemon still suspects the engine, which failed it.
	SuspectFor time.Duration
}

// LoadSum is what daemons have under way at an engine, and how many of them suspect it.
type LoadSum struct{ Prefilling, Running, SuspectedBy int }

// noted is a note with its time.
type noted struct {
	DaemonLoad
	at time.Time
}

// LoadTable keeps the notes on engines, by a key of the engine's present life. The zero value
// is empty. It is not safe for concurrent use.
type LoadTable[K comparable] struct {
	engines map[K]map[string]noted // by daemon
	swept   time.Time
}

// Update records a note of a daemon, unless a later one of the same process is known.
func (l *LoadTable[K]) Update(now time.Time, engine K, daemon string, n DaemonLoad) {
	if l.engines == nil {
		l.engines = map[K]map[string]noted{}
	}
	l.sweep(now)
	notes := l.engines[engine]
	if notes == nil {
		notes = map[string]noted{}
		l.engines[engine] = notes
	}
	if old, known := notes[daemon]; known && old.Incarnation == n.Incarnation && n.Sequence <= old.Sequence {
		return
	}
	notes[daemon] = noted{DaemonLoad: n, at: now}
}

// Sum is what all daemons but one have noted of an engine.
func (l *LoadTable[K]) Sum(now time.Time, engine K, except string) (sum LoadSum) {
	for daemon, n := range l.engines[engine] {
		age := now.Sub(n.at)
		if daemon == except || age >= noteKept {
			continue
		}
		sum.Prefilling += n.Prefilling
		sum.Running += n.Running
		if age < n.SuspectFor {
			sum.SuspectedBy++
		}
	}
	return sum
}

// sweep forgets what does not count any more.
func (l *LoadTable[K]) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for engine, notes := range l.engines {
		for daemon, n := range notes {
			if now.Sub(n.at) >= noteKept {
				delete(notes, daemon)
			}
		}
		if len(notes) == 0 {
			delete(l.engines, engine)
		}
	}
}

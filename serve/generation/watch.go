package generation

import (
	"sync"
	"time"

	"mallowwind.dev/decision/silence"
)

// watch knows every running attempt of this daemon and what each engine's gaps
// are like. It tells one silent engine from a stall of all. It is safe for
// concurrent use.
type watch struct {
	mu      sync.Mutex
	engines map[string]*engineGaps
	pools   map[string]*engineGaps // of all engines of a pool together
	running map[watchKey]*watched
}

type engineGaps struct {
	gaps, first silence.GapEstimator
	seen        time.Time
	suspected   time.Time // when a stream was, zero after any chunk since
}

type watchKey struct {
	generation string
	attempt    uint64
}

type watched struct {
	backend   string
	last      time.Time
	threshold time.Duration // 0 before the first chunk
}

func newWatch() *watch {
	return &watch{engines: make(map[string]*engineGaps), pools: make(map[string]*engineGaps), running: make(map[watchKey]*watched)}
}

func (w *watch) engine(id string) *engineGaps {
	e := w.engines[id]
	if e == nil {
		e = &engineGaps{}
		w.engines[id] = e
	}
	return e
}

func (w *watch) start(generation string, a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[watchKey{generation, a.number}] = &watched{backend: a.backend.ID, last: a.last}
}

func (w *watch) chunk(generation string, a *attempt, now time.Time, threshold time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engine(a.backend.ID).suspected = time.Time{}
	if r := w.running[watchKey{generation, a.number}]; r != nil {
		r.last, r.threshold = now, threshold
	}
}

func (w *watch) stop(generation string, a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, watchKey{generation, a.number})
}

func (w *watch) observe(backend string, gap time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engine(backend)
	e.gaps.Observe(gap)
	e.seen = time.Now()
}

func (w *watch) observeFirst(pool, backend string, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engine(backend)
	e.first.Observe(wait)
	e.seen = time.Now()
	w.pool(pool).first.Observe(wait)
}

func (w *watch) pool(name string) *engineGaps {
	p := w.pools[name]
	if p == nil {
		p = &engineGaps{}
		w.pools[name] = p
	}
	return p
}

func (w *watch) threshold(c silence.Config, stream *silence.GapEstimator, backend string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return silence.Threshold(c, stream, &w.engine(backend).gaps)
}

// firstThreshold judges by the engine's own first chunks, and while few of
// these were seen by those of its pool: first chunks are rare, a daemon at size
// sees few of any one engine, and the ceiling would hold a takeover that landed
// on another lost engine for many seconds.
func (w *watch) firstThreshold(c silence.Config, pool string, a *attempt) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := &w.engine(a.backend.ID).first
	if !first.HasEnoughSamples() {
		first = &w.pool(pool).first
	}
	return silence.FirstChunkThreshold(c, first, a.reads, a.takeover)
}

// globalStall reports whether the streams on other engines than suspect are
// silent too.
func (w *watch) globalStall(now time.Time, suspect string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent, total := 0, 0
	for _, r := range w.running {
		if r.backend == suspect || r.threshold == 0 {
			continue
		}
		total++
		// Half its threshold is enough here: thresholds differ, and when all
		// streams stop together the first to reach its own must see the others.
		if now.Sub(r.last) >= r.threshold/2 {
			silent++
		}
	}
	return silence.IsGlobalStall(silent, total)
}

// suspectFor is how long an engine is avoided by takeovers after a stream of it
// was suspected, unless it delivers before.
const suspectFor = 10 * time.Second

func (w *watch) suspect(backend string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engine(backend).suspected = now
}

// suspects returns the engines that takeovers should avoid.
func (w *watch) suspects(now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, e := range w.engines {
		if !e.suspected.IsZero() && now.Sub(e.suspected) < suspectFor {
			out = append(out, id)
		}
	}
	return out
}

// forget drops engines not seen since the given time.
func (w *watch) forget(before time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, e := range w.engines {
		if e.seen.Before(before) {
			delete(w.engines, id)
		}
	}
}

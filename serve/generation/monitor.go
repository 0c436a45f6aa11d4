package generation

import (
	"sync"
	"time"

	"mallowwind.dev/decision/silence"
)

// streamMonitor tracks the running attempts of this daemon and learns the gaps
// between the chunks of each engine. It distinguishes a single silent engine from a
// stall of all engines. It is safe for concurrent use.
type streamMonitor struct {
	mu      sync.Mutex
	engines map[string]*engineGaps
	pools   map[string]*engineGaps // first chunks of all engines of a pool together
	running map[streamKey]*stream
}

type engineGaps struct {
	gaps, first silence.GapEstimator
	lastSeen    time.Time
	suspectedAt time.Time // when a stream of the engine was suspected, zero after a later chunk
}

type streamKey struct {
	generation string
	attempt    uint64
}

type stream struct {
	backend      string
	lastActivity time.Time
	threshold    time.Duration // 0 before the first chunk
}

func newStreamMonitor() *streamMonitor {
	return &streamMonitor{engines: make(map[string]*engineGaps), pools: make(map[string]*engineGaps), running: make(map[streamKey]*stream)}
}

func (m *streamMonitor) engine(id string) *engineGaps {
	e := m.engines[id]
	if e == nil {
		e = &engineGaps{}
		m.engines[id] = e
	}
	return e
}

func (m *streamMonitor) start(generation string, a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[streamKey{generation, a.number}] = &stream{backend: a.backend.ID, lastActivity: a.lastActivity}
}

func (m *streamMonitor) chunk(generation string, a *attempt, now time.Time, threshold time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine(a.backend.ID).suspectedAt = time.Time{}
	if r := m.running[streamKey{generation, a.number}]; r != nil {
		r.lastActivity, r.threshold = now, threshold
	}
}

func (m *streamMonitor) stop(generation string, a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, streamKey{generation, a.number})
}

func (m *streamMonitor) observeGap(backend string, gap time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engine(backend)
	e.gaps.Observe(gap)
	e.lastSeen = time.Now()
}

func (m *streamMonitor) observeFirstChunk(pool, backend string, wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engine(backend)
	e.first.Observe(wait)
	e.lastSeen = time.Now()
	m.pool(pool).first.Observe(wait)
}

func (m *streamMonitor) pool(name string) *engineGaps {
	p := m.pools[name]
	if p == nil {
		p = &engineGaps{}
		m.pools[name] = p
	}
	return p
}

func (m *streamMonitor) threshold(c silence.Config, streamGaps *silence.GapEstimator, backend string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return silence.Threshold(c, streamGaps, &m.engine(backend).gaps)
}

// firstChunkThreshold uses the first chunks of the engine itself or, while there are
// too few samples, those of its pool. In a large fleet a daemon sees few first chunks
// of any one engine, and the ceiling would delay a takeover that was sent to another
// lost engine by many seconds.
func (m *streamMonitor) firstChunkThreshold(c silence.Config, pool string, a *attempt) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := &m.engine(a.backend.ID).first
	if !first.HasEnoughSamples() {
		first = &m.pool(pool).first
	}
	return silence.FirstChunkThreshold(c, first, a.prefillTokens, a.takeover)
}

// isGlobalStall reports whether the streams on engines other than suspect are silent
// too.
func (m *streamMonitor) isGlobalStall(now time.Time, suspect string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	silent, total := 0, 0
	for _, r := range m.running {
		if r.backend == suspect || r.threshold == 0 {
			continue
		}
		total++
		// Half the threshold is enough here: thresholds differ, and if all streams stop
		// together, the first one to reach its threshold must find the others silent.
		if now.Sub(r.lastActivity) >= r.threshold/2 {
			silent++
		}
	}
	return silence.IsGlobalStall(silent, total)
}

// suspicionDuration is how long takeovers avoid an engine after one of its streams
// was suspected, unless it delivers a chunk before.
const suspicionDuration = 10 * time.Second

func (m *streamMonitor) suspect(backend string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine(backend).suspectedAt = now
}

// suspectedEngines returns the engines that takeovers should avoid.
func (m *streamMonitor) suspectedEngines(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, e := range m.engines {
		if !e.suspectedAt.IsZero() && now.Sub(e.suspectedAt) < suspicionDuration {
			out = append(out, id)
		}
	}
	return out
}

// forget removes engines not seen since the given time.
func (m *streamMonitor) forget(before time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, e := range m.engines {
		if e.lastSeen.Before(before) {
			delete(m.engines, id)
		}
	}
}

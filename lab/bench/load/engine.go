package load

import (
	"math"
	"sort"
	"time"

	"mallowwind.dev/lab/bench/physics"
)

// The simulated engine, whose times are those of its physics.Engine.
const (
	cachedPart   = 0.15 // of a prefill that remains when the prefix is cached
	cacheEntries = 24   // prefixes an engine holds
	batchMost    = 32   // streams in a batch; more wait inside the engine
)

// job is one attempt of a request on an engine.
type job struct {
	req       *request
	server    *engineSim
	answer    float64 // tokens to produce
	priority  int
	queued    uint64
	startV    float64 // engine's token clock at the first token
	started   bool    // produced its first token
	reported  float64 // tokens reported to the lease
	reportedT time.Time
	over      bool
	onFirst   func()
	onEnd     func(failed bool)
}

// engineSim is one backend server.
type engineSim struct {
	clock   *clock
	physics physics.Engine
	id      string
	zone    int
	slow    float64 // factor on every step; 1 is usual
	dead    bool
	waiting []*job
	filling *job    // prefill in progress
	unread  float64 // prompt tokens left of it, where chunks are part of the steps
	fills   []*job
	batch   []*job
	v       float64 // tokens produced per stream so far
	vAt     time.Time
	next    *timer
	seq     uint64
	cache   []uint64
	gaps    *gapMeter
	started int // attempts begun since the run began
	onCache func(prefix uint64, held bool)
	cached  float64 // prompt tokens found in the cache
	filledT float64 // prompt tokens prefilled, found or not
}

func (e *engineSim) step() time.Duration {
	return time.Duration(float64(e.physics.StepTime(len(e.batch), e.filling != nil)) * e.slow)
}

// chunks reports whether a prefill is part of the steps now.
func (e *engineSim) chunks() bool { return e.filling != nil && e.physics.ChunkTokens > 0 }

// advance moves the token clock to now at the present step time.
func (e *engineSim) advance() {
	dt := e.clock.now.Sub(e.vAt)
	e.vAt = e.clock.now
	if dt <= 0 || len(e.batch) == 0 && !e.chunks() {
		return
	}
	step := e.step()
	n := float64(dt) / float64(step)
	if e.chunks() {
		e.unread -= n * float64(e.physics.ChunkTokens)
	}
	if len(e.batch) == 0 {
		return
	}
	e.v += n
	e.gaps.add(step, n*float64(len(e.batch)))
}

// inside is the number of attempts the engine holds, running or waiting.
func (e *engineSim) running() int { return len(e.batch) + len(e.fills) }

func (e *engineSim) add(j *job) {
	e.advance()
	e.started++
	e.seq++
	j.queued = e.seq
	e.waiting = append(e.waiting, j)
	e.admit()
	e.schedule()
}

// admit moves waiting jobs to prefill by priority, then order of arrival.
func (e *engineSim) admit() {
	if len(e.waiting) > 0 && e.running() < batchMost {
		sort.SliceStable(e.waiting, func(a, b int) bool {
			return e.waiting[a].priority > e.waiting[b].priority
		})
	}
	for len(e.waiting) > 0 && e.running() < batchMost && e.room(e.waiting[0]) {
		e.fills = append(e.fills, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.fill()
}

// room reports whether the memory holds one more job. An empty engine takes any.
func (e *engineSim) room(next *job) bool {
	if e.physics.MemoryTokens == 0 || e.running() == 0 {
		return true
	}
	taken := next.tokens()
	for _, j := range e.fills {
		taken += j.tokens()
	}
	for _, j := range e.batch {
		taken += j.tokens()
	}
	return taken <= e.physics.MemoryTokens
}

// tokens is what a job takes of an engine's memory at its end.
func (j *job) tokens() int { return j.req.prompt + j.req.produced() + int(j.answer) }

// fill starts the next prefill, the most urgent first.
func (e *engineSim) fill() {
	if e.filling != nil || len(e.fills) == 0 {
		return
	}
	best := 0
	for i, j := range e.fills {
		if j.priority > e.fills[best].priority {
			best = i
		}
	}
	j := e.fills[best]
	e.filling = j
	tokens := float64(j.req.prompt + j.req.produced())
	if e.gaps.on {
		e.filledT += tokens
	}
	if e.holds(j.req.prefix) {
		if e.gaps.on {
			e.cached += tokens * (1 - cachedPart)
		}
		tokens *= cachedPart
	}
	if e.physics.ChunkTokens > 0 {
		e.unread = tokens // worked off step by step
		return
	}
	took := time.Duration(tokens / e.physics.PrefillTokensPerSecond * e.slow * float64(time.Second))
	e.clock.after(took, func() { e.filled(j) })
}

func (e *engineSim) filled(j *job) {
	if e.filling != j {
		return
	}
	e.advance()
	e.filling = nil
	e.fills = remove(e.fills, j)
	if !j.over {
		e.remember(j.req.prefix)
		e.batch = append(e.batch, j)
		j.started, j.startV = true, e.v
		j.reportedT = e.clock.now
		j.onFirst()
	}
	e.admit()
	e.schedule()
}

// schedule sets the timer for the next stream to end.
func (e *engineSim) schedule() {
	e.next.stop()
	if len(e.batch) == 0 && !e.chunks() || e.dead {
		return
	}
	left := math.Inf(1)
	if e.chunks() {
		left = e.unread / float64(e.physics.ChunkTokens)
	}
	for _, j := range e.batch {
		left = min(left, j.startV+j.answer-e.v)
	}
	d := time.Duration(math.Ceil(max(left, 0) * float64(e.step())))
	e.next = e.clock.after(d, e.finish)
}

func (e *engineSim) finish() {
	e.advance()
	if e.chunks() && e.unread < 1e-6 {
		e.filled(e.filling) // goes on with what ends at the same time
		return
	}
	var ended []*job
	for _, j := range e.batch {
		if j.startV+j.answer-e.v < 1e-6 {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		e.batch = remove(e.batch, j)
		j.over = true
	}
	e.admit()
	e.schedule()
	for _, j := range ended {
		j.onEnd(false)
	}
}

// cancel ends a job without telling its request.
func (e *engineSim) cancel(j *job) {
	if j.over || e.dead {
		return
	}
	e.advance()
	j.over = true
	e.waiting = remove(e.waiting, j)
	e.batch = remove(e.batch, j)
	switch {
	case e.filling != j:
		e.fills = remove(e.fills, j)
	case e.chunks():
		e.filling = nil
		e.fills = remove(e.fills, j)
	}
	e.admit()
	e.schedule()
}

// die ends every job with a failure.
func (e *engineSim) die() {
	e.advance()
	e.dead = true
	e.next.stop()
	jobs := append(append(append([]*job(nil), e.batch...), e.fills...), e.waiting...)
	e.batch, e.fills, e.waiting, e.filling = nil, nil, nil, nil
	for _, j := range jobs {
		if !j.over {
			j.over = true
			j.onEnd(true)
		}
	}
}

// made is the number of tokens a job has produced here.
func (e *engineSim) made(j *job) float64 {
	if !j.started {
		return 0
	}
	e.advance()
	return min(j.answer, e.v-j.startV)
}

func (e *engineSim) setSlow(f float64) {
	e.advance()
	e.slow = f
	e.schedule()
}

func (e *engineSim) holds(prefix uint64) bool {
	for _, p := range e.cache {
		if prefix != 0 && p == prefix {
			return true
		}
	}
	return false
}

// remember puts a prefix at the recent end of the cache.
func (e *engineSim) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:i], e.cache[i+1:]...), prefix)
			return
		}
	}
	e.cache = append(e.cache, prefix)
	e.onCache(prefix, true)
	if len(e.cache) > cacheEntries {
		e.onCache(e.cache[0], false)
		e.cache = e.cache[1:]
	}
}

func remove(jobs []*job, j *job) []*job {
	for i, x := range jobs {
		if x == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

package headroom

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The engines of the first deployment in docs/design/103.
const (
	simSlots       = 12
	simCapacity    = 88_000
	simMeanTokens  = 8_000
	simEvents      = 130
	simTick        = 30 * time.Millisecond // time of an event, or of a chunk beside running answers
	simChunkTokens = 200
	simSlowdown    = 6 // of the answers during a prefill
	simZones       = 4
	simReportLag   = 200 * time.Millisecond
	simSamples     = 9
	simUrgentBound = 4 * time.Second
	simLessBound   = 10 * time.Second
	simUrgentRate  = 0.024 // usual prompts per second and engine
	simLessRate    = 0.296
)

// simRun is a prompt and its answer.
type simRun struct {
	rank, tokens, prefilled int
	events                  float64
	arrived, firstAfter     time.Duration // firstAfter is 0 before the first event
	copyAt                  *simEngine
}

// simEngine is an engine that prefills one prompt at a time and queues by rank what has no slot or
// memory.
type simEngine struct {
	zone             int
	downUntil        time.Duration
	queue, running   []*simRun
	copies           []*simRun
	reported, latest Engine
	reportedRanks    []int
	latestRanks      []int
	reportedAt       time.Duration
	reserved         int // prompts sent since the report
}

func (e *simEngine) usedTokens() (used int) {
	for _, r := range e.running {
		used += r.tokens
	}
	for _, r := range e.copies {
		used += r.tokens
	}
	return used
}

// step simulates one tick and returns the runs that ended.
func (e *simEngine) step(now time.Duration) (ended []*simRun) {
	slices.SortStableFunc(e.queue, func(a, b *simRun) int { return cmp.Compare(a.rank, b.rank) })
	for len(e.queue) > 0 && len(e.running)+len(e.copies) < simSlots && e.usedTokens()+e.queue[0].tokens <= simCapacity {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	pace := 1.0
	for _, r := range e.running {
		if r.prefilled < r.tokens {
			r.prefilled += simChunkTokens
			pace = 1.0 / simSlowdown
			break
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *simRun) bool {
		if r.prefilled < r.tokens {
			return false
		}
		if r.firstAfter == 0 {
			r.firstAfter = now - r.arrived
		}
		if r.events += pace; r.events >= simEvents {
			ended = append(ended, r)
		}
		return r.events >= simEvents
	})
	e.report(now)
	return ended
}

// report makes the load of simReportLag ago visible.
func (e *simEngine) report(now time.Duration) {
	if now-e.reportedAt < simReportLag {
		return
	}
	e.reported, e.reportedRanks, e.reportedAt, e.reserved = e.latest, e.latestRanks, now, 0
	e.latest = Engine{Slots: simSlots, CapacityTokens: simCapacity, Pending: len(e.queue)}
	e.latestRanks = nil
	for _, r := range e.running {
		e.latestRanks = append(e.latestRanks, r.rank)
		if r.prefilled < r.tokens {
			e.latest.Pending++
		} else {
			e.latest.Running++
		}
		e.latest.UsedTokens += min(r.prefilled, r.tokens)
	}
	for _, r := range e.copies {
		e.latest.CopyTokens += r.tokens
	}
	e.latest.UsedTokens += e.latest.CopyTokens
}

// load returns the load that a daemon sees for a prompt of a rank.
func (e *simEngine) load(rank int) Engine {
	load := e.reported
	load.Slots, load.CapacityTokens = simSlots, simCapacity
	load.Pending += e.reserved
	for _, other := range e.reportedRanks {
		if other < rank {
			load.MoreUrgent++
		}
	}
	return load
}

// simulation is a fleet of engines and one Demand that stands for the daemons' observations.
type simulation struct {
	arrivals    *rand.Rand // the same arrivals with and without headroom
	random      *rand.Rand
	engines     []*simEngine
	demand      Demand
	useHeadroom bool
	now         time.Duration
	done        []*simRun
	refused     []*simRun
	copied      [2]int // runs with a copy, by rank
	lengths     func() int
}

func newSimulation(engines int, useHeadroom bool) *simulation {
	s := &simulation{arrivals: rand.New(rand.NewPCG(1, 2)), random: rand.New(rand.NewPCG(3, 4)), useHeadroom: useHeadroom}
	s.lengths = func() int { return simMeanTokens/5 + s.arrivals.IntN(8*simMeanTokens/5) } // up to 14,400
	for i := range engines {
		s.engines = append(s.engines, &simEngine{zone: i % simZones})
	}
	return s
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) prompts(rank int) Prompts {
	p := Prompts{MeanTokens: simMeanTokens}
	if s.useHeadroom {
		p.UrgentShare = s.demand.UrgentShare(s.clock(), rank)
	}
	return p
}

// play simulates a time in which prompts of each rank arrive at a rate per second and engine.
func (s *simulation) play(d time.Duration, urgentRate, lessRate float64) {
	for end := s.now + d; s.now < end; s.now += simTick {
		for rank, rate := range [2]float64{urgentRate, lessRate} {
			for rest := rate * simTick.Seconds() * float64(len(s.engines)); rest > 0; rest-- {
				if tokens := s.lengths(); s.arrivals.Float64() < rest {
					s.place(&simRun{rank: rank, tokens: tokens, arrived: s.now})
				}
			}
		}
		for _, e := range s.engines {
			if s.now < e.downUntil {
				continue
			}
			for _, r := range e.step(s.now) {
				s.finish(r)
			}
		}
	}
}

func (s *simulation) finish(r *simRun) {
	s.done = append(s.done, r)
	if r.copyAt != nil {
		r.copyAt.copies = slices.DeleteFunc(r.copyAt.copies, func(c *simRun) bool { return c == r })
	}
}

// place sends a prompt to the best of a sample of engines, or refuses it.
func (s *simulation) place(r *simRun) {
	s.demand.Observe(s.clock(), r.rank, 1)
	p := s.prompts(r.rank)
	var best *simEngine
	better := func(a, b Engine) bool {
		if s.useHeadroom && p.HasRoom(a, r.tokens) != p.HasRoom(b, r.tokens) {
			return p.HasRoom(a, r.tokens)
		}
		return cmp.Or(cmp.Compare(a.Pending, b.Pending), cmp.Compare(a.Running, b.Running)) < 0
	}
	for _, i := range s.random.Perm(len(s.engines))[:min(simSamples, len(s.engines))] {
		if e := s.engines[i]; s.now >= e.downUntil && (best == nil || better(e.load(r.rank), best.load(r.rank))) {
			best = e
		}
	}
	if best == nil || !s.admits(p, best.load(r.rank), r) {
		s.refused = append(s.refused, r)
		return
	}
	best.queue = append(best.queue, r)
	best.reserved++
	s.copy(p, best, r)
}

// admits applies the rules of prompts.Admit and of relay.fits.
func (s *simulation) admits(p Prompts, e Engine, r *simRun) bool {
	if e.expectedTokens(simMeanTokens)+r.tokens > simCapacity {
		return false
	}
	return p.Kept(e) == 0 || p.HasRoom(e, r.tokens)
}

// copy places a copy of a run at an engine of another zone.
func (s *simulation) copy(p Prompts, from *simEngine, r *simRun) {
	for _, i := range s.random.Perm(len(s.engines))[:3] {
		e := s.engines[i]
		if e.zone == from.zone || s.now < e.downUntil {
			continue
		}
		load := e.load(r.rank)
		keeps := load.fillRatio(r.tokens) <= maxCopyRatio
		if s.useHeadroom {
			keeps = p.KeepsCopy(load, Run{Tokens: r.tokens, Urgent: r.rank == 0}) == CopyKept
		}
		if keeps && len(e.running)+len(e.copies) < simSlots {
			e.copies, r.copyAt = append(e.copies, r), e
			s.copied[r.rank]++
			return
		}
	}
}

// loseZone ends all work of one zone for a time. Runs are prefilled again elsewhere, or continue at
// their copy.
func (s *simulation) loseZone(zone int, d time.Duration) {
	var lost []*simRun
	for _, e := range s.engines {
		if e.zone == zone {
			lost = append(append(lost, e.queue...), e.running...)
			for _, r := range e.copies {
				r.copyAt = nil
			}
			*e = simEngine{zone: zone, downUntil: s.now + d}
		}
	}
	for _, r := range lost {
		at := r.copyAt
		if at != nil {
			at.copies = slices.DeleteFunc(at.copies, func(c *simRun) bool { return c == r })
			r.copyAt = nil
		}
		if at != nil && r.prefilled >= r.tokens {
			at.running = append(at.running, r)
			continue
		}
		r.prefilled = 0
		s.place(r)
	}
}

// outcome counts the prompts of a rank that arrived at or after a time.
type outcome struct{ all, late, refused int }

// lateRatio returns the share of prompts without a first event in time, refused ones included.
func (o outcome) lateRatio() float64 { return float64(o.late) / float64(max(o.all, 1)) }

// outcome returns what happened to the prompts of a rank of at least a length that arrived since a time.
// Those without a first event within the objective are late.
func (s *simulation) outcome(rank int, objective, since time.Duration, minTokens int) (o outcome) {
	runs := slices.Clone(s.done)
	for _, e := range s.engines {
		runs = append(append(runs, e.running...), e.queue...)
	}
	counts := func(r *simRun) bool { return r.rank == rank && r.arrived >= since && r.tokens >= minTokens }
	for _, r := range runs {
		if !counts(r) {
			continue
		}
		o.all++
		if r.firstAfter > objective || r.firstAfter == 0 && s.now-r.arrived > objective {
			o.late++
		}
	}
	for _, r := range s.refused {
		if counts(r) {
			o.all, o.late, o.refused = o.all+1, o.late+1, o.refused+1
		}
	}
	return o
}

package load

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mallowwind.dev/lab/report"
)

// The model of the study: near servers load a model while far ones have it.
const (
	loadTime     = 40 * time.Second
	nearSlots    = 40 // ready after loadTime
	farSlots     = 40 // ready throughout
	farExtra     = 120 * time.Millisecond
	holdMean     = 5.0 // seconds a request holds its slot
	loadPatience = 10 * time.Second
)

// rule sends a request on arrival: true holds it for the near servers that
// load. remaining is the time until they are ready, queue the predicted wait
// at the far ones.
type rule func(remaining, queue time.Duration) bool

type loadingPolicy struct {
	name string
	rule rule // nil: one queue before all servers, whichever is free first
}

// loadingPolicies are the rules compared. "delayed hit" is Online-DRL's: hold
// the request when the load ends sooner than forwarding takes (Deka and
// Sukapuram, "Edge Service Caching with Delayed Hits and Request Forwarding to
// Reduce Latency", 2024). The second form counts the queue at the far servers
// as part of what forwarding takes.
func loadingPolicies() []loadingPolicy {
	return []loadingPolicy{
		{"one queue", nil},
		{"always elsewhere", func(_, _ time.Duration) bool { return false }},
		{"always wait, if in time", func(remaining, _ time.Duration) bool { return remaining < loadPatience }},
		{"delayed hit", func(remaining, _ time.Duration) bool { return remaining <= farExtra }},
		{"delayed hit with queue", func(remaining, queue time.Duration) bool { return remaining <= farExtra+queue }},
	}
}

// studyLoading plays a minute in which the near servers of a model load it.
func studyLoading(r *report.Report, _ deployment, seed uint64) error {
	t := r.Table("loading: near servers ready after 40 s, far ones throughout, callers wait 10 s at most",
		report.Col("offered over far slots", ""), report.Col("rule", ""), report.Col("started", "%"),
		report.Col("mean wait", "ms"), report.Col("wait p95", "ms"), report.Col("wait p99", "ms"))
	for _, offered := range []float64{0.5, 0.9, 1.2, 1.6} {
		for _, p := range loadingPolicies() {
			s := &loadingSim{clock: newClock(), random: rand.New(rand.NewPCG(seed, 17)), rule: p.rule, waits: newHistogram()}
			s.run(offered)
			t.Add(report.Num(offered), report.Text(p.name),
				report.Num(round(100*float64(s.started)/float64(s.sent))), report.Num(round(s.waits.Mean()/1000)),
				report.Num(float64(s.waits.ValueAtQuantile(95))/1000), report.Num(float64(s.waits.ValueAtQuantile(99))/1000))
		}
	}
	return nil
}

// held is one waiting request.
type held struct {
	at   time.Time
	dead time.Time
}

type loadingSim struct {
	clock         *clock
	random        *rand.Rand
	rule          rule
	ready         time.Time
	near, far     int // running
	nearQ, farQ   []held
	sent, started int
	waits         *hdrhistogram.Histogram
}

func (s *loadingSim) run(offered float64) {
	s.ready = s.clock.now.Add(loadTime)
	end := s.clock.now.Add(loadTime + 20*time.Second)
	perS := offered * farSlots / holdMean
	var arrive func()
	arrive = func() {
		s.offer()
		s.clock.after(time.Duration(s.random.ExpFloat64()/perS*float64(time.Second)), arrive)
	}
	arrive()
	s.clock.after(loadTime, s.drain)
	s.clock.runUntil(end)
}

func (s *loadingSim) offer() {
	now := s.clock.now
	h := held{at: now, dead: now.Add(loadPatience)}
	s.sent++
	remaining := max(s.ready.Sub(now), 0)
	queue := time.Duration(float64(len(s.farQ)) * holdMean / farSlots * float64(time.Second))
	if s.rule != nil && (remaining == 0 && s.near < nearSlots || remaining > 0 && s.rule(remaining, queue)) {
		s.nearQ = append(s.nearQ, h)
	} else {
		s.farQ = append(s.farQ, h)
	}
	s.drain()
}

// drain starts what fits: near work on near servers, and with one queue any
// work there first.
func (s *loadingSim) drain() {
	if !s.clock.now.Before(s.ready) {
		s.start(&s.nearQ, &s.near, nearSlots, 0)
		if s.rule == nil {
			s.start(&s.farQ, &s.near, nearSlots, 0)
		}
	}
	s.start(&s.farQ, &s.far, farSlots, farExtra)
}

func (s *loadingSim) start(queue *[]held, running *int, slots int, extra time.Duration) {
	for len(*queue) > 0 && *running < slots {
		h := (*queue)[0]
		*queue = (*queue)[1:]
		if h.dead.Before(s.clock.now) {
			continue
		}
		*running++
		s.started++
		record(s.waits, s.clock.now.Sub(h.at)+extra, 1)
		s.clock.after(time.Duration(s.random.ExpFloat64()*holdMean*float64(time.Second)), func() {
			*running--
			s.drain()
		})
	}
}

package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mallowwind.dev/control/site"
)

// newHistogram counts microseconds up to ten minutes with three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration, n float64) {
	us := min(max(int64(d/time.Microsecond), 1), h.HighestTrackableValue())
	_ = h.RecordValues(us, int64(math.Round(n)))
}

// smoothGap is the token gap that callers are promised.
const smoothGap = 30 * time.Millisecond

// gapMeter collects token gaps, each weighted by the tokens that had it.
type gapMeter struct {
	on   bool
	hist *hdrhistogram.Histogram
	all  float64 // tokens made while measuring
}

func (g *gapMeter) add(step time.Duration, tokens float64) {
	if g.on {
		g.all += tokens
		record(g.hist, step, tokens)
	}
}

// classMeter collects what the callers of one class get.
type classMeter struct {
	sent, answered, refused, timedOut int
	returned, letIn                   int                     // sent once more, and answered then
	late                              int                     // refused after more than a tenth of the caller's patience
	whole, first, wait                *hdrhistogram.Histogram // wait ends with the first dispatch
	refusal                           *hdrhistogram.Histogram // time until a refusal
}

// meter collects what callers get between from and until.
type meter struct {
	world       *world
	from, until time.Time
	class       map[site.Class]*classMeter
	pools       map[string]float64 // tokens of whole answers that ended while measuring
	smooth      float64            // of these in the generation pool, with a mean gap within smoothGap
	gaps        gapMeter
	wastedTok   float64
	restarts    int
	after       *hdrhistogram.Histogram // Retry-After
}

func newMeter(w *world) *meter {
	m := &meter{
		world: w, class: map[site.Class]*classMeter{}, pools: map[string]float64{},
		after: newHistogram(),
	}
	m.gaps.hist = newHistogram()
	for _, c := range []site.Class{site.ClassUrgent, site.ClassNormal, site.ClassLong} {
		m.class[c] = &classMeter{whole: newHistogram(), first: newHistogram(), wait: newHistogram(), refusal: newHistogram()}
	}
	return m
}

// window sets when the run measures.
func (m *meter) window(from, until time.Time) {
	m.from, m.until = from, until
	c := m.world.clock
	c.after(from.Sub(c.now), func() { m.gaps.on = true })
	c.after(until.Sub(c.now), func() { m.gaps.on = false })
}

func (m *meter) of(r *request) *classMeter { return m.class[r.kind.service.Class] }

func (m *meter) measuring() bool {
	now := m.world.clock.now
	return !now.Before(m.from) && now.Before(m.until)
}

func (m *meter) sent(r *request) bool {
	if !m.measuring() {
		return false
	}
	m.of(r).sent++
	r.account.offered += float64(r.answer)
	return true
}

func (m *meter) first(r *request) {
	if r.counted && !r.again {
		record(m.of(r).first, r.firstToken()+m.world.deploy.client, 1)
	}
}

func (m *meter) dispatched(r *request) {
	if r.counted && !r.again {
		record(m.of(r).wait, m.world.clock.now.Sub(r.sent), 1)
	}
}

func (m *meter) answered(r *request) {
	if m.measuring() {
		m.pools[r.kind.service.Pool] += float64(r.answer)
		gap := m.world.clock.now.Sub(r.first) / time.Duration(r.answer)
		if r.kind.service.Pool == poolLong && gap <= smoothGap {
			m.smooth += float64(r.answer)
		}
	}
	if !r.counted {
		return
	}
	c := m.of(r)
	if r.again {
		c.letIn++
		return
	}
	c.answered++
	r.account.served += float64(r.answer)
	record(c.whole, m.world.clock.now.Sub(r.sent)+m.world.deploy.client, 1)
}

func (m *meter) refused(r *request, after time.Duration) {
	if !r.counted || r.again {
		return
	}
	c := m.of(r)
	c.refused++
	if m.world.clock.now.Sub(r.sent) > r.kind.service.Deadline/10 {
		c.late++
	}
	record(c.refusal, m.world.clock.now.Sub(r.sent)+m.world.deploy.client, 1)
	record(m.after, after, 1)
}

func (m *meter) timedOut(r *request) {
	if r.counted && !r.again {
		m.of(r).timedOut++
	}
}

func (m *meter) wasted(_ float64, tokens float64) {
	if m.measuring() {
		m.wastedTok += tokens
	}
}

func (m *meter) restarted(r *request) {
	if r.counted {
		m.restarts++
	}
}

// jain is Jain's index of fairness over what each account got of what it
// asked, over the accounts that ask alike.
func jain(accounts []*account) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for _, a := range accounts {
		if a.demand > 1 || a.offered == 0 {
			continue
		}
		x := a.served / a.offered
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// servedShare is what the equal accounts got of what they asked.
func servedShare(accounts []*account, heavy bool) float64 {
	served, offered := 0.0, 0.0
	for _, a := range accounts {
		if (a.demand > 1) == heavy {
			served += a.served
			offered += a.offered
		}
	}
	if offered == 0 {
		return 0
	}
	return served / offered
}

package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"mallowwind.dev/control/site"
)

// Quantiles of one distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// ClassResult is what the callers of one class got.
type ClassResult struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	TimedOut int `json:"timed_out"`
	// Late is how many of the refused waited more than a tenth of their patience.
	Late int `json:"refused_late"`
	// Whole is the time to the whole answer, First to the first token, Wait to
	// the dispatch and Refusal to a refusal.
	Whole   Quantiles `json:"whole"`
	First   Quantiles `json:"first_token"`
	Wait    Quantiles `json:"wait"`
	Refusal Quantiles `json:"refusal"`
}

// Result is one policy under one scenario.
type Result struct {
	Scenario   string                     `json:"scenario"`
	Deployment string                     `json:"deployment"`
	Policy     PolicyName                 `json:"policy"`
	Seed       uint64                     `json:"seed"`
	Classes    map[site.Class]ClassResult `json:"classes"`
	Gap        Quantiles                  `json:"token_gap"`
	// Goodput is the tokens of whole answers over the capacity of the generation pool.
	Goodput float64 `json:"goodput"`
	// Smooth counts only answers whose mean token gap is at most smoothGap.
	Smooth float64 `json:"smooth_goodput"`
	// Desk is the same for the pool of the lookups.
	Desk float64 `json:"desk_goodput"`
	// Extra is the tokens made for nobody or twice over all tokens made.
	Extra    float64 `json:"extra_work"`
	Restarts int     `json:"restarts"`
	Jain     float64 `json:"jain"`
	// Equal and Heavy are the parts of what they asked that the equal accounts
	// and the heavy ones got.
	Equal      float64   `json:"equal_served"`
	Heavy      float64   `json:"heavy_served"`
	RetryAfter Quantiles `json:"retry_after"`
	histograms map[site.Class]*hdrhistogram.Histogram
}

// runScenario plays one scenario against one policy.
func runScenario(d deployment, s scenario, policy PolicyName, c capacity, seed uint64) Result {
	return newWorld(d, policy, seed).play(s, c)
}

func (w *world) play(s scenario, c capacity) Result {
	w.traffic(s, c, warmUp+s.length())
	from, until := w.clock.now.Add(warmUp), w.clock.now.Add(warmUp+s.length())
	w.meter.window(from, until)
	if s.faults != nil {
		s.faults(w)
	}
	w.clock.runUntil(until.Add(settle))
	return w.meter.result(s, c)
}

func (m *meter) result(s scenario, c capacity) Result {
	span := s.length().Seconds()
	r := Result{
		Scenario: s.Name, Deployment: m.world.deploy.name, Policy: m.world.policy, Seed: m.world.seed,
		Classes: map[site.Class]ClassResult{}, Gap: quantiles(m.gaps.hist),
		Goodput: m.pools[poolLong] / span / c[poolLong],
		Smooth:  m.smooth / span / c[poolLong],
		Desk:    m.pools[poolDesk] / span / c[poolDesk],
		Extra:   m.wastedTok / max(m.gaps.all, 1), Restarts: m.restarts,
		Jain: jain(m.world.accounts), Equal: servedShare(m.world.accounts, false),
		Heavy: servedShare(m.world.accounts, true), RetryAfter: quantiles(m.after),
		histograms: map[site.Class]*hdrhistogram.Histogram{},
	}
	for class, cm := range m.class {
		r.Classes[class] = ClassResult{
			Sent: cm.sent, Answered: cm.answered, Refused: cm.refused, TimedOut: cm.timedOut, Late: cm.late,
			Whole: quantiles(cm.whole), First: quantiles(cm.first), Wait: quantiles(cm.wait),
			Refusal: quantiles(cm.refusal),
		}
		r.histograms[class] = cm.whole
	}
	return r
}

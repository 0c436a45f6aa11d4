// Package prompts is the experiment on placing long prompts and the copies of
// their runs: several daemons that know only their own requests send to engines
// which read prompts in chunks between the steps of their batch, while the
// engines of one zone after the other are lost.
//
// It runs in virtual time on the decisions of decision/prompts themselves.
package prompts

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	decide "mallowwind.dev/decision/prompts"
	"mallowwind.dev/lab/bench/physics"
	"mallowwind.dev/lab/report"
	"mallowwind.dev/serve/forward"
)

// Options of a run.
type Options struct {
	Dir      string
	Seed     uint64
	Duration time.Duration // of the load in each trial, in virtual time
	Command  string
	Log      io.Writer
	Now      func() time.Time
}

// policy is one way to place prompts and copies.
type policy struct {
	name   string
	homes  bool
	copies bool
	// split lets half of the engines read prompts and the others make the answers.
	split bool
	// remakes lets a run whose copy was lost get another.
	remakes bool
	// told lets the daemons of a small fleet ask each other what they have under way.
	told bool
	// admits lets daemons refuse prompts that engines have no room for.
	admits bool
	choose func(*world, []decide.Engine, *request) int
}

func byRank(w *world, engines []decide.Engine, _ *request) int {
	return decide.ChoosePrefillEngines(engines, 1, false, w.random.Uint64())[0].Index
}

func anywhere(w *world, engines []decide.Engine, _ *request) int { return w.random.IntN(len(engines)) }

// byReport asks the first few of the rank what they do. Engines that are down do
// not answer.
func byReport(w *world, engines []decide.Engine, r *request) int {
	var order []int
	var reports []decide.Report
	for _, c := range decide.ChoosePrefillEngines(engines, 3*forward.SampleSize, false, w.random.Uint64()) {
		if len(order) >= forward.SampleSize && reports[decide.LeastLoaded(reports, r.prompt)].CanPrefillNow(r.prompt) {
			break
		}
		if !w.engines[c.Index].down {
			order = append(order, c.Index)
			reports = append(reports, w.reports[c.Index])
		}
	}
	if len(order) == 0 {
		return byRank(w, engines, r)
	}
	return order[decide.LeastLoaded(reports, r.prompt)]
}

// asTold takes the engine that reads nothing and makes the fewest answers, if it says so
// itself, and else one of those that are asked for their reports.
func asTold(w *world, engines []decide.Engine, r *request) int {
	if w.told() {
		for _, c := range decide.ChoosePrefillEngines(engines, 3, true, w.random.Uint64()) {
			if !w.engines[c.Index].down && w.reports[c.Index].CanPrefillNow(r.prompt) {
				return c.Index
			}
		}
	}
	return byReport(w, engines, r)
}

// inUse is what the daemons do.
var inUse = policy{
	name:  "daemons ask each other or engines, copy in another zone, made again when lost, prompts without room refused",
	homes: true, copies: true, remakes: true, admits: true, told: true, choose: asTold,
}

// untold is inUse where daemons ask engines only.
var untold = policy{
	name:  "home engines that are asked, copy in another zone, made again when lost, prompts without room refused",
	homes: true, copies: true, remakes: true, admits: true, choose: byReport,
}

// sendsAll is inUse without refusals.
var sendsAll = policy{
	name:  "home engines that are asked, copy in another zone, made again when lost",
	homes: true, copies: true, remakes: true, choose: byReport,
}

var policies = []policy{
	{name: "anywhere, no copy", choose: anywhere},
	{name: "least of its own, no copy", choose: byRank},
	{name: "least of its own, copy in another zone", copies: true, choose: byRank},
	{name: "home engines, copy in another zone", homes: true, copies: true, choose: byRank},
	{name: "home engines that are asked, copy in another zone", homes: true, copies: true, choose: byReport},
	sendsAll,
	untold,
	inUse,
	{name: "the same, half of the engines only read", homes: true, copies: true, split: true, remakes: true, admits: true, choose: byReport},
}

var deployments = []deployment{
	{name: "Association", engines: 36, daemons: 7, rate: 9.35, lossEvery: 6 * time.Second},
	{name: "Tharaka", engines: 18, daemons: 6, rate: 4.68, lossEvery: 6 * time.Second},
	{
		name: "Merrimack Valley", engines: 24, daemons: 6, rate: 6.24, lossEvery: 6500 * time.Millisecond,
		kind: physics.SlowChunkedPrefill, prompt: 5200, paired: true,
	},
	{name: "Association, twice the load", engines: 36, daemons: 7, rate: 18.7, lossEvery: 6 * time.Second},
	{name: "Association grown", engines: 120, daemons: 73, rate: 36, lossEvery: 3 * time.Second, lossShare: 0.55},
	{
		name: "Association, four times the load for 8 s", engines: 36, daemons: 7, rate: 9.35, lossEvery: 6 * time.Second,
		burst: burst{from: 10 * time.Second, length: 8 * time.Second, factor: 4},
	},
}

// result is what the callers of one trial got.
type result struct {
	answers, onTime, whole int
	refused, thrownOut     int // callers turned away for good, and runs
	firstP50, firstP99     time.Duration
	tookP50, pauseP99      time.Duration
	wasted                 int // prompt tokens read in vain, for each request
}

// Run plays every policy on every deployment and writes the report into o.Dir.
func Run(o Options) error {
	r := report.New("Placing long prompts while zones are lost", o.Command, o.Seed, o.Now())
	r.Param("load of each trial", o.Duration.String())
	r.Param("losses", fmt.Sprintf("one zone of %d for %v, every other without a sign", zones, lossFor))
	for _, d := range deployments {
		title := fmt.Sprintf("%s, a loss every %v", d.name, d.lossEvery)
		t := r.Table(title, report.Col("policy", ""), report.Col("on time", "%"), report.Col("whole", "%"), report.Col("refused", "%"),
			report.Col("first p50", "ms"), report.Col("first p99", "ms"), report.Col("answer p50", "ms"),
			report.Col("pause p99", "ms"), report.Col("read in vain", "tokens a request"))
		for _, p := range policies {
			got := Trial(d, p, o.Seed, o.Duration)
			fmt.Fprintf(o.Log, "%s, %s: %d of %d on time\n", d.name, p.name, got.onTime, got.answers)
			t.Add(report.Text(p.name), percent(got.onTime, got.answers), percent(got.whole, got.answers), percent(got.refused, got.answers),
				report.Millis(got.firstP50), report.Millis(got.firstP99), report.Millis(got.tookP50),
				report.Millis(got.pauseP99), report.Count(got.wasted))
		}
	}
	r.Note("An answer is on time if its first event comes within 4.5 s and no pause is above 0.7 s.")
	r.Note("A caller waits for 25 s, and comes back once if it is refused. Refused are those turned away twice.")
	r.Note("Left out: dead daemons, the store, and the budget of repeats.")
	return r.Write(o.Dir)
}

// Trial plays one policy on one deployment.
func Trial(d deployment, p policy, seed uint64, length time.Duration) result {
	w := newWorld(d, p, seed)
	w.play(length)
	return w.result()
}

func (w *world) result() result {
	out := result{answers: len(w.requests), thrownOut: w.thrownOut}
	var first, took, pause []time.Duration
	for _, r := range w.requests {
		out.wasted += r.wasted
		if r.refused >= tries {
			out.refused++
		}
		if r.onTime() {
			out.onTime++
		}
		if r.first > 0 {
			first = append(first, r.first-r.arrived)
		}
		if r.end > 0 {
			out.whole++
			took = append(took, r.end-r.arrived)
			pause = append(pause, r.pause)
		}
	}
	if out.answers > 0 {
		out.wasted /= out.answers
	}
	out.firstP50, out.firstP99 = quantile(first, 0.5), quantile(first, 0.99)
	out.tookP50, out.pauseP99 = quantile(took, 0.5), quantile(pause, 0.99)
	return out
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, cmp.Compare[time.Duration])
	return values[int(q*float64(len(values)-1))]
}

func percent(part, whole int) report.Cell {
	if whole == 0 {
		return report.Text("-")
	}
	return report.Num(float64(part*1000/whole) / 10)
}

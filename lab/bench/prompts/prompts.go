// Package prompts simulates policies for placing long prompts and the copies of their runs:
// several daemons, which by default know only their own requests, send to engines that prefill
// prompts in chunks between the steps of their batch, while the engines of one zone after the
// other are lost.
//
// It runs in virtual time and calls the production code of decision/prompts.
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

// Options configures a run of the experiment.
type Options struct {
	Dir      string
	Seed     uint64
	Duration time.Duration // virtual time for which each trial generates requests
	Command  string
	Log      io.Writer
	Now      func() time.Time
}

// policy is one policy for placing prompts and copies.
type policy struct {
	name               string
	prefersHomeEngines bool
	makesCopies        bool
	// splitsPrefill uses half of the engines for prefill and the others for decoding.
	splitsPrefill bool
	// recreatesCopies makes another copy of a run whose copy was lost.
	recreatesCopies bool
	// pollsPeers has the daemons of a small fleet poll each other for their load on each engine.
	pollsPeers bool
	// hasAdmissionControl has daemons refuse prompts that decision/prompts does not admit.
	hasAdmissionControl bool
	choose              func(*world, []decide.Engine, *request) int
}

func chooseByRank(w *world, engines []decide.Engine, _ *request) int {
	return decide.ChoosePrefillEngines(engines, 1, false, w.rng.Uint64())[0].Index
}

func chooseAtRandom(w *world, engines []decide.Engine, _ *request) int {
	return w.rng.IntN(len(engines))
}

// chooseByReport requests load reports from the forward.SampleSize highest-ranked engines and takes
// the least loaded. It goes on to up to three times as many while none of them can prefill the prompt
// at once. Engines that are down don't answer.
func chooseByReport(w *world, engines []decide.Engine, r *request) int {
	var order []int
	var reports []decide.Report
	for _, c := range decide.ChoosePrefillEngines(engines, 3*forward.SampleSize, false, w.rng.Uint64()) {
		if len(order) >= forward.SampleSize && reports[decide.LeastLoaded(reports, r.promptTokens)].CanPrefillNow(r.promptTokens) {
			break
		}
		if !w.engines[c.Index].down {
			order = append(order, c.Index)
			reports = append(reports, w.reports[c.Index])
		}
	}
	if len(order) == 0 {
		return chooseByRank(w, engines, r)
	}
	return order[decide.LeastLoaded(reports, r.promptTokens)]
}

// chooseByPeerLoad takes the first of the three highest-ranked engines whose own report confirms
// that it can prefill the prompt at once. It falls back to chooseByReport if there is none or
// daemons don't poll each other.
func chooseByPeerLoad(w *world, engines []decide.Engine, r *request) int {
	if w.pollsPeers() {
		for _, c := range decide.ChoosePrefillEngines(engines, 3, true, w.rng.Uint64()) {
			if !w.engines[c.Index].down && w.reports[c.Index].CanPrefillNow(r.promptTokens) {
				return c.Index
			}
		}
	}
	return chooseByReport(w, engines, r)
}

// currentPolicy is the policy that the daemons implement.
var currentPolicy = policy{
	name:               "daemons ask each other or engines, copy in another zone, made again when lost, prompts without room refused",
	prefersHomeEngines: true, makesCopies: true, recreatesCopies: true, hasAdmissionControl: true, pollsPeers: true, choose: chooseByPeerLoad,
}

// withoutPeerLoad is currentPolicy with reports from engines only.
var withoutPeerLoad = policy{
	name:               "home engines that are asked, copy in another zone, made again when lost, prompts without room refused",
	prefersHomeEngines: true, makesCopies: true, recreatesCopies: true, hasAdmissionControl: true, choose: chooseByReport,
}

// withoutAdmission is withoutPeerLoad without admission control.
var withoutAdmission = policy{
	name:               "home engines that are asked, copy in another zone, made again when lost",
	prefersHomeEngines: true, makesCopies: true, recreatesCopies: true, choose: chooseByReport,
}

var policies = []policy{
	{name: "anywhere, no copy", choose: chooseAtRandom},
	{name: "least of its own, no copy", choose: chooseByRank},
	{name: "least of its own, copy in another zone", makesCopies: true, choose: chooseByRank},
	{name: "home engines, copy in another zone", prefersHomeEngines: true, makesCopies: true, choose: chooseByRank},
	{name: "home engines that are asked, copy in another zone", prefersHomeEngines: true, makesCopies: true, choose: chooseByReport},
	withoutAdmission,
	withoutPeerLoad,
	currentPolicy,
	{name: "the same, half of the engines only read", prefersHomeEngines: true, makesCopies: true, splitsPrefill: true, recreatesCopies: true, hasAdmissionControl: true, choose: chooseByReport},
}

var deployments = []deployment{
	{name: "Association", engines: 36, daemons: 7, requestsPerSecond: 9.35, lossInterval: 6 * time.Second},
	{name: "Tharaka", engines: 18, daemons: 6, requestsPerSecond: 4.68, lossInterval: 6 * time.Second},
	{
		name: "Merrimack Valley", engines: 24, daemons: 6, requestsPerSecond: 6.24, lossInterval: 6500 * time.Millisecond,
		engineKind: physics.SlowChunkedPrefill, meanPromptTokens: 5200, pairedLoad: true,
	},
	{name: "Association, twice the load", engines: 36, daemons: 7, requestsPerSecond: 18.7, lossInterval: 6 * time.Second},
	{name: "Association grown", engines: 120, daemons: 73, requestsPerSecond: 36, lossInterval: 3 * time.Second, lossRatio: 0.55},
	{
		name: "Association, four times the load for 8 s", engines: 36, daemons: 7, requestsPerSecond: 9.35, lossInterval: 6 * time.Second,
		burst: burst{start: 10 * time.Second, duration: 8 * time.Second, factor: 4},
	},
}

// result summarizes one trial.
type result struct {
	requests, onTime, completed  int
	refused, preemptions         int // requests refused maxAttempts times; runs preempted
	firstEventP50, firstEventP99 time.Duration
	answerTimeP50, pauseP99      time.Duration
	wastedPromptTokens           int // prefilled in vain, per request
}

// Run simulates every policy on every deployment and writes the report to o.Dir.
func Run(o Options) error {
	r := report.New("Placing long prompts while zones are lost", o.Command, o.Seed, o.Now())
	r.Param("load of each trial", o.Duration.String())
	r.Param("losses", fmt.Sprintf("one zone of %d for %v, every other without a sign", zones, outageDuration))
	for _, d := range deployments {
		title := fmt.Sprintf("%s, a loss every %v", d.name, d.lossInterval)
		t := r.Table(title, report.Col("policy", ""), report.Col("on time", "%"), report.Col("whole", "%"), report.Col("refused", "%"),
			report.Col("first p50", "ms"), report.Col("first p99", "ms"), report.Col("answer p50", "ms"),
			report.Col("pause p99", "ms"), report.Col("read in vain", "tokens a request"))
		for _, p := range policies {
			got := Trial(d, p, o.Seed, o.Duration)
			fmt.Fprintf(o.Log, "%s, %s: %d of %d on time\n", d.name, p.name, got.onTime, got.requests)
			t.Add(report.Text(p.name), percent(got.onTime, got.requests), percent(got.completed, got.requests), percent(got.refused, got.requests),
				report.Millis(got.firstEventP50), report.Millis(got.firstEventP99), report.Millis(got.answerTimeP50),
				report.Millis(got.pauseP99), report.Count(got.wastedPromptTokens))
		}
	}
	r.Note("An answer is on time if its first event comes within 4.5 s and no pause is above 0.7 s.")
	r.Note("A caller waits for 25 s, and comes back once if it is refused. Refused are those turned away twice.")
	r.Note("Left out: dead daemons, the store, and the budget of repeats.")
	return r.Write(o.Dir)
}

// Trial simulates one policy on one deployment.
func Trial(d deployment, p policy, seed uint64, length time.Duration) result {
	w := newWorld(d, p, seed)
	w.simulate(length)
	return w.result()
}

func (w *world) result() result {
	out := result{requests: len(w.requests), preemptions: w.preemptions}
	var first, took, pause []time.Duration
	for _, r := range w.requests {
		out.wastedPromptTokens += r.wastedPromptTokens
		if r.refusals >= maxAttempts {
			out.refused++
		}
		if r.isOnTime() {
			out.onTime++
		}
		if r.firstEventAt > 0 {
			first = append(first, r.firstEventAt-r.arrivedAt)
		}
		if r.endedAt > 0 {
			out.completed++
			took = append(took, r.endedAt-r.arrivedAt)
			pause = append(pause, r.longestPause)
		}
	}
	if out.requests > 0 {
		out.wastedPromptTokens /= out.requests
	}
	out.firstEventP50, out.firstEventP99 = quantile(first, 0.5), quantile(first, 0.99)
	out.answerTimeP50, out.pauseP99 = quantile(took, 0.5), quantile(pause, 0.99)
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

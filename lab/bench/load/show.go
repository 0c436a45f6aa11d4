package load

import (
	"fmt"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/lab/report"
)

// The targets that the results are held against.
const (
	targetUrgent    = 1.5  // urgent p99 over its unloaded value, at saturation
	targetGoodput   = 0.9  // of capacity, at saturation
	targetJain      = 0.95 // among equal accounts beside a heavy one
	targetStraggler = 1.05 // p99 with a straggler over p99 without
)

func describe(r *report.Report, d deployment) {
	r.Param("deployment", d.name)
	r.Param("backend servers", fmt.Sprint(d.pools[poolLong], " generation, ", d.pools[poolDesk], " desk"))
	r.Param("entry VMs by zone", fmt.Sprint(d.daemons))
	r.Param("slots a backend server", fmt.Sprint(d.slots))
	r.Param("engine", fmt.Sprintf("%s: step %v and %v a stream, prefill %.0f tokens/s, chunks of %d in the steps, memory %d tokens, batch at most %d",
		d.engines.Name, d.engines.StepBase, d.engines.StepPerStream, d.engines.PrefillTokensPerSecond, d.engines.ChunkTokens, d.engines.MemoryTokens, batchMost))
	r.Param("virtual time", fmt.Sprintf("%v warm-up, %v measured, %v to end", warmUp, measured, settle))
	r.Param("capacity", "answer tokens a second of a plain queue that keeps every slot full, with callers who wait for ever")
	for _, k := range d.kinds {
		r.Param(k.service.Name, fmt.Sprintf("%s, %s, prompt %d, answer %d tokens, waits %v",
			k.service.Pool, k.service.Class, k.prompt, k.answer, k.service.Deadline))
	}
}

// show adds the tables and the plot of one scenario.
func show(r *report.Report, s scenario, results []Result) {
	t := r.Table(s.Name+": "+s.Story,
		report.Col("policy", ""), report.Col("goodput", "of capacity"), report.Col("of it smooth", "of capacity"),
		report.Col("desk goodput", "of capacity"), report.Col("gap p95", "ms"), report.Col("Jain", ""),
		report.Col("equal accounts served", ""), report.Col("heavy served", ""),
		report.Col("extra work", "of tokens"), report.Col("restarts", ""), report.Col("Retry-After p50", "s"))
	for _, x := range results {
		t.Add(report.Text(string(x.Policy)), report.Num(round(x.Goodput)), report.Num(round(x.Smooth)),
			report.Num(round(x.Desk)), report.Num(x.Gap.P95), report.Num(round(x.Jain)),
			report.Num(round(x.Equal)), report.Num(round(x.Heavy)), report.Num(round(x.Extra)),
			report.Count(x.Restarts), report.Num(round(x.RetryAfter.P50/1000)))
	}
	showClasses(r, s, results)
	p := r.Plot(s.Name, s.Name+": urgent requests, time to the whole answer", "percentile", "ms")
	for _, x := range results {
		if h := x.histograms[site.ClassUrgent]; h.TotalCount() > 0 {
			p.Latency(string(x.Policy), h, float64(time.Millisecond/time.Microsecond))
		}
	}
}

func showClasses(r *report.Report, s scenario, results []Result) {
	t := r.Table(s.Name+", by class",
		report.Col("class", ""), report.Col("policy", ""), report.Col("sent", ""), report.Col("answered", "%"),
		report.Col("refused", "%"), report.Col("refused late", "%"), report.Col("timed out", "%"),
		report.Col("whole p50", "ms"), report.Col("whole p99", "ms"),
		report.Col("first token p50", "ms"), report.Col("first token p95", "ms"), report.Col("first token p99", "ms"),
		report.Col("wait p99", "ms"), report.Col("refusal p50", "ms"), report.Col("refusal p99", "ms"))
	for _, class := range []site.Class{site.ClassUrgent, site.ClassNormal, site.ClassLong} {
		for _, x := range results {
			c := x.Classes[class]
			part := func(n int) report.Cell { return report.Num(round(100 * float64(n) / float64(max(c.Sent, 1)))) }
			t.Add(report.Text(string(class)), report.Text(string(x.Policy)), report.Count(c.Sent),
				part(c.Answered), part(c.Refused), part(c.Late), part(c.TimedOut),
				report.Num(c.Whole.P50), report.Num(c.Whole.P99),
				report.Num(c.First.P50), report.Num(c.First.P95), report.Num(c.First.P99),
				report.Num(c.Wait.P99), report.Num(c.Refusal.P50), report.Num(c.Refusal.P99))
		}
	}
}

// round keeps three decimals, so that reports differ only where figures do.
func round(x float64) float64 {
	return float64(int64(x*1000+0.5)) / 1000
}

// targets notes what the product reached of what is expected of it.
func targets(r *report.Report, s scenario, got, ref Result) {
	ratio := func(class site.Class) float64 {
		return got.Classes[class].Whole.P99 / max(ref.Classes[class].Whole.P99, 1)
	}
	check := func(what string, value, target float64, ok bool) {
		verdict := "met"
		if !ok {
			verdict = "MISSED"
		}
		r.Note(fmt.Sprintf("%s: %s is %.3f, expected %.3g: %s.", s.Name, what, value, target, verdict))
	}
	urgent := ratio(site.ClassUrgent)
	switch s.Name {
	case "saturation", "heavy", "urgent_saturation":
		check("urgent p99 over its unloaded value", urgent, targetUrgent, urgent <= targetUrgent)
	case "straggler":
		for _, class := range []site.Class{site.ClassUrgent, site.ClassNormal} {
			x := ratio(class)
			check(string(class)+" p99 over the same load without a straggler", x, targetStraggler, x <= targetStraggler)
		}
	}
	switch s.Name {
	case "saturation", "heavy":
		check("goodput", got.Goodput, targetGoodput, got.Goodput >= targetGoodput)
		check("Jain's index among equal accounts", got.Jain, targetJain, got.Jain >= targetJain)
	case "urgent_saturation":
		check("desk goodput", got.Desk, targetGoodput, got.Desk >= targetGoodput)
	}
}

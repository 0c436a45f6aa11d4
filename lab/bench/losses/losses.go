// Package losses is the experiment on resume latency: callers read answers
// while engines, connections and entry VMs are lost, under each policy; what
// they wait is set against the extra resources spent.
//
// It runs in real time, several trials at once, over the in-memory deployment
// of lab/world: the daemon's own code, stand-in engines, no network.
package losses

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowwind.dev/lab/report"
)

// Options of a run.
type Options struct {
	Dir          string
	Seed         uint64
	Duration     time.Duration // of the load in each trial
	FixedTimeout time.Duration // the baselines' timeout
	MaxParallel  int           // trials at once
	OnlyFault    string        // this kind of loss alone, "" for all
	Command      string
	Log          io.Writer
	Now          func() time.Time
}

// weights are those of the curve.
var weights = []float64{0, CostWeight, 0.5, LatencyWeight, 1}

// cell is one trial of the comparison.
type cell struct {
	variant variant
	kind    kind
	result  *result
}

// Run compares the policies and writes the report into o.Dir.
func Run(ctx context.Context, o Options) error {
	var cells []*cell
	for _, v := range variants(o.FixedTimeout, weights) {
		for _, k := range kinds {
			if o.OnlyFault != "" && o.OnlyFault != string(k) {
				continue
			}
			cells = append(cells, &cell{variant: v, kind: k})
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.MaxParallel)
	for _, c := range cells {
		g.Go(func() (err error) {
			c.result, err = run(ctx, c.variant, c.kind, o.Seed, o.Duration)
			if err == nil {
				fmt.Fprintf(o.Log, "%s, %s: %d answers met\n", c.variant, c.kind, c.result.losses)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return write(o, cells)
}

func write(o Options, cells []*cell) error {
	r := report.New("Resume latency against extra resources", o.Command, o.Seed, o.Now())
	r.Param("trial", fmt.Sprintf("%s of load by %d callers on %d entry VMs and %d engines", o.Duration, callers, vms, engines))
	r.Param("fixed timeout", o.FixedTimeout.String())
	r.Param("trials at once", fmt.Sprint(o.MaxParallel))
	for _, k := range kinds {
		if o.OnlyFault == "" || o.OnlyFault == string(k) {
			table(r, k, cells)
		}
	}
	curve(r, cells)
	r.Note("Latency is the longest time in which an answer that depended on what failed did not grow. " +
		"Extra tokens are tokens that no caller received, and a tenth of the prompt and answer tokens read again.")
	return r.Write(o.Dir)
}

func table(r *report.Report, k kind, cells []*cell) {
	t := r.Table(string(k),
		report.Col("policy", ""), report.Col("answers met", ""),
		report.Col("p50", "ms"), report.Col("p99", "ms"), report.Col("max", "ms"),
		report.Col("extra tokens", "%"), report.Col("extra tokens a loss", ""), report.Col("attempts begun beyond requests", ""),
		report.Col("suspected", ""), report.Col("falsely", ""),
		report.Col("journal", "B/token"), report.Col("primings", ""), report.Col("answers failed", ""))
	for _, c := range cells {
		if c.kind != k {
			continue
		}
		x := c.result
		t.Add(report.Text(c.variant.String()), report.Count(x.losses),
			millis(x, 50), millis(x, 99), millis(x, 100),
			report.Num(round(x.extraShare())), report.Num(round(x.perLoss())),
			report.Count(int(x.begun)-x.requests-int(x.primings)),
			report.Num(x.suspected), report.Num(x.falseSuspicions),
			report.Num(round(x.journalBytes/float64(x.tokens))), report.Num(x.primings), report.Count(x.failed))
	}
}

func millis(x *result, quantile float64) report.Cell {
	return report.Num(float64(x.latency.ValueAtQuantile(quantile)/100) / 10)
}

// round keeps two decimals.
func round(f float64) float64 { return float64(int(f*100)) / 100 }

// curve draws p99 against extra tokens over the weights, for the losses that
// are found by silence.
func curve(r *report.Report, cells []*cell) {
	p := r.Plot("resume", "Resume latency by weight", "weight of resume latency", "p99 (ms)")
	e := r.Plot("extra", "Extra tokens by weight", "weight of resume latency", "extra tokens (%)")
	for _, k := range kinds {
		var x, latency, extra []float64
		for _, c := range cells {
			if c.kind != k || c.variant.name != "takeover" {
				continue
			}
			x = append(x, c.variant.weight)
			latency = append(latency, float64(c.result.latency.ValueAtQuantile(99))/1000)
			extra = append(extra, c.result.extraShare())
		}
		p.Line(string(k), x, latency)
		e.Line(string(k), x, extra)
	}
}

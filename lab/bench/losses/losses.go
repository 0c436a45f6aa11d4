// Package losses benchmarks resume policies: callers read answers while engines, connections and entry
// VMs fail, and each policy's resume latency is compared with the extra resources it spends.
//
// It runs in real time, several trials at once, on the in-memory deployment of lab/world: production
// daemon code with simulated engines and no network.
package losses

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowwind.dev/lab/report"
)

// Options configures a run of the benchmark.
type Options struct {
	Dir          string
	Seed         uint64
	Duration     time.Duration // time for which each trial sends requests
	FixedTimeout time.Duration // silence timeout of the baselines
	MaxParallel  int           // maximum number of concurrent trials
	OnlyFault    string        // run only this kind of fault; empty for all
	Command      string
	Log          io.Writer
	Now          func() time.Time
}

// curveWeights are the weights of resume latency that the plots cover.
var curveWeights = []float64{0, CostWeight, 0.5, LatencyWeight, 1}

// trial is one policy under one kind of fault, with its result.
type trial struct {
	variant variant
	kind    faultKind
	result  *result
}

// Run compares the policies and writes the report to o.Dir.
func Run(ctx context.Context, o Options) error {
	var trials []*trial
	for _, v := range variants(o.FixedTimeout, curveWeights) {
		for _, k := range faultKinds {
			if o.OnlyFault != "" && o.OnlyFault != string(k) {
				continue
			}
			trials = append(trials, &trial{variant: v, kind: k})
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.MaxParallel)
	for _, c := range trials {
		g.Go(func() (err error) {
			c.result, err = runTrial(ctx, c.variant, c.kind, o.Seed, o.Duration)
			if err == nil {
				fmt.Fprintf(o.Log, "%s, %s: %d answers affected by faults\n", c.variant, c.kind, c.result.affectedAnswers)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return writeReport(o, trials)
}

func writeReport(o Options, trials []*trial) error {
	r := report.New("Resume latency against extra resources", o.Command, o.Seed, o.Now())
	r.Param("trial", fmt.Sprintf("%s of load by %d callers on %d entry VMs and %d engines", o.Duration, callers, vms, engines))
	r.Param("fixed timeout", o.FixedTimeout.String())
	r.Param("trials at once", fmt.Sprint(o.MaxParallel))
	for _, k := range faultKinds {
		if o.OnlyFault == "" || o.OnlyFault == string(k) {
			addTable(r, k, trials)
		}
	}
	plotCurves(r, trials)
	r.Note("Latency is the longest time in which an answer that depended on what failed did not grow. " +
		"Extra tokens are tokens that no caller received, and a tenth of the prompt and answer tokens read again.")
	return r.Write(o.Dir)
}

func addTable(r *report.Report, k faultKind, trials []*trial) {
	t := r.Table(string(k),
		report.Col("policy", ""), report.Col("answers met", ""),
		report.Col("p50", "ms"), report.Col("p99", "ms"), report.Col("max", "ms"),
		report.Col("extra tokens", "%"), report.Col("extra tokens a loss", ""), report.Col("attempts begun beyond requests", ""),
		report.Col("suspected", ""), report.Col("falsely", ""),
		report.Col("journal", "B/token"), report.Col("primings", ""), report.Col("answers failed", ""))
	for _, c := range trials {
		if c.kind != k {
			continue
		}
		x := c.result
		t.Add(report.Text(c.variant.String()), report.Count(x.affectedAnswers),
			latencyCell(x, 50), latencyCell(x, 99), latencyCell(x, 100),
			report.Num(roundDown(x.extraTokensPercent())), report.Num(roundDown(x.extraTokensPerAffected())),
			report.Count(int(x.attempts)-x.requests-int(x.primings)),
			report.Num(x.suspected), report.Num(x.falseSuspicions),
			report.Num(roundDown(x.journalBytes/float64(x.tokens))), report.Num(x.primings), report.Count(x.failed))
	}
}

func latencyCell(x *result, quantile float64) report.Cell {
	return report.Num(float64(x.latency.ValueAtQuantile(quantile)/100) / 10)
}

// roundDown truncates f to two decimals.
func roundDown(f float64) float64 { return float64(int(f*100)) / 100 }

// plotCurves plots the p99 resume latency and the extra tokens of the takeover policy over the weights,
// one line for each kind of fault.
func plotCurves(r *report.Report, trials []*trial) {
	p := r.Plot("resume", "Resume latency by weight", "weight of resume latency", "p99 (ms)")
	e := r.Plot("extra", "Extra tokens by weight", "weight of resume latency", "extra tokens (%)")
	for _, k := range faultKinds {
		var x, latency, extra []float64
		for _, c := range trials {
			if c.kind != k || c.variant.name != "takeover" {
				continue
			}
			x = append(x, c.variant.weight)
			latency = append(latency, float64(c.result.latency.ValueAtQuantile(99))/1000)
			extra = append(extra, c.result.extraTokensPercent())
		}
		p.Line(string(k), x, latency)
		e.Line(string(k), x, extra)
	}
}

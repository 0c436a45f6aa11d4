package control

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
)

// usage is what one daemon used, on average.
type usage struct {
	cpu        float64 // share of a core, in percent
	memory     float64 // heap and stacks, MB
	peerBytes  float64 // sent and received, per second
	storeBytes float64 // per second, on average over all daemons
}

// point is one size of a series.
type point struct {
	daemons, accounts int
	every             time.Duration // between changes, 0 for none
}

// series is how cost grows with one size.
type series struct {
	name   string
	x      func(point) float64
	points []point
}

const (
	costDaemons  = 28
	costAccounts = 200
	secondsOfDay = 86400
	// settlePerDaemon is how much longer news of the members' joining is given
	// to end before a window, for each daemon.
	settlePerDaemon = 200 * time.Millisecond
)

func allSeries(o Options) []series {
	var daemons, accounts, changes []point
	for _, n := range o.CostDaemons {
		daemons = append(daemons, point{n, costAccounts, 0})
	}
	for _, n := range []int{10, 200, 500, 810} {
		accounts = append(accounts, point{costDaemons, n, 2 * time.Second})
	}
	for _, every := range []time.Duration{0, 4 * time.Second, 2 * time.Second, time.Second, time.Second / 2} {
		changes = append(changes, point{costDaemons, 810, every})
	}
	return []series{
		{"daemons", func(p point) float64 { return float64(p.daemons) }, daemons},
		{"accounts", func(p point) float64 { return float64(p.accounts) }, accounts},
		{"changes a day", changesPerDay, changes},
	}
}

func changesPerDay(p point) float64 {
	if p.every == 0 {
		return 0
	}
	return secondsOfDay / p.every.Seconds()
}

// measureCost measures one series and fits a line to each quantity.
func measureCost(ctx context.Context, o Options, s series, r *report.Report) error {
	columns := []report.Column{
		report.Col("daemons", ""), report.Col("accounts", ""), report.Col("changes", "1/day"), report.Col("CPU", "% of a core"),
		report.Col("memory", "MB"), report.Col("peers", "B/s"), report.Col("store", "B/s"),
	}
	table := r.Table("Cost of a daemon by "+s.name, columns...)
	var x []float64
	var used []usage
	for _, p := range s.points {
		u, err := measure(ctx, o, p)
		if err != nil {
			return errors.Wrapf(err, "%d daemons", p.daemons)
		}
		table.Add(report.Count(p.daemons), report.Count(p.accounts), report.Num(changesPerDay(p)), report.Num(u.cpu),
			report.Num(u.memory), report.Num(u.peerBytes), report.Num(u.storeBytes))
		o.logf("%s %g: %+v", s.name, s.x(p), u)
		x, used = append(x, s.x(p)), append(used, u)
	}
	return fitAll(s, x, used, r)
}

func fitAll(s series, x []float64, used []usage, r *report.Report) error {
	table := r.Table("Slopes over "+s.name, report.Col("quantity", ""), report.Col("at zero", ""), report.Col("slope", ""), report.Col("R²", ""))
	for _, q := range []struct {
		name  string
		value func(usage) float64
	}{
		{"CPU, % of a core", func(u usage) float64 { return u.cpu }},
		{"memory, MB", func(u usage) float64 { return u.memory }},
		{"peers, B/s", func(u usage) float64 { return u.peerBytes }},
		{"store, B/s", func(u usage) float64 { return u.storeBytes }},
	} {
		y := make([]float64, len(used))
		for i, u := range used {
			y[i] = q.value(u)
		}
		fit, err := report.LeastSquares(x, y)
		if err != nil {
			return err
		}
		table.Add(report.Text(q.name), report.Num(fit.Intercept), report.Num(fit.Slope), report.Num(fit.R2))
	}
	return nil
}

// measure runs one fleet for a window and returns what a daemon used.
func measure(ctx context.Context, o Options, p point) (usage, error) {
	before := memory()
	f, err := start(ctx, p.daemons, text(p.accounts, 0))
	if err != nil {
		return usage{}, err
	}
	defer f.close()
	// Changes before the window fill the memory of texts served as differences.
	for range o.WarmupChanges {
		if err := f.apply(ctx, text(p.accounts, int(f.revision))); err != nil {
			return usage{}, err
		}
		f.await(f.revision, time.Now())
	}
	time.Sleep(max(o.Window/4, time.Duration(p.daemons)*settlePerDaemon))
	held := memory() - before
	start := time.Now()
	cpu, peer, stored := cpuTime(), f.peerWire.bytes.Load(), f.storeWire.bytes.Load()
	if err := f.keepChanging(ctx, p, o.Window); err != nil {
		return usage{}, err
	}
	seconds, n := time.Since(start).Seconds(), float64(p.daemons)
	return usage{
		cpu:    100 * (cpuTime() - cpu).Seconds() / seconds / n,
		memory: float64(held) / n / (1 << 20),
		// Each byte between two daemons is one's sending and the other's receiving.
		peerBytes:  2 * float64(f.peerWire.bytes.Load()-peer) / seconds / n,
		storeBytes: float64(f.storeWire.bytes.Load()-stored) / seconds / n,
	}, nil
}

// keepChanging accepts a text at the point's rate for a window.
func (f *fleet) keepChanging(ctx context.Context, p point, window time.Duration) error {
	if p.every == 0 {
		time.Sleep(window)
		return nil
	}
	ticker := time.NewTicker(p.every)
	defer ticker.Stop()
	for end := time.Now().Add(window); time.Now().Before(end); <-ticker.C {
		if err := f.apply(ctx, text(p.accounts, int(f.revision))); err != nil {
			return err
		}
	}
	return nil
}

// memory returns the live heap and the stacks, in bytes. Two collections also
// free what finalizers held.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

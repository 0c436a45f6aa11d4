package control

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
)

// usage is the average resource usage of one daemon.
type usage struct {
	cpu        float64 // percent of a core
	memory     float64 // heap and stacks, MB
	peerBytes  float64 // per second, sent and received
	storeBytes float64 // per second, sent and received
}

// point is one measured configuration of a series.
type point struct {
	daemons, accounts int
	changeInterval    time.Duration // 0 for no changes
}

// series measures how the cost grows with one quantity, which x returns for a point.
type series struct {
	name   string
	x      func(point) float64
	points []point
}

const (
	costDaemons   = 28
	costAccounts  = 200
	secondsPerDay = 86400
	// joinSettlePerDaemon is the time per daemon that gossip about joining members gets to
	// die down before a measured window.
	joinSettlePerDaemon = 200 * time.Millisecond
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
	if p.changeInterval == 0 {
		return 0
	}
	return secondsPerDay / p.changeInterval.Seconds()
}

// measureCost measures one series and fits a line to each resource.
func measureCost(ctx context.Context, o Options, s series, r *report.Report) error {
	columns := []report.Column{
		report.Col("daemons", ""), report.Col("accounts", ""), report.Col("changes", "1/day"), report.Col("CPU", "% of a core"),
		report.Col("memory", "MB"), report.Col("peers", "B/s"), report.Col("store", "B/s"),
	}
	table := r.Table("Cost of a daemon by "+s.name, columns...)
	var x []float64
	var used []usage
	for _, p := range s.points {
		u, err := measureUsage(ctx, o, p)
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

// measureUsage runs a fleet for a window and returns the average usage of a daemon.
func measureUsage(ctx context.Context, o Options, p point) (usage, error) {
	before := memoryInUseBytes()
	f, err := startFleet(ctx, p.daemons, siteText(p.accounts, 0))
	if err != nil {
		return usage{}, err
	}
	defer f.close()
	// Changes before the window fill the history of texts from which daemons serve diffs.
	for range o.WarmupChanges {
		if err := f.apply(ctx, siteText(p.accounts, int(f.revision))); err != nil {
			return usage{}, err
		}
		f.waitInForce(f.revision, time.Now())
	}
	time.Sleep(max(o.Window/4, time.Duration(p.daemons)*joinSettlePerDaemon))
	held := memoryInUseBytes() - before
	start := time.Now()
	cpu, peer, stored := cpuTime(), f.peerWire.bytes.Load(), f.storeWire.bytes.Load()
	if err := f.applyPeriodically(ctx, p, o.Window); err != nil {
		return usage{}, err
	}
	seconds, n := time.Since(start).Seconds(), float64(p.daemons)
	return usage{
		cpu:    100 * (cpuTime() - cpu).Seconds() / seconds / n,
		memory: float64(held) / n / (1 << 20),
		// Each byte between two daemons is sent by one and received by the other.
		peerBytes:  2 * float64(f.peerWire.bytes.Load()-peer) / seconds / n,
		storeBytes: float64(f.storeWire.bytes.Load()-stored) / seconds / n,
	}, nil
}

// applyPeriodically applies changed texts at the point's interval for a window.
func (f *fleet) applyPeriodically(ctx context.Context, p point, window time.Duration) error {
	if p.changeInterval == 0 {
		time.Sleep(window)
		return nil
	}
	ticker := time.NewTicker(p.changeInterval)
	defer ticker.Stop()
	for end := time.Now().Add(window); time.Now().Before(end); <-ticker.C {
		if err := f.apply(ctx, siteText(p.accounts, int(f.revision))); err != nil {
			return err
		}
	}
	return nil
}

// memoryInUseBytes returns the size of the live heap and the stacks. A second collection frees what
// finalizers kept alive in the first.
func memoryInUseBytes() int64 {
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

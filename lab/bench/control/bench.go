package control

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"mallowwind.dev/lab/report"
)

// Options of a run.
type Options struct {
	Dir            string // where the report goes
	Command        string
	Only           string // spread, daemons, accounts or changes; empty for all
	SpreadDaemons  []int  // daemons, for the time to in force
	CostDaemons    []int  // daemons, for the slopes; four sizes at least
	Accounts       int    // in the text, for the time to in force
	Changes        int    // accepted with the store up
	FailureChanges int    // accepted with the store failing
	WarmupChanges  int    // changes before a window
	Window         time.Duration
	Log            io.Writer
	Now            func() time.Time
}

// Defaults returns the options of the recorded run, some seven minutes.
func Defaults() Options {
	return Options{
		SpreadDaemons: []int{7, 56, 112}, CostDaemons: []int{7, 28, 56, 112},
		Accounts: 810, Changes: 30, FailureChanges: 4, WarmupChanges: 8, Window: 8 * time.Second,
	}
}

func (o Options) logf(format string, values ...any) { fmt.Fprintf(o.Log, format+"\n", values...) }

// Run measures and writes the report.
func Run(ctx context.Context, o Options) error {
	r := report.New("The site text: time to in force and cost", o.Command, 1, o.Now())
	r.Param("accounts in the text", strconv.Itoa(o.Accounts))
	r.Param("bytes of the text", strconv.Itoa(len(text(o.Accounts, 0))))
	r.Param("zones", strconv.Itoa(zones))
	r.Param("window", o.Window.String())
	r.Note("All daemons run in one process over loopback TCP: membership and configuration in force, no serving. " +
		"CPU and memory are the process's divided by the daemons, with a share of the store stand-in and the operator.")
	r.Note("Times run from the operator's answer until the last daemon has the text in force, looked at every millisecond.")
	r.Note("Bytes are those on connections, with HTTP headers, without TCP and IP. The operator's are not among them; polls of the store, one a minute, fall outside most windows.")
	if o.wants("spread") {
		if err := spreadTable(ctx, o, r); err != nil {
			return err
		}
	}
	for _, s := range allSeries(o) {
		if !o.wants(strings.Fields(s.name)[0]) {
			continue
		}
		if err := measureCost(ctx, o, s, r); err != nil {
			return err
		}
	}
	return r.Write(o.Dir)
}

func (o Options) wants(part string) bool { return o.Only == "" || o.Only == part }

func spreadTable(ctx context.Context, o Options, r *report.Report) error {
	table := r.Table("From acceptance to in force everywhere", report.Col("daemons", ""), report.Col("store", ""), report.Col("changes", ""),
		report.Col("p50", "ms"), report.Col("p99", "ms"), report.Col("max", "ms"), report.Col("not within 9 s", ""))
	for _, n := range o.SpreadDaemons {
		if err := measureSpread(ctx, o, n, table); err != nil {
			return err
		}
	}
	return nil
}

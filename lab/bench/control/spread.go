package control

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
)

// scenario is what the store does around an acceptance.
type scenario struct {
	name   string
	delay  time.Duration // of each call
	fails  bool          // goes down the moment the operator's answer is there
	rounds func(Options) int
}

var scenarios = []scenario{
	{name: "up", rounds: func(o Options) int { return o.Changes }},
	{name: "slow, 300 ms a call", delay: 300 * time.Millisecond, rounds: func(o Options) int { return o.Changes / 2 }},
	{name: "fails right after acceptance", fails: true, rounds: func(o Options) int { return o.FailureChanges }},
}

const (
	// spreadLimit ends the wait for a change; the goal with a failing store is 9 s.
	spreadLimit = 9 * time.Second
	// settle is longer than watchers need to come back after an outage: their
	// longest wait is half as long again as 5 s.
	settle = 8 * time.Second
	// pause between changes lets gossip of the last one end.
	pause = 100 * time.Millisecond
)

// spread is the result of one scenario at one size.
type spread struct {
	times  []time.Duration // sorted, of the changes that reached every daemon
	missed int             // changes that did not within spreadLimit
}

func (s spread) quantile(q float64) time.Duration {
	if len(s.times) == 0 {
		return 0
	}
	return s.times[min(int(q*float64(len(s.times))), len(s.times)-1)]
}

// measureSpread runs all scenarios at one size.
func measureSpread(ctx context.Context, o Options, n int, table *report.Table) error {
	f, err := start(ctx, n, text(o.Accounts, 0))
	if err != nil {
		return err
	}
	defer f.close()
	for _, s := range scenarios {
		result, err := f.play(ctx, o, s)
		if err != nil {
			return errors.Wrapf(err, "%d daemons, store %s", n, s.name)
		}
		table.Add(report.Count(n), report.Text(s.name), report.Count(len(result.times)+result.missed),
			report.Millis(result.quantile(0.5)), report.Millis(result.quantile(0.99)), report.Millis(result.quantile(1)),
			report.Count(result.missed))
		o.logf("%d daemons, store %s: p50 %s, p99 %s, missed %d", n, s.name, result.quantile(0.5), result.quantile(0.99), result.missed)
	}
	return nil
}

func (f *fleet) play(ctx context.Context, o Options, s scenario) (spread, error) {
	f.store.SetDelay(s.delay)
	defer f.store.SetDelay(0)
	var result spread
	for range s.rounds(o) {
		took, err := f.change(ctx, o, s)
		if err != nil {
			return result, err
		}
		if took > spreadLimit {
			result.missed++
			continue
		}
		result.times = append(result.times, took)
	}
	slices.Sort(result.times)
	return result, nil
}

// change accepts one text and returns how long it took from the operator's
// answer until every daemon had it in force, or more than spreadLimit.
func (f *fleet) change(ctx context.Context, o Options, s scenario) (time.Duration, error) {
	if err := f.apply(ctx, text(o.Accounts, int(f.revision))); err != nil {
		return 0, err
	}
	accepted := time.Now()
	if s.fails {
		f.store.SetDown(true)
	}
	took := f.await(f.revision, accepted)
	if !s.fails {
		time.Sleep(pause)
		return took, nil
	}
	f.store.SetDown(false)
	time.Sleep(settle)
	if n := f.reached(f.revision); n < len(f.daemons) {
		return 0, errors.Errorf("%d of %d daemons have the text after the outage", n, len(f.daemons))
	}
	return took, nil
}

func (f *fleet) await(revision int64, accepted time.Time) time.Duration {
	for time.Since(accepted) <= spreadLimit {
		if f.reached(revision) == len(f.daemons) {
			return time.Since(accepted)
		}
		time.Sleep(look)
	}
	return spreadLimit + 1
}

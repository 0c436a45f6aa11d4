package control

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
)

// scenario is the store's behavior around the acceptance of a change.
type scenario struct {
	name       string
	storeDelay time.Duration // added to each call
	storeFails bool          // right after the operator's request is answered
	changes    func(Options) int
}

var scenarios = []scenario{
	{name: "up", changes: func(o Options) int { return o.Changes }},
	{name: "slow, 300 ms a call", storeDelay: 300 * time.Millisecond, changes: func(o Options) int { return o.Changes / 2 }},
	{name: "fails right after acceptance", storeFails: true, changes: func(o Options) int { return o.FailureChanges }},
}

const (
	// spreadTimeout bounds the wait for a change; the objective with a failing store is 9 s.
	spreadTimeout = 9 * time.Second
	// outageSettleTime exceeds the longest backoff of watchers reconnecting after an outage,
	// which is one and a half times 5 s.
	outageSettleTime = 8 * time.Second
	// gossipSettleTime is the pause between changes, for gossip about the last one to end.
	gossipSettleTime = 100 * time.Millisecond
)

// spread is the result of one scenario at one size.
type spread struct {
	times    []time.Duration // sorted, of the changes that reached every daemon
	timedOut int             // changes that did not within spreadTimeout
}

func (s spread) quantile(q float64) time.Duration {
	if len(s.times) == 0 {
		return 0
	}
	return s.times[min(int(q*float64(len(s.times))), len(s.times)-1)]
}

// measureSpread runs all scenarios on a fleet of n daemons.
func measureSpread(ctx context.Context, o Options, n int, table *report.Table) error {
	f, err := startFleet(ctx, n, siteText(o.Accounts, 0))
	if err != nil {
		return err
	}
	defer f.close()
	for _, s := range scenarios {
		result, err := f.runScenario(ctx, o, s)
		if err != nil {
			return errors.Wrapf(err, "%d daemons, store %s", n, s.name)
		}
		table.Add(report.Count(n), report.Text(s.name), report.Count(len(result.times)+result.timedOut),
			report.Millis(result.quantile(0.5)), report.Millis(result.quantile(0.99)), report.Millis(result.quantile(1)),
			report.Count(result.timedOut))
		o.logf("%d daemons, store %s: p50 %s, p99 %s, missed %d", n, s.name, result.quantile(0.5), result.quantile(0.99), result.timedOut)
	}
	return nil
}

func (f *fleet) runScenario(ctx context.Context, o Options, s scenario) (spread, error) {
	f.store.SetDelay(s.storeDelay)
	defer f.store.SetDelay(0)
	var result spread
	for range s.changes(o) {
		took, err := f.measureChange(ctx, o, s)
		if err != nil {
			return result, err
		}
		if took > spreadTimeout {
			result.timedOut++
			continue
		}
		result.times = append(result.times, took)
	}
	slices.Sort(result.times)
	return result, nil
}

// measureChange applies one changed text and returns the time from the answer to the operator until
// every daemon has it in force, or more than spreadTimeout.
func (f *fleet) measureChange(ctx context.Context, o Options, s scenario) (time.Duration, error) {
	if err := f.apply(ctx, siteText(o.Accounts, int(f.revision))); err != nil {
		return 0, err
	}
	accepted := time.Now()
	if s.storeFails {
		f.store.SetDown(true)
	}
	took := f.waitInForce(f.revision, accepted)
	if !s.storeFails {
		time.Sleep(gossipSettleTime)
		return took, nil
	}
	f.store.SetDown(false)
	time.Sleep(outageSettleTime)
	if n := f.countInForce(f.revision); n < len(f.daemons) {
		return 0, errors.Errorf("only %d of %d daemons have the site text in force after the store outage", n, len(f.daemons))
	}
	return took, nil
}

func (f *fleet) waitInForce(revision int64, accepted time.Time) time.Duration {
	for time.Since(accepted) <= spreadTimeout {
		if f.countInForce(revision) == len(f.daemons) {
			return time.Since(accepted)
		}
		time.Sleep(pollInterval)
	}
	return spreadTimeout + 1
}

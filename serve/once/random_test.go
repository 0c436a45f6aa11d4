package once

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
)

var (
	onceRuns = flag.Int("once.runs", 200, "randomised runs of TestRandomFaults")
	onceSeed = flag.Uint64("once.seed", 1, "seed of the first randomised run")
)

// TestRandomFaults simulates callers that send orders to any entry VM, several copies
// concurrently and again after errors. Meanwhile daemons pause, die, are replaced and lose
// links, membership views differ, the store fails and loses confirmations, and the backend
// server loses answers. Whatever the callers are told, every order runs at most once, and an
// order does not run after not_run was returned unless it is sent again.
func TestRandomFaults(t *testing.T) {
	for i := range uint64(*onceRuns) {
		seed := *onceSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed) })
		})
	}
}

const (
	settleDuration   = 6 * time.Second
	faultDuration    = 12 * time.Second
	callerCount      = 6
	maxCopies        = 3 // of one order at a time
	maxTriesPerOrder = 4
)

// copyResult is the result that the caller received for one copy of an order.
type copyResult struct {
	client     int
	order      string
	entry      string
	start, end time.Time
	answer     string
	err        *verdict.Error
}

// chaosRun is one randomised run.
type chaosRun struct {
	*cluster
	rng     *rand.Rand // selects the faults
	mu      sync.Mutex
	results []copyResult
}

func runSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &chaosRun{cluster: newCluster(t, 5+rng.IntN(3)), rng: rng}
	defer c.close()
	c.backend.runDuration = time.Duration(rng.IntN(1500)) * time.Millisecond
	time.Sleep(settleDuration)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { c.runCaller(i, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
	}
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		c.injectFault()
		time.Sleep(time.Duration(100+rng.IntN(1200)) * time.Millisecond)
	}
	c.healAll()
	wg.Wait()
	time.Sleep(settleDuration)
	c.checkResults(t)
	c.checkServing(t)
}

// runCaller simulates one caller until the faults end.
func (c *chaosRun) runCaller(client int, rng *rand.Rand) {
	end := time.Now().Add(faultDuration)
	for n := 0; time.Now().Before(end); n++ {
		order := fmt.Sprintf("order-%d/%d", client, n)
		for range maxTriesPerOrder {
			if !c.sendCopies(client, order, 1+rng.IntN(maxCopies), rng) {
				break
			}
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
	}
}

// sendCopies sends copies of an order to n entry VMs concurrently and reports whether the order
// should be sent again: after an error, and sometimes after an answer too.
func (c *chaosRun) sendCopies(client int, order string, n int, rng *rand.Rand) (again bool) {
	var wg sync.WaitGroup
	results := make([]copyResult, n)
	for i := range n {
		d := c.randomDaemon(rng)
		wg.Go(func() {
			r := copyResult{client: client, order: order, entry: d.id, start: time.Now()}
			r.answer, r.err = d.send(order, order)
			r.end = time.Now()
			if d.dead.Load() {
				r.err = verdict.New(verdict.MayHaveRun, "connection_lost", "the entry VM died")
			}
			results[i] = r
		})
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, results...)
	return results[0].err != nil || rng.IntN(4) == 0
}

func (c *chaosRun) randomDaemon(rng *rand.Rand) *daemon {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	var ids []string
	for id, d := range c.daemons {
		if !d.dead.Load() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return c.daemons[ids[rng.IntN(len(ids))]]
}

// injectFault starts one random fault and, for most kinds, ends it some time later.
func (c *chaosRun) injectFault() {
	d, o := c.randomDaemon(c.rng), c.randomDaemon(c.rng)
	span := time.Duration(100+c.rng.IntN(6000)) * time.Millisecond
	switch c.rng.IntN(10) {
	case 0:
		c.replace(d)
	case 1, 2:
		d.pause()
		time.AfterFunc(time.Second, func() { c.dropFromViews(d) })
		time.AfterFunc(span, func() { d.resume(); c.syncViews() })
	case 3, 4:
		c.partition(d.id, o.id, true)
		time.AfterFunc(span, func() { c.partition(d.id, o.id, false) })
	case 5:
		c.store.setDown(true)
		time.AfterFunc(span, func() { c.store.setDown(false) })
	case 6:
		c.store.loseConfirmations(1+c.rng.IntN(3), span/20)
	case 7:
		d.flow.refuse.Store(true)
		time.AfterFunc(span, func() { d.flow.refuse.Store(false) })
	case 8:
		c.backend.setFailures(c.rng.IntN(3), c.rng.IntN(4))
	case 9:
		c.leaveAndReplace(d, span)
	}
	if c.rng.IntN(6) == 0 {
		c.divergeView(d, o)
	}
}

func (b *fakeBackend) setFailures(lose, fail int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostAnswers, b.failedSends = lose, fail
}

// replace kills a daemon and starts another one on the same VM or on a new one.
func (c *chaosRun) replace(d *daemon) {
	d.kill()
	id := d.id
	if c.rng.IntN(2) == 0 {
		id = fmt.Sprintf("vm%d", 7+c.rng.IntN(13))
	}
	c.start(id, d.view.Load().Self.Zone)
	time.AfterFunc(time.Second, c.syncViews)
}

// leaveAndReplace makes a daemon leave as planned, kills it when it has left or after limit,
// and starts a new one in its zone.
func (c *chaosRun) leaveAndReplace(d *daemon, limit time.Duration) {
	c.showLeaving(d)
	d.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		_ = d.Leave(ctx)
		d.kill()
		c.syncViews()
	})
	c.start(fmt.Sprintf("vm%d", 20+c.rng.IntN(1000)), d.view.Load().Self.Zone)
	time.AfterFunc(time.Second, c.syncViews)
}

// dropFromViews removes a daemon that is still paused from the views of the others.
func (c *chaosRun) dropFromViews(d *daemon) {
	if d.pauseGate.Load() == nil {
		return
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	for _, o := range c.daemons {
		if o != d {
			o.dropFromView(d.id)
		}
	}
}

// divergeView removes o from the view of d.
func (c *chaosRun) divergeView(d, o *daemon) {
	if d != o {
		d.dropFromView(o.id)
	}
}

func (d *daemon) dropFromView(id string) {
	view := *d.view.Load()
	var members []membership.Member
	for _, m := range view.Members {
		if m.ID != id {
			members = append(members, m)
		}
	}
	view.Members = members
	d.view.Store(&view)
}

func (c *chaosRun) healAll() {
	c.healLinks()
	c.cluster.mu.Lock()
	for _, d := range c.daemons {
		d.resume()
		d.flow.refuse.Store(false)
	}
	c.cluster.mu.Unlock()
	c.store.setDown(false)
	c.backend.setFailures(0, 0)
	c.syncViews()
}

// checkServing checks that slots serve again after the faults end, although an aborted change
// may have left one member of a pair sealed.
func (c *chaosRun) checkServing(t *testing.T) {
	var wg sync.WaitGroup
	for i := range 100 {
		order, d := fmt.Sprint("after-", i), c.randomDaemon(c.rng)
		wg.Go(func() {
			_, err := d.send(order, order)
			test.True(t, err == nil || c.isPairLost(order), test.Sprintf("%s at %s: %v%s", order, d.id, err, c.describeSlot(order)))
		})
	}
	wg.Wait()
}

// describeSlot describes what each daemon knows of an order's slot.
func (c *chaosRun) describeSlot(order string) string {
	i := slot.ForKey(slot.KeyOf("depot", "desk", order))
	out := fmt.Sprintf("\n  slot %d", i)
	for id, d := range c.daemons {
		a, t := d.Roster.Slot(i), &d.tables[i]
		unresponsive, _ := d.unresponsive.ids(time.Now())
		t.mu.Lock()
		out += fmt.Sprintf("\n  %s dead=%v leaving=%v: roster %d %s/%s, table %d, sealed %d, unresponsive %v, view %d", id,
			d.dead.Load(), d.leaving.Load(), a.Term, a.Owner.ID, a.Witness.ID, t.term, t.sealed, unresponsive, len(d.Current().Members))
		t.mu.Unlock()
	}
	return out
}

// isPairLost reports whether the owner and the witness of an order's key are both dead, or
// unknown keys of its slot are undecided. The slot then waits for proof of death or for the end
// of the retention, both of which take longer than a run.
func (c *chaosRun) isPairLost(order string) bool {
	a := c.newestAssignment(slot.ForKey(slot.KeyOf("depot", "desk", order)))
	for _, d := range c.daemons {
		if d.tables[a.Slot].undecidedFor(time.Now()) > 0 {
			return true
		}
	}
	alive := func(m slot.Member) bool {
		d := c.daemon(m.ID)
		return d != nil && !d.dead.Load() && d.self.IsSameProcess(m)
	}
	return !alive(a.Owner) && !alive(a.Witness)
}

// checkResults compares everything that callers were told with what ran.
func (c *chaosRun) checkResults(t *testing.T) {
	orders := map[string][]copyResult{}
	for _, r := range c.results {
		orders[r.order] = append(orders[r.order], r)
	}
	must.Positive(t, len(c.backend.history))
	for order, copies := range orders {
		must.LessEq(t, 1, c.backend.count(order), must.Sprintf("%s ran twice: %v", order, copies))
		must.True(t, porcupine.CheckOperations(atMostOnce.ToModel(), operations(copies)),
			must.Sprintf("%s: results are not linearizable: %v", order, copies))
	}
	t.Logf("%d orders, %d copies, %d runs, results: %v", len(orders), len(c.results), len(c.backend.history), countResults(c.results))
	for _, run := range c.backend.history {
		c.checkRun(t, run, orders[run.body])
	}
}

// String formats the result as one line.
func (r copyResult) String() string {
	out := r.answer
	if r.err != nil {
		out = r.err.Error()
	}
	return fmt.Sprintf("\n  %s at %s, %s..%s: %s", r.order, r.entry, r.start.Format(timeFormat), r.end.Format(timeFormat), out)
}

const timeFormat = "05.000000"

// countResults counts the results by verdict and code.
func countResults(all []copyResult) map[string]int {
	counts := map[string]int{}
	for _, r := range all {
		if r.err == nil {
			counts["answer"]++
		} else {
			counts[r.err.Verdict.String()+" "+string(r.err.Code)]++
		}
	}
	return counts
}

// checkRun checks that a copy was sent between the last not_run before the run and the run
// itself.
func (c *chaosRun) checkRun(t *testing.T, run backendRun, copies []copyResult) {
	var refusedAt time.Time
	for _, r := range copies {
		if r.isNotRun() && r.end.Before(run.at) && r.end.After(refusedAt) {
			refusedAt = r.end
		}
	}
	for _, r := range copies {
		if !r.start.Before(refusedAt) && !r.start.After(run.at) {
			return
		}
	}
	t.Fatalf("%s ran at %s although not_run was returned at %s: %v", run.body, run.at.Format(timeFormat), refusedAt.Format(timeFormat), copies)
}

func (r copyResult) isNotRun() bool { return r.err != nil && r.err.Verdict == verdict.NotRun }

// operations converts results to porcupine operations. One that may have run has no end.
func operations(copies []copyResult) []porcupine.Operation {
	var ops []porcupine.Operation
	for i, r := range copies {
		op := porcupine.Operation{ClientId: i, Input: r.order, Output: r, Call: r.start.UnixNano(), Return: r.end.UnixNano()}
		if r.err != nil && r.err.Verdict == verdict.MayHaveRun {
			op.Return = math.MaxInt64
		}
		ops = append(ops, op)
	}
	return ops
}

// atMostOnce models a register that is written once: false before the run, true after it.
var atMostOnce = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		r := output.(copyResult)
		switch {
		case r.err == nil && r.answer == r.order+" run 1":
			return []any{true}
		case r.err == nil:
			return nil
		case r.err.Verdict == verdict.MayHaveRun:
			return []any{state, true}
		case state.(bool) == (r.err.Verdict == verdict.Ran):
			return []any{state}
		}
		return nil
	},
}

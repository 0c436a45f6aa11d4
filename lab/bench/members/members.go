package members

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
)

// Options of a run.
type Options struct {
	Dir    string // where the report and the slopes are written
	Seed   uint64
	Sizes  []int         // numbers of daemons
	Window time.Duration // length of each phase that is measured
	Kills  int           // daemons killed one after the other, at each size
	Log    io.Writer     // progress, one line a size
}

// result is what one size showed.
type result struct {
	daemons  int
	join     time.Duration
	bytes    float64 // a second and daemon, sent and received
	cpu      float64 // µs a second and daemon
	memory   float64 // kB a daemon
	reads    float64 // store reads a second, all daemons
	writes   float64
	detect   []time.Duration // from a death until all others know
	first    []time.Duration // until the first other knows
	suspects float64         // beliefs of suspicion during the phase with loss
	gone     float64         // beliefs of death during the phase with loss
}

const (
	joinLimit   = 2 * time.Minute
	settle      = 12 * time.Second // covers the repair of differing tables
	detectLimit = time.Minute
	lossPPM     = 10_000 // 1% of requests, and of answers
	poll        = 50 * time.Millisecond
)

// Run measures all sizes and writes members.json, members.md and the slopes.
func Run(ctx context.Context, o Options) error {
	var results []result
	for _, n := range o.Sizes {
		r, err := measure(ctx, n, o)
		if err != nil {
			return errors.Wrapf(err, "bench members: %d daemons", n)
		}
		results = append(results, r)
		fmt.Fprintf(o.Log, "%d daemons: joined in %s, %.0f B/s, %.0f µs/s, %.0f kB, detected in %v\n", n, r.join.Round(poll), r.bytes, r.cpu, r.memory, r.detect)
	}
	if err := write(results, o); err != nil {
		return err
	}
	if len(results) < fewestForSlope {
		return nil
	}
	return slopes(results, o)
}

// fewestForSlope is how many sizes a slope is worked out from.
const fewestForSlope = 4

func measure(ctx context.Context, n int, o Options) (result, error) {
	r := result{daemons: n}
	before := heap()
	f, err := newFleet(n, o.Seed)
	if err != nil {
		return r, err
	}
	defer f.stop()
	begin := time.Now()
	f.start(ctx)
	if err := until(ctx, joinLimit, f.whole); err != nil {
		return r, errors.Wrap(err, "join")
	}
	r.join = time.Since(begin)
	if err := rest(ctx, settle); err != nil {
		return r, err
	}
	if err := f.steady(ctx, o, &r); err != nil {
		return r, err
	}
	r.memory = float64(heap()-before) / float64(n) / 1000
	if err := f.withLoss(ctx, o, &r); err != nil {
		return r, err
	}
	return r, f.deaths(ctx, o, &r)
}

// steady measures the cost while nothing happens.
func (f *fleet) steady(ctx context.Context, o Options, r *result) error {
	calls, bytes, cpu, begin := f.store.Counts(), f.bytes.Load(), cpuTime(), time.Now()
	if err := rest(ctx, o.Window); err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	perDaemon := seconds * float64(r.daemons)
	after := f.store.Counts()
	const ends = 2 // each byte is sent by one daemon and received by another
	r.bytes = ends * float64(f.bytes.Load()-bytes) / perDaemon
	r.cpu = float64((cpuTime() - cpu).Microseconds()) / perDaemon
	r.reads = float64(after.Reads()-calls.Reads()) / seconds
	r.writes = float64(after.Writes()-calls.Writes()) / seconds
	return nil
}

// withLoss counts suspicions while messages are lost.
func (f *fleet) withLoss(ctx context.Context, o Options, r *result) error {
	suspects, gone := f.changes("suspect"), f.changes("gone")
	f.loss.Store(lossPPM)
	defer f.loss.Store(0)
	err := rest(ctx, o.Window)
	r.suspects, r.gone = f.changes("suspect")-suspects, f.changes("gone")-gone
	return err
}

// deaths kills daemons one after the other and measures until all know.
func (f *fleet) deaths(ctx context.Context, o Options, r *result) error {
	f.loss.Store(0)
	if err := until(ctx, joinLimit, f.whole); err != nil {
		return errors.Wrap(err, "after the loss")
	}
	for i := range o.Kills {
		d := f.daemons[(i+1)*len(f.daemons)/(o.Kills+1)]
		begin := time.Now()
		d.kill()
		others := f.believers(d.id)
		if err := until(ctx, detectLimit, func() bool { return f.believers(d.id) < others }); err != nil {
			return errors.Wrap(err, "detection")
		}
		r.first = append(r.first, time.Since(begin).Round(poll))
		if err := until(ctx, detectLimit, func() bool { return f.believers(d.id) == 0 }); err != nil {
			return errors.Wrap(err, "detection by all")
		}
		r.detect = append(r.detect, time.Since(begin).Round(poll))
	}
	return nil
}

// until waits until ok, looking often.
func until(ctx context.Context, limit time.Duration, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !ok() {
		if err := rest(ctx, poll); err != nil {
			return err
		}
	}
	return nil
}

func rest(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// cpuTime returns the processor time this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the memory in use after a collection, stacks included.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// command gives the run again.
func (o Options) command() string {
	return fmt.Sprintf("go run ./cmd/mallowctl bench members --seed %d --window %s --kills %d", o.Seed, o.Window, o.Kills)
}

func newReport(o Options) *report.Report {
	r := report.New("Membership and leases", o.command(), o.Seed, time.Now())
	r.Param("window", o.Window.String())
	r.Param("zones", fmt.Sprint(zones))
	r.Param("loss", "1% of requests and 1% of answers")
	return r
}

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

// Options configures a run of the benchmark.
type Options struct {
	Dir    string // directory of the report and the slopes
	Seed   uint64
	Sizes  []int         // fleet sizes
	Window time.Duration // length of each measured phase
	Kills  int           // daemons killed one after the other at each size
	Log    io.Writer     // progress, one line per size
}

// result holds the measurements at one fleet size.
type result struct {
	daemons              int
	joinTime             time.Duration
	bytesPerSecond       float64 // per daemon, sent and received
	cpuMicrosPerSecond   float64 // per daemon
	memoryKB             float64 // per daemon
	storeReadsPerSecond  float64 // of all daemons
	storeWritesPerSecond float64
	lastDetection        []time.Duration // from a crash until no other daemon lists the member
	firstDetection       []time.Duration // from a crash until the first other daemon removes the member
	suspicions           float64         // changes to suspect during the phase with loss, over all daemons
	removals             float64         // changes to gone during the phase with loss, over all daemons
}

const (
	joinTimeout   = 2 * time.Minute
	settleTime    = 12 * time.Second // covers the repair of differing membership tables
	detectTimeout = time.Minute
	lossPPM       = 10_000 // 1% of requests and 1% of responses
	pollInterval  = 50 * time.Millisecond
)

// Run measures all sizes and writes members.json and members.md, and the slopes if there are enough
// sizes.
func Run(ctx context.Context, o Options) error {
	var results []result
	for _, n := range o.Sizes {
		r, err := measure(ctx, n, o)
		if err != nil {
			return errors.Wrapf(err, "bench members: %d daemons", n)
		}
		results = append(results, r)
		fmt.Fprintf(o.Log, "%d daemons: joined in %s, %.0f B/s, %.0f µs/s, %.0f kB, detected in %v\n", n, r.joinTime.Round(pollInterval), r.bytesPerSecond, r.cpuMicrosPerSecond, r.memoryKB, r.lastDetection)
	}
	if err := writeReport(results, o); err != nil {
		return err
	}
	if len(results) < minSizesForSlope {
		return nil
	}
	return writeSlopes(results, o)
}

// minSizesForSlope is the minimum number of sizes to fit a slope to.
const minSizesForSlope = 4

func measure(ctx context.Context, n int, o Options) (result, error) {
	r := result{daemons: n}
	before := memoryInUseBytes()
	f, err := newFleet(n, o.Seed)
	if err != nil {
		return r, err
	}
	defer f.stop()
	begin := time.Now()
	f.start(ctx)
	if err := waitUntil(ctx, joinTimeout, f.hasConverged); err != nil {
		return r, errors.Wrap(err, "wait for all daemons to join")
	}
	r.joinTime = time.Since(begin)
	if err := sleep(ctx, settleTime); err != nil {
		return r, err
	}
	if err := f.measureSteadyState(ctx, o, &r); err != nil {
		return r, err
	}
	r.memoryKB = float64(memoryInUseBytes()-before) / float64(n) / 1000
	if err := f.measureLoss(ctx, o, &r); err != nil {
		return r, err
	}
	return r, f.measureDetection(ctx, o, &r)
}

// measureSteadyState measures the cost without membership changes.
func (f *fleet) measureSteadyState(ctx context.Context, o Options, r *result) error {
	calls, bytes, cpu, begin := f.store.Counts(), f.trafficBytes.Load(), cpuTime(), time.Now()
	if err := sleep(ctx, o.Window); err != nil {
		return err
	}
	seconds := time.Since(begin).Seconds()
	perDaemon := seconds * float64(r.daemons)
	after := f.store.Counts()
	const ends = 2 // each byte is sent by one daemon and received by another
	r.bytesPerSecond = ends * float64(f.trafficBytes.Load()-bytes) / perDaemon
	r.cpuMicrosPerSecond = float64((cpuTime() - cpu).Microseconds()) / perDaemon
	r.storeReadsPerSecond = float64(after.Reads()-calls.Reads()) / seconds
	r.storeWritesPerSecond = float64(after.Writes()-calls.Writes()) / seconds
	return nil
}

// measureLoss counts false suspicions and removals while messages are lost.
func (f *fleet) measureLoss(ctx context.Context, o Options, r *result) error {
	suspects, gone := f.countStateChanges("suspect"), f.countStateChanges("gone")
	f.lossPPM.Store(lossPPM)
	defer f.lossPPM.Store(0)
	err := sleep(ctx, o.Window)
	r.suspicions, r.removals = f.countStateChanges("suspect")-suspects, f.countStateChanges("gone")-gone
	return err
}

// measureDetection kills daemons one after the other and measures how long the others take to remove
// them.
func (f *fleet) measureDetection(ctx context.Context, o Options, r *result) error {
	f.lossPPM.Store(0)
	if err := waitUntil(ctx, joinTimeout, f.hasConverged); err != nil {
		return errors.Wrap(err, "wait for convergence after message loss")
	}
	for i := range o.Kills {
		d := f.daemons[(i+1)*len(f.daemons)/(o.Kills+1)]
		begin := time.Now()
		d.kill()
		others := f.countListing(d.id)
		if err := waitUntil(ctx, detectTimeout, func() bool { return f.countListing(d.id) < others }); err != nil {
			return errors.Wrap(err, "crash detection by the first daemon")
		}
		r.firstDetection = append(r.firstDetection, time.Since(begin).Round(pollInterval))
		if err := waitUntil(ctx, detectTimeout, func() bool { return f.countListing(d.id) == 0 }); err != nil {
			return errors.Wrap(err, "crash detection by all daemons")
		}
		r.lastDetection = append(r.lastDetection, time.Since(begin).Round(pollInterval))
	}
	return nil
}

// waitUntil polls ok until it returns true or limit has passed.
func waitUntil(ctx context.Context, limit time.Duration, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !ok() {
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// cpuTime returns the CPU time this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUseBytes returns the heap and stack memory in use after a garbage collection.
func memoryInUseBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// command returns the command line that repeats the run.
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

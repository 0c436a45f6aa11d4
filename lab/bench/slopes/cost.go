package slopes

import (
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// cpuTime returns the processor time this process has used, user and system.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "getrusage")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// cpuOf returns the processor time that f costs this process, its garbage
// collected before and after.
func cpuOf(f func() error) (time.Duration, error) {
	runtime.GC()
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	runtime.GC()
	after, err := cpuTime()
	return after - before, err
}

// minRun is the least processor time that a cost per call is taken from; the
// kernel counts processor time in steps of up to 4 ms.
const minRun = 100 * time.Millisecond

// cpuPerCall returns the processor time of one call of f, in nanoseconds. It
// calls f ever more often until the calls take minRun.
func cpuPerCall(f func() error) (float64, error) {
	if err := f(); err != nil {
		return 0, err
	}
	for n := 1; ; n *= 4 {
		d, err := cpuOf(func() error { return repeat(n, f) })
		if err != nil {
			return 0, err
		}
		if d >= minRun {
			return float64(d) / float64(n), nil
		}
	}
}

func repeat(n int, f func() error) error {
	for range n {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// heapOf returns the bytes of heap that what build returns keeps alive.
func heapOf(build func() (any, error)) (float64, error) {
	before := liveHeap()
	kept, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(kept)
	return after - before, nil
}

// liveHeap returns the bytes of heap and stacks in use after a collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // the second frees what finalizers of the first released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

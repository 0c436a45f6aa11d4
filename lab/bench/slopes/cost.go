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

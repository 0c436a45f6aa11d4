package main

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"mallowwind.dev/serve/gateway"
	"mallowwind.dev/telemetry/event"
)

// maxDirectoryTTL bounds how long callers are told to cache the addresses of daemons. Callers send
// requests to a crashed daemon for that long, and a daemon that stops has to continue serving for
// three times as long.
const maxDirectoryTTL = time.Second

// runGateway runs a gateway until a signal ends it, and concurrently onStart, which may apply
// changed settings. An error that options returns is reported as a usage error.
func runGateway(
	level, vm, zone string, options func(*event.Log) (gateway.Options, error), onStart func(*gateway.Gateway, gateway.Options),
) error {
	events, closeLog, err := openLog(level, vm, zone)
	if err != nil {
		return usageError{err}
	}
	defer closeLog()
	o, err := options(events)
	if err != nil {
		return usageError{err}
	}
	g := gateway.New(o)
	go onStart(g, o)
	soft, hard := notifyContexts()
	return g.Run(soft, hard)
}

// socket is an address to listen on and the variable that gets the listener.
type socket struct {
	listener *net.Listener
	address  string
}

// listen opens a listener for each socket that has an address.
func listen(sockets []socket) error {
	for _, s := range sockets {
		if s.address == "" {
			continue
		}
		var err error
		if *s.listener, err = net.Listen("tcp", s.address); err != nil {
			return errors.Wrap(err, "listen")
		}
	}
	return nil
}

const (
	// logEventsPerSecond and logBurstEvents limit the logged events below the warning level. A
	// daemon forwards about 20 requests per second at the peak of the largest site.
	logEventsPerSecond = 300
	logBurstEvents     = 1500
)

// openLog returns a log that writes events to standard output without blocking on the reader. The
// returned function writes the queued events and closes the log.
func openLog(levelName, vm, zone string) (*event.Log, func(), error) {
	level, err := logrus.ParseLevel(levelName)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
	}
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.SetLevel(level)
	events := event.New(logger, vm, zone).Limit(logEventsPerSecond, logBurstEvents)
	out := event.NewWriter(os.Stdout, func(n uint64) { events.Emit(event.LogDropped, n) })
	logger.SetOutput(out)
	return events, out.Close, nil
}

// bootClock returns the time since boot. Unlike the monotonic clock it advances while the machine
// is suspended.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every Linux since 2.6.39
	}
	return time.Duration(t.Nano())
}

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

// maxDirectoryTTL is how long callers are told to keep an address answer: a daemon
// that died is asked for no longer, and one that stops has to serve on for
// three times as long.
const maxDirectoryTTL = time.Second

// runGateway runs a gateway with the given options until a signal ends it, and beside it what
// follows the settings. An error of the options is the operator's.
func runGateway(
	level, vm, zone string, options func(*event.Log) (gateway.Options, error), beside func(*gateway.Gateway, gateway.Options),
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
	go beside(g, o)
	soft, hard := notifyContexts()
	return g.Run(soft, hard)
}

// socket is where a listener goes and the address that it is opened at.
type socket struct {
	listener *net.Listener
	address  string
}

// listen opens the listeners that have an address.
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
	// logEventsPerSecond and logBurst bound the events that are no warnings. A daemon
	// at the peak of the largest site forwards about 20 requests a second.
	logEventsPerSecond = 300
	logBurstEvents     = 1500
)

// openLog writes events to standard output without waiting for its reader. The
// function it returns writes what is queued.
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

// bootClock goes on while the machine is suspended.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every Linux since 2.6.39
	}
	return time.Duration(t.Nano())
}

package event

import (
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// stalledOutput is an output that blocks until release is closed.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// The reader of the log stalls. Ten thousand events must be emitted without blocking, and once the
// reader continues, the number of missing lines must be reported.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	var reported uint64
	w := NewWriter(out, func(n uint64) { reported += n })
	l := logrus.New()
	l.SetOutput(w)
	log := New(l, "vm", "zone")
	const events = 10000
	for range events {
		log.Emit(DaemonStopped, 0, 0) // would block forever if it waited for the output
	}
	close(out.release)
	w.Close()
	lines := strings.Count(out.text.String(), "daemon_stopped")
	must.Eq(t, events, lines+int(w.Dropped()))
	must.Eq(t, w.Dropped(), reported)
	must.Greater(t, 0, int(w.Dropped()))
}

// Events beyond the limit must be counted and not logged; warnings must always be logged.
func TestLimitDropsEvents(t *testing.T) {
	var out strings.Builder
	l := logrus.New()
	l.SetOutput(&out)
	log := New(l, "vm", "zone").Limit(0, 100)
	for range 1000 {
		log.Emit(DaemonStopped, 0, 0)
		log.Emit(HandoverIncomplete, "x")
	}
	must.Eq(t, 100, strings.Count(out.String(), "daemon_stopped"))
	must.Eq(t, 1000, strings.Count(out.String(), "handover_incomplete"))
	must.Eq(t, 900, int(log.Dropped()))
}

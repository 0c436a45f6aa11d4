package event

import (
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// stalledOutput is an output that takes nothing until it is released.
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

// Whoever reads the log stops reading. Ten thousand decisions go on without
// waiting; once the reader is back, the log says how many lines it lacks.
func TestStalledOutputHoldsNobodyUp(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	var told uint64
	w := NewWriter(out, func(n uint64) { told += n })
	l := logrus.New()
	l.SetOutput(w)
	log := New(l, "vm", "zone")
	const decisions = 10000
	for range decisions {
		log.Emit(DaemonStopped, 0, 0) // would block for ever if it waited
	}
	close(out.release)
	w.Close()
	lines := strings.Count(out.text.String(), "daemon_stopped")
	must.Eq(t, decisions, lines+int(w.Dropped()))
	must.Eq(t, w.Dropped(), told)
	must.Greater(t, 0, int(w.Dropped()))
}

// Events beyond the limit are counted and not logged; warnings are always logged.
func TestVolumeIsBounded(t *testing.T) {
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

package slopes

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
	"mallowwind.dev/platform/store"
)

const (
	// settleLimit bounds the wait for new daemons to know each other.
	settleLimit = 3 * time.Minute
	// window is the time over which a settled fleet's traffic is compared with
	// that of the window before.
	window = 5 * time.Second
	// settled is the change between two windows below which news has spread.
	settled = 0.1
	// quiet is how long a fleet without requests is then observed.
	quiet = 15 * time.Second
)

// fleetExperiments are what whole daemons spend while no request comes, which
// is all control: knowing each other and the backend servers, and the text in
// force. Bytes between daemons count at both ends.
func fleetExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("daemons", ""), Sizes: []int{14, 49, 98, 196},
		Quantities: []Quantity{
			{"quiet_cpu", "Processor time a second of one of N daemons without requests, in 7 zones with 15 backend servers; stand-ins of the platform included.", report.Col("CPU", "µs")},
			{"quiet_peer_bytes", "Bytes a second of one of N daemons without requests, between daemons, both directions.", report.Col("bytes", "B")},
			{"quiet_platform_bytes", "Bytes a second of one of N daemons without requests, of the store and the VM list.", report.Col("bytes", "B")},
			{"quiet_memory", "Heap and stacks of one of N daemons without requests, its stand-ins included.", report.Col("heap", "KB")},
			{"store_reads", "Reads of the store a second by N daemons without requests; each waiting watch counts once a second.", report.Col("calls", "")},
			{"store_writes", "Writes to the store a second by N daemons without requests.", report.Col("calls", "")},
		},
		Run: quietFleet,
	}}
}

func quietFleet(ctx context.Context, n int, _ *rand.Rand) ([]float64, error) {
	before := liveHeap()
	s, err := newStack(ctx, n, models)
	if err != nil {
		return nil, err
	}
	if err := s.settle(ctx); err != nil {
		return nil, err
	}
	calls, peers, platform := s.store.Counts(), s.peerBytes(), s.platformBytes()
	used, err := cpuOf(func() error {
		time.Sleep(quiet)
		return ctx.Err()
	})
	if err != nil {
		return nil, err
	}
	perDaemon := float64(n) * quiet.Seconds()
	out := []float64{
		float64(used.Microseconds()) / perDaemon,
		2 * float64(s.peerBytes()-peers) / perDaemon,
		float64(s.platformBytes()-platform) / perDaemon,
		(liveHeap() - before) / 1000 / float64(n),
	}
	return append(out, callRates(calls, s.store.Counts())...), s.close()
}

// settle waits until all daemons know each other and the traffic between them
// no longer changes.
func (s *stack) settle(ctx context.Context) error {
	deadline := time.Now().Add(settleLimit)
	last := 0.0
	for time.Now().Before(deadline) && ctx.Err() == nil {
		from := s.peerBytes()
		time.Sleep(window)
		sent := float64(s.peerBytes() - from)
		if s.acquainted() && math.Abs(sent-last) < settled*sent {
			return nil
		}
		last = sent
	}
	return errors.Errorf("%d daemons did not settle within %s", len(s.daemons), settleLimit)
}

func (s *stack) acquainted() bool {
	for _, n := range s.daemons {
		if !n.daemon.Knows(len(s.daemons)) {
			return false
		}
	}
	return true
}

// callRates returns reads and writes a second.
func callRates(before, after store.Counts) []float64 {
	return []float64{
		float64(after.Reads()-before.Reads())/quiet.Seconds() + float64(after.Waiting),
		float64(after.Writes()-before.Writes()) / quiet.Seconds(),
	}
}

func (s *stack) peerBytes() int64 {
	var sum int64
	for _, n := range s.daemons {
		sum += n.peers.bytes.Load()
	}
	return sum
}

func (s *stack) platformBytes() int64 {
	var sum int64
	for _, c := range s.control {
		sum += c.bytes.Load()
	}
	return sum
}

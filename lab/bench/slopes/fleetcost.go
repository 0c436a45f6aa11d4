package slopes

import (
	"context"
	"math/rand/v2"
	"time"

	"mallowwind.dev/lab/report"
	"mallowwind.dev/platform/store"
)

const (
	// settle is how long new daemons are left to find each other.
	settle = 30 * time.Second
	// quiet is how long a fleet without requests is then observed.
	quiet = 10 * time.Second
	// replicasPerDaemon is the share of the size to come.
	replicasPerDaemon = 1900.0 / 390
)

// fleetExperiments are what whole daemons spend while no request comes, which
// is all control: knowing each other and the backend servers, and the text in
// force. Bytes are those of calls between daemons, which each end counts as its
// own, and of the store and the VM list.
func fleetExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("daemons", ""), Sizes: []int{7, 14, 28, 42},
		Quantities: []Quantity{
			{"quiet_cpu", "Processor time a second of one of N daemons without requests, stand-ins of the platform included; 4.9 backend servers a daemon.", report.Col("CPU", "µs")},
			{"quiet_peer_bytes", "Bytes a second of one of N daemons without requests, between daemons.", report.Col("bytes", "B")},
			{"quiet_platform_bytes", "Bytes a second of one of N daemons without requests, of the store and the VM list.", report.Col("bytes", "B")},
			{"quiet_memory", "Heap and stacks of one of N daemons without requests, stand-ins included.", report.Col("heap", "KB")},
			{"store_reads", "Reads of the store a second by N daemons without requests, waiting watches counted once each second.", report.Col("calls", "")},
			{"store_writes", "Writes to the store a second by N daemons without requests.", report.Col("calls", "")},
		},
		Run: quietFleet,
	}}
}

func quietFleet(ctx context.Context, n int, _ *rand.Rand) ([]float64, error) {
	before := liveHeap()
	s, err := newStack(ctx, n, int(replicasPerDaemon*float64(n)))
	if err != nil {
		return nil, err
	}
	time.Sleep(settle)
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

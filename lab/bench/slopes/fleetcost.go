package slopes

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/lab/report"
)

const (
	// settleLimit bounds the wait for new daemons to know each other.
	settleLimit = 4 * time.Minute
	// settleLeast is past the time after which slots of keys move to where
	// they belong, half a minute after the last daemon came.
	settleLeast = 50 * time.Second
	// window is the time over which a settled fleet's traffic is compared with
	// that of the window before.
	window = 5 * time.Second
	// settled is the change between two windows below which news has spread.
	settled = 0.2
	// quiet is how long a fleet without requests is then observed.
	quiet = 15 * time.Second
)

// fleetExperiments are what whole daemons spend while no request comes, which
// is all control: knowing each other and the backend servers, and the text in
// force. Bytes between daemons count at both ends.
func fleetExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("daemons", ""), Sizes: []int{7, 14, 28, 56},
		Quantities: []Quantity{
			{"quiet_cpu", "Processor time a second of N daemons together without requests, in 7 zones with 15 backend servers; stand-ins of the platform included.", report.Col("CPU", "ms")},
			{"quiet_peer_bytes", "Bytes a second between N daemons without requests, both directions, counted at both ends.", report.Col("bytes", "B")},
			{"quiet_platform_bytes", "Bytes a second of N daemons together without requests, of the store and the VM list.", report.Col("bytes", "B")},
			{"quiet_memory", "Heap and stacks of N daemons together without requests, stand-ins included.", report.Col("heap", "MB")},
			{"store_reads", "Reads of the store a second by N daemons without requests; each waiting watch counts once a second.", report.Col("calls", "")},
			{"store_writes", "Writes to the store a second by N daemons without requests.", report.Col("calls", "")},
			{"in_force_time", "From acceptance of a change of one line to in force at all of N daemons, the longest of five.", report.Col("time", "s")},
			{"change_bytes", "Bytes of N daemons together for one change of one line, beyond those without.", report.Col("bytes", "B")},
			{"change_writes", "Writes to the store for one change, with N daemons.", report.Col("writes", "")},
			{"replacement_writes", "Writes to the store for one daemon that leaves and its successor, with N daemons.", report.Col("writes", "")},
		},
		Run: fleetCost,
	}}
}

func fleetCost(ctx context.Context, n int, _ *rand.Rand) ([]float64, error) {
	before := liveHeap()
	s, err := newStack(ctx, n, models)
	if err != nil {
		return nil, err
	}
	if err := s.settle(ctx); err != nil {
		return nil, err
	}
	still, err := s.observe(func() error {
		time.Sleep(quiet)
		return ctx.Err()
	})
	if err != nil {
		return nil, err
	}
	heap := (liveHeap() - before) / 1e6
	changed, err := s.changes(ctx, still)
	if err != nil {
		return nil, errors.Wrap(err, "change")
	}
	writes, err := s.replace(ctx, still)
	if err != nil {
		return nil, errors.Wrap(err, "replacement")
	}
	out := []float64{still.cpu * 1000, still.peers, still.platform, heap, still.reads, still.writes}
	return append(append(out, changed...), writes), s.close()
}

// load is what all daemons together spent, a second.
type load struct {
	cpu             float64 // seconds
	peers, platform float64 // bytes
	reads, writes   float64 // calls of the store
	seconds         float64 // of observation
}

// observe runs f and returns what was spent meanwhile.
func (s *stack) observe(f func() error) (load, error) {
	began := time.Now()
	calls, peers, platform := s.store.Counts(), s.peerBytes(), s.platformBytes()
	used, err := cpuOf(f)
	sec := time.Since(began).Seconds()
	now := s.store.Counts()
	return load{
		cpu:      used.Seconds() / sec,
		peers:    2 * float64(s.peerBytes()-peers) / sec,
		platform: float64(s.platformBytes()-platform) / sec,
		reads:    float64(now.Reads()-calls.Reads())/sec + float64(now.Waiting),
		writes:   float64(now.Writes()-calls.Writes()) / sec,
		seconds:  sec,
	}, err
}

const (
	changesMade = 5
	// changeGap lets one change pass before the next.
	changeGap = 2 * time.Second
	// inForcePoll is how often all daemons are looked at for the new revision.
	inForcePoll = 5 * time.Millisecond
	// inForceLimit bounds the wait for a change to be in force.
	inForceLimit = 30 * time.Second
)

// changes makes some and returns the longest time until one was in force
// everywhere, bytes for one, and writes to the store for one.
func (s *stack) changes(ctx context.Context, still load) ([]float64, error) {
	var longest time.Duration
	spent, err := s.observe(func() error {
		for i := range changesMade {
			d, err := s.change(ctx, i)
			if err != nil {
				return err
			}
			longest = max(longest, d)
			time.Sleep(changeGap)
		}
		return nil
	})
	more := spent.peers + spent.platform - still.peers - still.platform
	writes := (spent.writes - still.writes) * spent.seconds / changesMade
	return []float64{
		longest.Seconds(),
		more * spent.seconds / changesMade,
		writes,
	}, err
}

// change alters one account and waits until that is in force everywhere.
func (s *stack) change(ctx context.Context, i int) (time.Duration, error) {
	text := strings.Replace(siteText(fewAccounts, s.vms), "share = 1", fmt.Sprintf("share = %d", i+2), 1)
	if err := s.apply(ctx, text); err != nil {
		return 0, err
	}
	accepted := time.Now()
	for !s.inForce(s.revision) {
		if time.Since(accepted) > inForceLimit || ctx.Err() != nil {
			return 0, errors.Errorf("not in force at all daemons within %s", inForceLimit)
		}
		time.Sleep(inForcePoll)
	}
	return time.Since(accepted), nil
}

func (s *stack) inForce(revision int64) bool {
	for _, n := range s.daemons {
		if n.daemon.Revision() < revision {
			return false
		}
	}
	return true
}

// replaceTime covers the leaving of one daemon, its successor's start and the
// moves of slots that both bring.
const replaceTime = 50 * time.Second

// replace lets one daemon leave and starts its successor under a new id. It
// returns the writes to the store beyond those without.
func (s *stack) replace(ctx context.Context, still load) (float64, error) {
	spent, err := s.observe(func() error {
		old := s.daemons[len(s.daemons)-1]
		s.daemons = s.daemons[:len(s.daemons)-1]
		vm := s.row(old.vm)
		vm.State = vmlist.Leaving
		s.list.Put(vm)
		old.leave()
		s.retired = append(s.retired, old)
		vm.ID, vm.State = vm.ID+"-next", vmlist.Live
		next, err := newNode(&vm)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, vm)
		s.list.Put(vm)
		s.daemons = append(s.daemons, next)
		if err := s.start(next); err != nil {
			return err
		}
		time.Sleep(replaceTime)
		return ctx.Err()
	})
	return (spent.writes - still.writes) * spent.seconds, err
}

func (s *stack) row(vm string) vmlist.VM {
	for _, row := range s.vms {
		if row.ID == vm {
			return row
		}
	}
	return vmlist.VM{}
}

// settle waits until all daemons know each other, the roster is no longer
// written and the traffic between daemons no longer changes.
func (s *stack) settle(ctx context.Context) error {
	began := time.Now()
	last := 0.0
	for time.Since(began) < settleLimit && ctx.Err() == nil {
		from, written := s.peerBytes(), s.store.Counts().CompareAndSwap
		time.Sleep(window)
		sent := float64(s.peerBytes() - from)
		steady := math.Abs(sent-last) < settled*sent && s.store.Counts().CompareAndSwap == written
		if steady && s.acquainted() && time.Since(began) > settleLeast {
			return nil
		}
		last = sent
	}
	return errors.Errorf("%d daemons did not settle within %s", len(s.daemons), settleLimit)
}

func (s *stack) acquainted() bool {
	for _, n := range s.daemons {
		if !n.daemon.SeesAlive(len(s.daemons)) {
			return false
		}
	}
	return true
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

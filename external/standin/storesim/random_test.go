package storesim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/external/store"
)

// seedCount is the number of seeds that the randomized test runs.
const seedCount = 60

// injectFaults injects faults into the service and its endpoints until ctx ends.
func injectFaults(ctx context.Context, r *rand.Rand, s *service) {
	for ctx.Err() == nil {
		span := time.Duration(r.IntN(2000)) * time.Millisecond
		net := s.nets[r.IntN(len(s.nets))]
		switch r.IntN(6) {
		case 0:
			net.Cut()
			time.Sleep(span)
			_ = net.Restore()
		case 1:
			net.Silence()
		case 2:
			net.Stall()
			time.Sleep(span)
			net.Unstall()
		case 3:
			s.faults.SetDown(true)
			time.Sleep(span)
			s.faults.SetDown(false)
		case 4:
			s.faults.LoseNextWriteResponse()
		case 5:
			s.faults.DropNextWrite()
		}
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
	}
}

// tryWrite attempts once to write value with a compare-and-swap and returns the reported outcome. An
// attempt that fails to read the key is reported as ErrUnavailable.
func tryWrite(ctx context.Context, s *service, value string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	kv, err := s.Get(ctx, "key")
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	_, err = s.CompareAndSwap(ctx, "key", kv.Version, []byte(value), 0)
	return err
}

// Several writers write unique values to one key with compare-and-swap while the service and its
// connections fail. Every reported outcome must match the history: a confirmed write took effect once,
// a write with ErrUnknown at most once, and a write with any other error never.
func TestReportedOutcomesMatchHistory(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(seedCount) {
		overWireTest(t, func(t *testing.T, s *service) {
			ctx, stop := context.WithCancel(t.Context())
			go injectFaults(ctx, rand.New(rand.NewPCG(seed, 1)), s)
			results := make(chan map[string]error)
			for writer := range 3 {
				go func() {
					outcomes := make(map[string]error)
					for i := range 40 {
						value := fmt.Sprintf("%d-%d", writer, i)
						outcomes[value] = tryWrite(ctx, s, value)
						time.Sleep(100 * time.Millisecond)
					}
					results <- outcomes
				}()
			}
			var all []map[string]error
			for range 3 {
				all = append(all, <-results)
			}
			stop()
			time.Sleep(time.Minute) // faults end, in-flight writes take effect
			timesWritten := countWrites(t, s.memory)
			for _, outcomes := range all {
				for value, err := range outcomes {
					counts[checkOutcome(t, value, err, timesWritten[value])]++
				}
			}
		})
	}
	for _, kind := range []string{"confirmed", "none", "unknown"} {
		must.Positive(t, counts[kind], must.Sprint(kind))
	}
}

func checkOutcome(t *testing.T, value string, err error, times int) string {
	switch {
	case err == nil:
		must.Eq(t, 1, times, must.Sprint(value))
		return "confirmed"
	case errors.Is(err, store.ErrUnknown):
		must.LessEq(t, 1, times, must.Sprint(value))
		return "unknown"
	default:
		must.Eq(t, 0, times, must.Sprint(value, err))
		return "none"
	}
}

// countWrites returns how often each value was written.
func countWrites(t *testing.T, m *store.Memory) map[string]int {
	w, err := m.Watch(t.Context(), "", 0)
	must.NoError(t, err)
	defer w.Close()
	events, err := w.Next(t.Context())
	must.NoError(t, err)
	times := make(map[string]int)
	for _, e := range events {
		times[string(e.KV.Value)]++
	}
	return times
}

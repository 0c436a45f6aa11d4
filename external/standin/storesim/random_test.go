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

// randomRuns is how many seeds the randomised test plays.
const randomRuns = 60

// disturb injects faults into the service and its endpoints until ctx ends.
func disturb(ctx context.Context, r *rand.Rand, s *service) {
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

// write tries once to swap in a unique value and returns what it was told.
func write(ctx context.Context, s *service, value string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	kv, err := s.Get(ctx, "key")
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	_, err = s.CompareAndSwap(ctx, "key", kv.Version, []byte(value), 0)
	return err
}

// Several writers swap unique values into one key while the service and its
// connections fail. What a writer is told must be a fact: a confirmed write
// happened once, one said not to have been sent or to have lost never did, and
// only those of unknown outcome may be either.
func TestWhatWritersAreToldIsTrue(t *testing.T) {
	counts := make(map[string]int)
	for seed := range uint64(randomRuns) {
		overWireTest(t, func(t *testing.T, s *service) {
			ctx, stop := context.WithCancel(t.Context())
			go disturb(ctx, rand.New(rand.NewPCG(seed, 1)), s)
			told := make(chan map[string]error)
			for writer := range 3 {
				go func() {
					outcomes := make(map[string]error)
					for i := range 40 {
						value := fmt.Sprintf("%d-%d", writer, i)
						outcomes[value] = write(ctx, s, value)
						time.Sleep(100 * time.Millisecond)
					}
					told <- outcomes
				}()
			}
			var all []map[string]error
			for range 3 {
				all = append(all, <-told)
			}
			stop()
			time.Sleep(time.Minute) // faults end, writes under way take effect
			happened := history(t, s.memory)
			for _, outcomes := range all {
				for value, err := range outcomes {
					counts[verify(t, value, err, happened[value])]++
				}
			}
		})
	}
	for _, kind := range []string{"confirmed", "none", "unknown"} {
		must.Positive(t, counts[kind], must.Sprint(kind))
	}
}

func verify(t *testing.T, value string, err error, times int) string {
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

// history counts the values ever written.
func history(t *testing.T, m *store.Memory) map[string]int {
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

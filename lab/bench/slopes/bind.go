package slopes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/lab/report"
)

const (
	bindDaemons = 3 // in three zones
	bindCallers = 8 // calls under way at once
)

// bindExperiments are what a call costs that may not be repeated: its way to
// the owner of its key, the witness's consent and the memory of both.
func bindExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("calls", ""), Sizes: []int{1000, 2000, 4000, 8000},
		Quantities: []Quantity{
			{"bind_bytes", "Bytes between three daemons by calls with a key to a plain service, both directions.", report.Col("bytes", "B")},
			{"bind_cpu", "Processor time of those calls at all daemons, the cost of calling the plain service directly subtracted.", report.Col("CPU", "µs")},
			{"bind_memory", "Heap that those calls leave at owner and witness together.", report.Col("heap", "B")},
		},
		Run: bindCost,
	}}
}

func bindCost(ctx context.Context, n int, _ *rand.Rand) ([]float64, error) {
	s, err := newStack(ctx, bindDaemons, models)
	if err != nil {
		return nil, err
	}
	through := func(i int) string {
		return "http://" + s.daemons[i%bindDaemons].callers.Addr().String() + "/services/" + deskPool + "/confirm"
	}
	if err := s.bindOnce(ctx, through); err != nil {
		return nil, err
	}
	straight, err := cpuOf(func() error {
		return callAll(ctx, n, "straight", func(int) string { return s.desk + "/confirm" })
	})
	if err != nil {
		return nil, err
	}
	heap, sent := liveHeap(), s.peerBytes()
	bound, err := cpuOf(func() error { return callAll(ctx, n, "bound", through) })
	if err != nil {
		return nil, err
	}
	out := []float64{
		float64(s.peerBytes() - sent),
		float64((bound - straight).Microseconds()),
		liveHeap() - heap,
	}
	return out, s.close()
}

// bindOnce waits until every daemon binds keys.
func (s *stack) bindOnce(ctx context.Context, url func(int) string) error {
	deadline := time.Now().Add(startLimit)
	for i := range bindDaemons {
		for {
			err := call(ctx, http.DefaultClient, url(i), fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano()))
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return err
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// callAll makes n calls with keys of their own.
func callAll(ctx context.Context, n int, prefix string, url func(int) string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: bindCallers}}
	defer client.CloseIdleConnections()
	g, ctx := errgroup.WithContext(ctx)
	for worker := range bindCallers {
		g.Go(func() error {
			for i := worker; i < n; i += bindCallers {
				if err := call(ctx, client, url(i), fmt.Sprintf("%s-%08d", prefix, i)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return g.Wait()
}

func call(ctx context.Context, client *http.Client, url, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"sacks":40}`))
	if err != nil {
		return errors.Wrap(err, "call")
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Authorization", "Bearer account-0000")
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Errorf("call: %s, %s, %v", resp.Status, body, err)
	}
	return nil
}

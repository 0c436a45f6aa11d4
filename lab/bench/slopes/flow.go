package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/lab/report"
	"mallowwind.dev/serve/flow"
)

const (
	fewBackends = 30
	fewAccounts = 10
)

// flowExperiments are what a dispatch costs, from admission to the chosen
// backend server and back, log line and metrics included.
func flowExperiments() []Experiment {
	known := report.Col("backend servers", "")
	return []Experiment{
		{
			X: known, Sizes: []int{30, 75, 150, 300, 600, 1200},
			Quantities: []Quantity{{
				"flow_cpu_backends", "Dispatch of one request by serve/flow and its end, by the backend servers known; 10 accounts.", report.Col("CPU", "ns"),
			}},
			Run: one(func(ctx context.Context, n int, rng *rand.Rand) (float64, error) {
				return dispatchCost(ctx, n, fewAccounts, rng)
			}),
		},
		{
			X: report.Col("accounts", ""), Sizes: []int{10, 100, 200, 400, 810},
			Quantities: []Quantity{{
				"flow_cpu_accounts", "Dispatch of one request by serve/flow and its end, by the accounts that send; 30 backend servers.", report.Col("CPU", "ns"),
			}},
			Run: one(func(ctx context.Context, n int, rng *rand.Rand) (float64, error) {
				return dispatchCost(ctx, fewBackends, n, rng)
			}),
		},
		{
			X: known, Sizes: []int{30, 75, 150, 300, 600, 1200},
			Quantities: []Quantity{{
				"flow_update_cpu", "Taking in one changed snapshot of the backend servers in serve/flow, by the backend servers known.", report.Col("CPU", "µs"),
			}},
			Run: one(updateCost),
		},
	}
}

// swapped is a Source whose snapshot the measurement replaces.
type swapped struct {
	p atomic.Pointer[backends.Snapshot]
}

// Current implements backends.Source.
func (s *swapped) Current() *backends.Snapshot { return s.p.Load() }

// dispatcher returns a Manager before n backend servers, and asks from each account.
func dispatcher(n, accounts int) (*flow.Manager, *swapped, []flow.Request) {
	st := testSite(accounts)
	source := new(swapped)
	source.p.Store(snapshot(n))
	m := flow.New(flow.Config{
		Location: flow.Location{VM: "entry-0000", Zone: zoneOf(0), Region: "region-0"},
		Site:     fixedSite{st}, Backends: source, Log: discard(), Seed: 1,
	})
	var asks []flow.Request
	for i := range accounts {
		asks = append(asks, flow.Request{
			RequestID: fmt.Sprintf("request-%d", i),
			Account:   st.Accounts[fmt.Sprintf("account-%04d", i)],
			Service:   st.Services[modelOf(i)], CostTokens: 400,
		})
	}
	return m, source, asks
}

func dispatchCost(ctx context.Context, n, accounts int, rng *rand.Rand) (float64, error) {
	m, _, asks := dispatcher(n, accounts)
	return cpuPerCall(func() error {
		ask := asks[rng.IntN(len(asks))]
		ask.PrefixHash = uint64(rng.IntN(1000)) + 1
		return dispatch(ctx, m, ask)
	})
}

func dispatch(ctx context.Context, m *flow.Manager, ask flow.Request) error {
	ask.Deadline = time.Now().Add(time.Minute)
	grant, err := m.Acquire(ctx, ask)
	if err != nil {
		return err
	}
	grant.Done(flow.Outcome{FirstToken: 100 * time.Millisecond, Tokens: 400})
	return nil
}

// updateCost includes one dispatch, which is what makes the Manager look.
func updateCost(ctx context.Context, n int, _ *rand.Rand) (float64, error) {
	m, source, asks := dispatcher(n, fewAccounts)
	two := [2]*backends.Snapshot{snapshot(n), snapshot(n)}
	turn := 0
	ns, err := cpuPerCall(func() error {
		turn++
		source.p.Store(two[turn%2])
		return dispatch(ctx, m, asks[turn%len(asks)])
	})
	return ns / 1000, err
}

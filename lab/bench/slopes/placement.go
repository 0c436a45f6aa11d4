package slopes

import (
	"context"
	"math/rand/v2"

	"mallowwind.dev/decision/placement"
	"mallowwind.dev/lab/report"
)

// placementExperiments are what comparing a zone with the text costs its holder.
func placementExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("backend servers", ""), Sizes: []int{30, 75, 150, 271, 542},
		Quantities: []Quantity{{
			"placement_cpu", "One plan of a zone that is as desired, by its backend servers; 15 services.", report.Col("CPU", "µs"),
		}},
		Run: one(func(_ context.Context, n int, _ *rand.Rand) (float64, error) {
			in := zoneAsDesired(n)
			ns, err := cpuPerCall(func() error {
				placement.Plan(in)
				return nil
			})
			return ns / 1000, err
		}),
	}}
}

func zoneAsDesired(n int) placement.Input {
	in := placement.Input{LoadBudget: 4}
	for i := range models {
		in.Services = append(in.Services, placement.Service{
			Name: modelOf(i), Pool: modelOf(i), Ref: placement.Ref{Model: modelOf(i)}, Replicas: n / models, Floor: 1,
		})
	}
	for _, vm := range fleet(0, n) {
		in.Backends = append(in.Backends, placement.Backend{
			ID: vm.ID, Pool: vm.Pool,
			Models: []placement.ModelStatus{{Ref: placement.Ref{Model: vm.Pool}, State: placement.Ready}},
		})
	}
	return in
}

package load

import (
	"mallowwind.dev/control/site"
	"mallowwind.dev/lab/report"
)

// studies lists the experiments beside the scenarios.
func studies() []study {
	return []study{
		{"slots", "What the operators' bound on one backend server trades at twice its capacity.", studySlots},
		{"scale", "How evenly 390 daemons spread over 1,900 replicas, by the size of their subsets.", studyScale},
		{"account_limit", "What an account gets of its limit through several entry VMs without coordination.", studyAccountLimit},
		{"entries", "How evenly accounts load the entry VMs, and what a kept answer costs when VMs go.", studyEntries},
		{"loading", "Waiting for a model that is loading against sending work elsewhere.", studyLoading},
	}
}

// studySlots plays saturation and its unloaded reference with other bounds.
func studySlots(r *report.Report, d deployment, seed uint64) error {
	s, err := scenarioNamed("saturation")
	if err != nil {
		return err
	}
	t := r.Table("slots: saturation, by the bound on one backend server",
		report.Col("slots", ""), report.Col("capacity", "tokens/s"), report.Col("goodput", "of capacity"),
		report.Col("urgent p99", "ms"), report.Col("over unloaded", ""),
		report.Col("token gap p50", "ms"), report.Col("token gap p95", "ms"))
	for _, slots := range []int{8, 12, 16, 20, 24} {
		d.slots = slots
		c := measureCapacity(d, s.shares, seed)
		got := runScenario(d, s, Product, c, seed)
		ref := runScenario(d, s.reference(), Product, c, seed)
		urgent := got.Classes[site.ClassUrgent].Whole.P99
		t.Add(report.Count(slots), report.Num(round(c[poolLong])), report.Num(round(got.Goodput)),
			report.Num(urgent), report.Num(round(urgent/ref.Classes[site.ClassUrgent].Whole.P99)),
			report.Num(got.Gap.P50), report.Num(got.Gap.P95))
	}
	return nil
}

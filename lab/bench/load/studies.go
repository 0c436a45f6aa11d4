package load

import (
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/lab/report"
)

// studies lists the experiments beside the scenarios.
func studies() []study {
	return []study{
		{"slots", "What the operators' bound on one backend server trades at twice its capacity.", studySlots},
		{"affinity", "What following cached prefixes saves, and what hints from late cache events add.", studyAffinity},
		{"retry_after", "What becomes of refused callers who come back once, when they are told to or at other times.", studyRetryAfter},
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

// studyAffinity plays usual load without affinity, with it, and with hints.
func studyAffinity(r *report.Report, d deployment, seed uint64) error {
	t := r.Table("affinity: prompts in some 80 families, 24 kept an engine; events 3 s late, one in ten lost",
		report.Col("load", "of capacity"), report.Col("routing", ""), report.Col("prompt tokens found", "%"),
		report.Col("normal first token p50", "ms"), report.Col("p95", "ms"), report.Col("p99", "ms"),
		report.Col("goodput", "of capacity"), report.Col("gap p95", "ms"))
	c := measureCapacity(d, nil, seed)
	for _, load := range []float64{0.5, 0.9} {
		for _, v := range []struct {
			name            string
			plain, hintless bool
		}{
			{"two choices", true, true},
			{"prefix affinity", false, true},
			{"with hints", false, false},
		} {
			w := newWorld(d, Product, seed)
			w.plain, w.hintless = v.plain, v.hintless
			x := w.play(scenario{load: load, desk: 0.5}, c)
			first := x.Classes[site.ClassNormal].First
			t.Add(report.Num(load), report.Text(v.name), report.Num(round(100*w.foundPart())),
				report.Num(first.P50), report.Num(first.P95), report.Num(first.P99),
				report.Num(round(x.Goodput)), report.Num(x.Gap.P95))
		}
	}
	return nil
}

// foundPart is the part of the prompt tokens that the engines had cached.
func (w *world) foundPart() float64 {
	found, all := 0.0, 0.0
	for _, e := range w.pools[poolLong] {
		found += e.cached
		all += e.filledT
	}
	return found / max(all, 1)
}

// studyRetryAfter lets refused callers come back once.
func studyRetryAfter(r *report.Report, d deployment, seed uint64) error {
	t := r.Table("retry_after: refused callers come back once",
		report.Col("scenario", ""), report.Col("come back", ""), report.Col("goodput", "of capacity"),
		report.Col("urgent answered at first", "%"), report.Col("urgent answered on return", "%"),
		report.Col("normal at first", "%"), report.Col("normal on return", "%"),
		report.Col("long at first", "%"), report.Col("long on return", "%"))
	c := measureCapacity(d, nil, seed)
	for _, name := range []string{"burst", "saturation"} {
		s, err := scenarioNamed(name)
		if err != nil {
			return err
		}
		for _, v := range []struct {
			name string
			when func(time.Duration) time.Duration
		}{
			{"when told", func(told time.Duration) time.Duration { return told }},
			{"after 100 ms", func(time.Duration) time.Duration { return 100 * time.Millisecond }},
			{"after 60 s", func(time.Duration) time.Duration { return time.Minute }},
		} {
			w := newWorld(d, Product, seed)
			w.returning = v.when
			x := w.play(s, c)
			row := []report.Cell{report.Text(name), report.Text(v.name), report.Num(round(x.Goodput))}
			for _, class := range []site.Class{site.ClassUrgent, site.ClassNormal, site.ClassLong} {
				m := w.meter.class[class]
				row = append(row, report.Num(round(100*float64(m.answered)/float64(max(m.sent, 1)))),
					report.Num(round(100*float64(m.letIn)/float64(max(m.returned, 1)))))
			}
			t.Add(row...)
		}
	}
	return nil
}

package load

import (
	"math/rand/v2"
	"time"

	"mallowwind.dev/decision/limit"
	"mallowwind.dev/lab/report"
)

// accountRate is the limit of the account of the study, in tokens a second.
const accountRate = 1000.0

// spreadOf is how the callers of an account spread over the VMs they were told.
type spreadOf struct {
	name string
	pick func(r *rand.Rand, n int) int
}

func callerSpreads() []spreadOf {
	return []spreadOf{
		{"in turn", func(r *rand.Rand, n int) int { return r.IntN(n) }},
		{"uneven: half to one VM", func(r *rand.Rand, n int) int {
			if r.Float64() < 0.5 {
				return 0
			}
			return r.IntN(n)
		}},
		{"all to one VM", func(*rand.Rand, int) int { return 0 }},
	}
}

// studyAccountLimit asks demand times an account's limit through n VMs and
// counts what is granted.
func studyAccountLimit(r *report.Report, _ deployment, seed uint64) error {
	t := r.Table("account_limit: granted over the limit, 600 s of requests of about 2,000 tokens",
		report.Col("callers", ""), report.Col("VMs told", ""), report.Col("asked over limit", ""),
		report.Col("equal parts", ""), report.Col("whole limit at each VM", ""), report.Col("one count for all", ""))
	for _, s := range callerSpreads() {
		for _, told := range []int{7, 16} {
			for _, demand := range []float64{0.5, 1, 2, 5} {
				part := limit.AccountShare(told, true)
				t.Add(report.Text(s.name), report.Count(told), report.Num(demand),
					report.Num(round(granted(s, told, demand, part, seed))),
					report.Num(round(granted(s, told, demand, 1, seed))),
					report.Num(round(granted(spreadOf{pick: callerSpreads()[2].pick}, 1, demand, 1, seed))))
			}
		}
	}
	return nil
}

// granted is the rate granted over the limit when each of n VMs gives part of it.
func granted(s spreadOf, n int, demand, part float64, seed uint64) float64 {
	const mean, span = 2000.0, 600.0
	random := rand.New(rand.NewPCG(seed, 11))
	buckets := make([]limit.TokenBucket, n)
	begin := time.Unix(0, 0)
	now, taken := 0.0, 0.0
	for now < span {
		now += random.ExpFloat64() * mean / (accountRate * demand)
		cost := mean * min(max(random.ExpFloat64(), 0.2), 4)
		vm := s.pick(random, n)
		at := begin.Add(time.Duration(now * float64(time.Second)))
		if buckets[vm].Take(at, cost, accountRate*part) == 0 {
			taken += cost
		}
	}
	return taken / span / accountRate
}

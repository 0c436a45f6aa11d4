package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/decision/entries"
	"mallowwind.dev/lab/report"
)

const scaleAccounts = 810

// studyEntries measures the address answers: the load they leave on the VMs,
// and what keeping them costs.
func studyEntries(r *report.Report, _ deployment, seed uint64) error {
	t := r.Table("entries: load of the entry VMs when callers use the told VMs in turn",
		report.Col("VMs", ""), report.Col("zones", ""), report.Col("accounts", ""),
		report.Col("windows from", ""), report.Col("least told", ""), report.Col("spread", ""),
		report.Col("most over mean", ""), report.Col("p99 over mean", ""), report.Col("mean told", ""),
		report.Col("most over mean, a zone lost", ""), report.Col("accounts moved by one VM less", "%"))
	for _, size := range []struct{ vms, zones, accounts int }{{7, 3, 10}, {scaleDaemons, scaleZones, scaleAccounts}} {
		parts := zipf(size.accounts)
		for _, rule := range []entries.SubsetRule{{MinVMs: 3, Oversubscription: 1}, {MinVMs: 3, Oversubscription: 2}, {MinVMs: 8, Oversubscription: 2}, {MinVMs: 8, Oversubscription: 4}, {MinVMs: 16, Oversubscription: 4}, {MinVMs: 16, Oversubscription: 8}} {
			for _, at := range []string{"parts", "random"} {
				spreadRow(t, size.vms, size.zones, at, parts, rule)
			}
		}
	}
	studyTTL(r, seed)
	return nil
}

// zipf is the accounts' parts of the load: the k-th brings 1/k of the first.
func zipf(n int) []float64 {
	parts, sum := make([]float64, n), 0.0
	for i := range parts {
		parts[i] = 1 / float64(i+1)
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

func spreadRow(t *report.Table, n, zones int, at string, parts []float64, rule entries.SubsetRule) {
	vms := make([]entries.VM, n)
	for i := range vms {
		id := fmt.Sprintf("entry-%d", i)
		vms[i] = entries.VM{ID: id, Hash: xxhash.Sum64String(id), Zone: zoneName(i % zones), Usable: true}
	}
	load, told := vmLoad(vms, at, parts, rule)
	most, p99 := overMean(load, n)
	less := append([]entries.VM(nil), vms...)
	less[0].Usable = false
	moved := 0
	for a := range parts {
		if !sameButFor(answer(vms, at, parts, a, rule), answer(less, at, parts, a, rule), 0) {
			moved++
		}
	}
	left := append([]entries.VM(nil), vms...)
	remaining := 0
	for i := range left {
		left[i].Usable = left[i].Zone != zoneName(0)
		if left[i].Usable {
			remaining++
		}
	}
	lost, _ := vmLoad(left, at, parts, rule)
	lostMost, _ := overMean(lost, remaining)
	t.Add(report.Count(n), report.Count(zones), report.Count(len(parts)), report.Text(at), report.Count(rule.MinVMs), report.Num(rule.Oversubscription),
		report.Num(round(most)), report.Num(round(p99)), report.Num(round(told)), report.Num(round(lostMost)),
		report.Num(round(100*float64(moved)/float64(len(parts)))))
}

// answer is what account a is told. Its window begins where the parts before
// it end or, as the baseline, anywhere.
func answer(vms []entries.VM, at string, parts []float64, a int, rule entries.SubsetRule) []int {
	q := entries.Query{LoadShare: parts[a]}
	if at == "random" {
		hash := xxhash.Sum64String(fmt.Sprintf("account-%d", a))
		q.ShareBefore = float64(hash>>11) / (1 << 53) / rule.Oversubscription
	} else {
		for _, p := range parts[:a] {
			q.ShareBefore += p
		}
	}
	return rule.Select(vms, q).VMs
}

// sameButFor reports whether after holds all of before except gone.
func sameButFor(before, after []int, gone int) bool {
	has := map[int]bool{}
	for _, i := range after {
		has[i] = true
	}
	for _, i := range before {
		if i != gone && !has[i] {
			return false
		}
	}
	return true
}

// vmLoad is each VM's part of the load, and the mean number of VMs told.
func vmLoad(vms []entries.VM, at string, parts []float64, rule entries.SubsetRule) ([]float64, float64) {
	load, told := make([]float64, len(vms)), 0
	for a := range parts {
		names := answer(vms, at, parts, a, rule)
		told += len(names)
		for _, i := range names {
			load[i] += parts[a] / float64(len(names))
		}
	}
	return load, float64(told) / float64(len(parts))
}

func overMean(load []float64, n int) (most, p99 float64) {
	h := newHistogram()
	for _, x := range load {
		_ = h.RecordValue(int64(math.Round(x * float64(n) * 1e6)))
	}
	return float64(h.Max()) / 1e6, float64(h.ValueAtQuantile(99)) / 1e6
}

// studyTTL loses one of seven zones and follows callers who keep their answer.
func studyTTL(r *report.Report, seed uint64) {
	t := r.Table("entries: time to live, one of seven zones lost, 16 VMs told, 1 s lost on each dead address",
		report.Col("time to live", "s"), report.Col("questions of 10,000 callers", "1/s"),
		report.Col("callers delayed in the minute after", "%"), report.Col("mean delay of their requests", "ms"),
		report.Col("a leaving VM serves on for", "s"))
	for _, ttl := range []time.Duration{5 * time.Second, 15 * time.Second, 30 * time.Second, 60 * time.Second, 120 * time.Second, 300 * time.Second} {
		delayed, mean := afterZoneLoss(ttl, seed)
		t.Add(report.Num(ttl.Seconds()), report.Num(round(10000/ttl.Seconds())),
			report.Num(round(100*delayed)), report.Num(round(mean)), report.Num(ttl.Seconds()))
	}
}

// afterZoneLoss plays callers who send one request a second and remember a
// dead address until their answer ends.
func afterZoneLoss(ttl time.Duration, seed uint64) (delayed, meanMillis float64) {
	const callers, told, zones, minute = 10000, 16, scaleZones, 60
	random := rand.New(rand.NewPCG(seed, 13))
	hit, lost, requests := 0, 0.0, 0
	for range callers {
		left := random.Float64() * ttl.Seconds()
		var dead [told]bool
		gone := random.IntN(zones)
		for k := range dead {
			dead[k] = k%zones == gone
		}
		next, was := random.IntN(told), false
		for s := range minute {
			requests++
			if float64(s) >= left {
				continue
			}
			if next = (next + 1) % told; dead[next] {
				dead[next] = false
				lost += connectFails.Seconds()
				was = true
			}
		}
		if was {
			hit++
		}
	}
	return float64(hit) / callers, 1000 * lost / float64(requests)
}

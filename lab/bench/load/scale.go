package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/decision/route"
	"mallowwind.dev/lab/report"
)

// The size to come.
const (
	scaleDaemons  = 390
	scaleReplicas = 1900
	scaleZones    = 7
	scaleModels   = 15
)

// subsetting chooses the replicas that one daemon uses.
type subsetting struct {
	name   string
	choose func(self uint64, daemons, backends []uint64, size int) []int
}

func subsettings() []subsetting {
	return []subsetting{
		{"windows", route.Subset},
		{"rendezvous", func(self uint64, _, backends []uint64, size int) []int {
			return rendezvous(self, backends, size)
		}},
	}
}

// studyScale spreads the daemons of one zone over the replicas of that zone.
func studyScale(r *report.Report, _ deployment, seed uint64) error {
	daemons := ids("entry", scaleDaemons/scaleZones)
	for _, replicas := range []int{scaleReplicas / scaleZones, scaleReplicas / scaleZones / scaleModels} {
		backends := ids("backend", replicas)
		title := fmt.Sprintf("scale: %d daemons and %d replicas of one service in one zone", len(daemons), replicas)
		t := r.Table(title, report.Col("subsets", ""), report.Col("size", ""),
			report.Col("daemons a replica, most over mean", ""), report.Col("least over mean", ""),
			report.Col("links changed by one daemon more", "%"), report.Col("by one replica less", "%"),
			report.Col("in flight at 70%, most over mean", ""), report.Col("p99 over mean", ""))
		for _, size := range []int{4, 8, 16, 24, 48, replicas} {
			if size > replicas {
				continue
			}
			for _, s := range subsettings() {
				scaleRow(t, s, daemons, backends, size, seed)
			}
		}
	}
	return nil
}

func scaleRow(t *report.Table, s subsetting, daemons, backends []uint64, size int, seed uint64) {
	links := assign(s, daemons, backends, size)
	most, least := coverage(links, len(backends))
	more := assign(s, append(append([]uint64(nil), daemons...), xxhash.Sum64String("entry-new")), backends, size)
	less := assign(s, daemons, backends[1:], size)
	for _, l := range less {
		for k := range l {
			l[k]++ // indices without the first replica
		}
	}
	peak, p99 := inFlight(links, len(backends), seed)
	t.Add(report.Text(s.name), report.Count(size), report.Num(round(most)), report.Num(round(least)),
		report.Num(round(changed(links, more[:len(links)]))), report.Num(round(changed(links, less))),
		report.Num(round(peak)), report.Num(round(p99)))
}

func ids(prefix string, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = xxhash.Sum64String(fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

func assign(s subsetting, daemons, backends []uint64, size int) [][]int {
	links := make([][]int, len(daemons))
	for i, d := range daemons {
		links[i] = s.choose(d, daemons, backends, size)
	}
	return links
}

// coverage is the number of daemons that use a replica, most and least over the mean.
func coverage(links [][]int, backends int) (most, least float64) {
	count := make([]int, backends)
	total := 0
	for _, l := range links {
		for _, b := range l {
			count[b]++
			total++
		}
	}
	mean := float64(total) / float64(backends)
	least = math.Inf(1)
	for _, c := range count {
		most = max(most, float64(c)/mean)
		least = min(least, float64(c)/mean)
	}
	return most, least
}

// changed is the share of links, in percent, that after lacks.
func changed(before, after [][]int) float64 {
	lost, all := 0, 0
	for i, l := range before {
		kept := map[int]bool{}
		for _, b := range after[i] {
			kept[b] = true
		}
		for _, b := range l {
			all++
			if !kept[b] {
				lost++
			}
		}
	}
	return 100 * float64(lost) / float64(all)
}

// inFlight lets requests come and go at random until the counts are settled;
// each daemon takes the less loaded of two by its own counts alone.
func inFlight(links [][]int, backends int, seed uint64) (peak, p99 float64) {
	const perBackend, part, rounds = 20, 0.7, 30
	random := rand.New(rand.NewPCG(seed, 7))
	own := make([]map[int]int, len(links))
	for i := range own {
		own[i] = map[int]int{}
	}
	type request struct{ daemon, backend int }
	load := int(perBackend * part * float64(backends))
	running := make([]request, 0, load)
	total := make([]int, backends)
	for step := range load * rounds {
		if len(running) == load {
			k := random.IntN(load)
			q := running[k]
			running[k] = running[load-1]
			running = running[:load-1]
			own[q.daemon][q.backend]--
			total[q.backend]--
		}
		d := step % len(links)
		a, b := links[d][random.IntN(len(links[d]))], links[d][random.IntN(len(links[d]))]
		if own[d][b] < own[d][a] {
			a = b
		}
		own[d][a]++
		total[a]++
		running = append(running, request{d, a})
	}
	h := newHistogram()
	for _, n := range total {
		_ = h.RecordValue(int64(n))
	}
	mean := float64(load) / float64(backends)
	return float64(h.Max()) / mean, float64(h.ValueAtQuantile(99)) / mean
}

// rendezvous is the baseline: every daemon draws for itself, taking
// the backends with the largest hash of the pair.
func rendezvous(self uint64, backends []uint64, size int) []int {
	order := make([]int, len(backends))
	for i := range order {
		order[i] = i
	}
	if len(backends) <= size {
		return order
	}
	sort.Slice(order, func(a, b int) bool {
		return route.Mix(self^route.Mix(backends[order[a]])) > route.Mix(self^route.Mix(backends[order[b]]))
	})
	return order[:size]
}

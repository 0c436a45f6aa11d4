package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAnalyze measures one comparison of the versions by the number of samples.
func BenchmarkAnalyze(b *testing.B) {
	for _, n := range []int{600, 4000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			var e Evidence
			for range n {
				e.Add(Sample{
					Route: fmt.Sprint("r", random.IntN(3)), Server: fmt.Sprint("s", random.IntN(40)), Zone: fmt.Sprint(random.IntN(3)),
					OnTarget: random.IntN(12) == 0, Kind: Kind(random.IntN(3)), Duration: time.Duration(random.IntN(60)) * time.Millisecond,
					EndedAt: time.Duration(random.IntN(15000)) * time.Millisecond,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				e.Analyze(nil)
			}
		})
	}
}

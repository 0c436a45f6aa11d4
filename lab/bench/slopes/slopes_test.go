package slopes

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/site"
	"mallowwind.dev/lab/report"
)

func TestRepeatsOfSizesAreInterleaved(t *testing.T) {
	var order []int
	e := Experiment{
		X: report.Col("things", ""), Sizes: []int{1, 2, 3, 4},
		Quantities: []Quantity{{"double", "", report.Col("cost", "µs")}, {"square", "", report.Col("cost", "µs")}},
		Run: func(_ context.Context, n int, _ *rand.Rand) ([]float64, error) {
			order = append(order, n)
			return []float64{float64(2 * n), float64(n * n)}, nil
		},
	}
	slopes, err := e.run(t.Context(), Options{Repeats: 2, Log: io.Discard, Now: time.Now})
	must.NoError(t, err)
	test.Eq(t, []int{1, 2, 3, 4, 1, 2, 3, 4}, order)
	must.Len(t, 2, slopes)
	test.InDelta(t, 2, slopes[0].Fit.Slope, 1e-9)
	test.Eq(t, []float64{16, 16}, slopes[1].Points[3].Y)
	test.StrContains(t, slopes[1].Command, "--only square")
}

func TestSlopesHaveNamesOfTheirOwnAndEnoughSizes(t *testing.T) {
	seen := make(map[string]bool)
	for _, e := range Experiments() {
		test.GreaterEq(t, report.MinFitPoints, len(e.Sizes))
		for _, q := range e.Quantities {
			test.False(t, seen[q.Name], test.Sprint(q.Name))
			seen[q.Name] = true
		}
	}
}

func TestUnknownNameIsRefused(t *testing.T) {
	test.Error(t, Run(t.Context(), Options{Only: "nothing", Dir: t.TempDir(), Log: io.Discard, Now: time.Now}))
}

func TestTextAndFleetAreValid(t *testing.T) {
	s, err := site.Parse(siteName, []byte(siteText(20, fleet(0, models*zones))))
	must.NoError(t, err)
	test.MapLen(t, 20, s.Accounts)
	test.MapContainsKey(t, s.Services, deskPool)
	pools := make(map[string]map[string]int)
	for _, vm := range fleet(0, models*zones) {
		test.MapContainsKey(t, s.Services, vm.Pool)
		if pools[vm.Pool] == nil {
			pools[vm.Pool] = make(map[string]int)
		}
		pools[vm.Pool][vm.Zone]++
	}
	test.MapLen(t, zones, pools[modelOf(0)])
}

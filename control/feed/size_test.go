package feed

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// sizedTable returns a table of so many servers, and a tenth as many entry VMs.
func sizedTable(servers int) *table {
	tab := newTable(textSchema{}, event.Discard())
	items := []store.KV{testEntry("config", "v", 1)}
	for n := range servers {
		items = append(items, testEntry(fmt.Sprintf("server/%06d", n), fmt.Sprint("a:", n), int64(n+2)))
	}
	for n := range servers / 10 {
		id := fmt.Sprintf("vm-%06d", n)
		items = append(items, testEntry(vmPrefix+id, fmt.Sprintf(`{"id":%q,"address":"b:%d"}`, id, n+1), int64(servers+n+2)))
	}
	tab.replaceAll(0, store.NewListing(items, 1))
	tab.view()
	return tab
}

// bytesPerRun returns the mean number of bytes that f allocates.
func bytesPerRun(runs int, f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(runs)
}

// changeOneServer returns a function that drains one server after another and builds a view.
func changeOneServer(tab *table, servers int) func() {
	n, version := 0, int64(1_000_000)
	return func() {
		version++
		tab.put(testEntry(fmt.Sprintf("server/%06d", n%servers), fmt.Sprintf("leaving a:%d", n%servers), version))
		n += 7
		tab.view()
	}
}

// askForOneChange returns a function that collects what changed since the newest revision but one.
func askForOneChange(tab *table) func() {
	return func() { tab.entries.since(tab.entries.newestVersion-1, tab.entries.newestVersion-1, maxPageBytes) }
}

// Guards against work in proportion to the fleet: if each change of one server cost every daemon a
// pass over all servers, a release would be all that the daemons of a large fleet do.
func TestCostOfOneChangeDoesNotGrowWithTheFleet(t *testing.T) {
	const small, large, runs = 1000, 10_000, 200
	changeSmall, changeLarge := changeOneServer(sizedTable(small), small), changeOneServer(sizedTable(large), large)
	few, many := bytesPerRun(runs, changeSmall), bytesPerRun(runs, changeLarge)
	t.Logf("one change: %.0f bytes at %d servers, %.0f at %d", few, small, many, large)
	must.LessEq(t, 1.2*few, many)

	few, many = bytesPerRun(runs, askForOneChange(sizedTable(small))), bytesPerRun(runs, askForOneChange(sizedTable(large)))
	t.Logf("one question: %.0f bytes at %d servers, %.0f at %d", few, small, many, large)
	must.LessEq(t, 1.2*few+1, many)
}

func BenchmarkOneChange(b *testing.B) {
	for _, servers := range []int{260, 2500, 10_000} {
		tab := sizedTable(servers)
		b.Run(fmt.Sprint("view/", servers), func(b *testing.B) {
			change := changeOneServer(tab, servers)
			b.ReportAllocs()
			for b.Loop() {
				change()
			}
		})
		b.Run(fmt.Sprint("since/", servers), func(b *testing.B) {
			ask := askForOneChange(tab)
			b.ReportAllocs()
			for b.Loop() {
				ask()
			}
		})
	}
}

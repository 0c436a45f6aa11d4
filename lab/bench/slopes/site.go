package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/lab/report"
)

// siteName is the name of the site in the texts of this package.
const siteName = "slopes"

// siteExperiments are what a site text costs.
func siteExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("accounts", ""), Sizes: []int{10, 100, 200, 400, 810},
		Quantities: []Quantity{
			{"site_text_bytes", "Site text with 15 services in 7 zones, by its accounts of one token each.", report.Col("text", "B")},
			{"site_parse_cpu", "Parsing that text.", report.Col("CPU", "µs")},
			{"site_memory", "Heap of the parsed site with its text.", report.Col("heap", "KB")},
		},
		Run: siteCost,
	}}
}

func siteCost(_ context.Context, n int, _ *rand.Rand) ([]float64, error) {
	text := siteText(n, fleet(0, 1900))
	ns, err := cpuPerCall(func() error {
		_, err := site.Parse(siteName, []byte(text))
		return err
	})
	if err != nil {
		return nil, err
	}
	heap, err := heapOf(func() (any, error) { return site.Parse(siteName, []byte(text)) })
	return []float64{float64(len(text)), ns / 1000, heap / 1000}, err
}

// siteText returns a text with one service and pool a model, as many replicas
// in each zone as vms has backend servers, and accounts whose tokens are their
// names.
func siteText(accounts int, vms []vmlist.VM) string {
	replicas := make(map[[2]string]int)
	for _, vm := range vms {
		replicas[[2]string{vm.Pool, vm.Zone}]++
	}
	var b strings.Builder
	names := make([]string, zones)
	for i := range names {
		names[i] = zoneOf(i)
	}
	fmt.Fprintf(&b, "[site]\nname = %s\nzones = %s\n\n[limits]\nentries_ttl = 2s\n", siteName, strings.Join(names, ", "))
	for i := range models {
		name := modelOf(i)
		fmt.Fprintf(&b, "\n[pool %s]\nslots = 64\n\n[service %s]\nkind = generation\npool = %s\nmodel = %s\nclass = long\ndeadline = 2m\n",
			name, name, name, name)
		for _, zone := range names {
			fmt.Fprintf(&b, "replicas.%s = %d\n", zone, replicas[[2]string{name, zone}])
		}
	}
	fmt.Fprintf(&b, "\n[pool %s]\nslots = 64\n\n[service %s]\nkind = plain\npool = %s\nclass = urgent\nrepeatable = no\nreplicas.%s = 1\n",
		deskPool, deskPool, deskPool, zoneOf(0))
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		fmt.Fprintf(&b, "\n[account %s]\ntoken_hashes = %s\nshare = 1\n", name, tokenHash(name))
	}
	return b.String()
}

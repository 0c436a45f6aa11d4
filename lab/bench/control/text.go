package control

import (
	"fmt"
	"strings"

	"mallowwind.dev/control/inforce/record"
)

const serviceCount = 15

// siteText returns a site text with the given number of accounts. Texts with different values of
// change differ in a few accounts, as after an operator's edit.
func siteText(accounts, change int) string {
	var b strings.Builder
	b.WriteString("[site]\nname = " + site + "\nzones = " + zoneNames() + "\n\n[pool engines]\n")
	for i := range serviceCount {
		fmt.Fprintf(&b, "\n[service model-%d]\nkind = generation\npool = engines\nmodel = model-%d\nversion = 1\n", i, i)
		for z := range zones {
			fmt.Fprintf(&b, "replicas.zone-%d = 18\n", z)
		}
	}
	for i := range accounts {
		share := 1
		if i == change%accounts || i == (change*7)%accounts {
			share = 2 + change
		}
		fmt.Fprintf(&b, "\n# customer %d\n[account account-%d]\ntoken_hashes = %s\nshare = %d\n",
			i, i, record.Hash(fmt.Sprint("token", i)), share)
	}
	return b.String()
}

func zoneNames() string {
	names := make([]string, zones)
	for z := range zones {
		names[z] = fmt.Sprintf("zone-%d", z)
	}
	return strings.Join(names, ", ")
}

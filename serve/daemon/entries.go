package daemon

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/platform/vmlist"
	"mallowwind.dev/serve/api"
)

// entries answers which entry VMs an account should use: those alive and not
// leaving, in an order of its own for each account so that accounts spread.
type entries struct {
	site    site.Source
	members membership.Source
	vms     vmlist.Source
}

// For implements api.Entries.
func (e *entries) For(account *site.Account) []api.Entry {
	var out []api.Entry
	for _, m := range e.members.Current().Members {
		if m.State == membership.Alive && m.Caller != "" {
			out = append(out, api.Entry{ID: m.ID, Address: m.Caller, Zone: m.Zone})
		}
	}
	score := func(id string) uint64 { return xxhash.Sum64String(account.Name + "/" + id) }
	slices.SortFunc(out, func(a, b api.Entry) int { return cmp.Compare(score(a.ID), score(b.ID)) })
	return out
}

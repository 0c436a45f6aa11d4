package daemon

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	selection "mallowwind.dev/decision/entries"
	"mallowwind.dev/serve/api"
	"mallowwind.dev/telemetry/event"
)

// entrySelector selects the entry VMs that an account should use.
type entrySelector struct {
	site     site.Source
	members  membership.Source
	log      *event.Log
	rotation atomic.Uint64
}

// EntriesFor implements api.Entries. It returns only members that are seen alive: a leaving member is no
// longer returned, and still serves the callers that have its address in a cached answer.
func (e *entrySelector) EntriesFor(account *site.Account) []api.Entry {
	members := e.members.Current().Members
	vms := make([]selection.VM, 0, len(members))
	for _, m := range members {
		vms = append(vms, selection.VM{
			ID: m.ID, Hash: xxhash.Sum64String(m.ID), Zone: m.Zone, Address: m.CallerAddr,
			Usable: m.State == membership.Alive && m.CallerAddr != "",
		})
	}
	share, before := selection.LoadPosition(accountLoads(e.site.Current()), account.Name)
	a := selection.Select(vms, selection.Query{LoadShare: share, ShareBefore: before, Rotation: e.rotation.Add(1)})
	e.log.Emit(event.EntriesAnswered, account.Name, len(a.VMs), len(vms), a.Reason)
	out := make([]api.Entry, 0, len(a.VMs))
	for _, i := range a.VMs {
		out = append(out, api.Entry{ID: vms[i].ID, Address: vms[i].Address, Zone: vms[i].Zone})
	}
	return out
}

// accountLoads returns the accounts with their declared shares of the load.
func accountLoads(s *site.Site) []selection.AccountLoad {
	out := make([]selection.AccountLoad, 0, len(s.Accounts))
	for name, a := range s.Accounts {
		out = append(out, selection.AccountLoad{Name: name, Hash: xxhash.Sum64String(name), Weight: a.Share})
	}
	return out
}

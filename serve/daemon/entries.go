package daemon

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	ask "mallowwind.dev/decision/entries"
	"mallowwind.dev/serve/api"
	"mallowwind.dev/telemetry/event"
)

// entries answers which entry VMs an account should use.
type entries struct {
	site    site.Source
	members membership.Source
	log     *event.Log
	turn    atomic.Uint64
}

// EntriesFor implements api.Entries. Only members seen alive are named: one that is
// leaving vanishes from the answers at once and serves on for the callers that
// still keep it.
func (e *entries) EntriesFor(account *site.Account) []api.Entry {
	members := e.members.Current().Members
	vms := make([]ask.VM, 0, len(members))
	for _, m := range members {
		vms = append(vms, ask.VM{
			ID: m.ID, Hash: xxhash.Sum64String(m.ID), Zone: m.Zone, Address: m.CallerAddr,
			Usable: m.State == membership.Alive && m.CallerAddr != "",
		})
	}
	part, before := ask.LoadPosition(shares(e.site.Current()), account.Name)
	a := ask.Select(vms, ask.Query{LoadShare: part, ShareBefore: before, Rotation: e.turn.Add(1)})
	e.log.Emit(event.EntriesAnswered, account.Name, len(a.VMs), len(vms), a.Reason)
	out := make([]api.Entry, 0, len(a.VMs))
	for _, i := range a.VMs {
		out = append(out, api.Entry{ID: vms[i].ID, Address: vms[i].Address, Zone: vms[i].Zone})
	}
	return out
}

// shares are the accounts' declared weights in the load.
func shares(s *site.Site) []ask.AccountLoad {
	out := make([]ask.AccountLoad, 0, len(s.Accounts))
	for name, a := range s.Accounts {
		out = append(out, ask.AccountLoad{Name: name, Hash: xxhash.Sum64String(name), Weight: a.Share})
	}
	return out
}

package flow

import (
	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/entries"
	"mallowwind.dev/decision/limit"
	"mallowwind.dev/decision/route"
)

// Fleet is what a core needs to know of the entry VMs.
type Fleet struct {
	AliveCount int      // entry VMs that serve, this one included
	ZoneHashes []uint64 // hashes of the ids of those in this VM's zone, this one included
	VMs        []entries.VM
}

func (f *Fleet) count() int { return max(1, f.AliveCount) }

// fleetOf reads a membership view.
func fleetOf(v *membership.View, place Location) Fleet {
	var f Fleet
	for _, m := range v.Members {
		serves := m.State == membership.Alive || m.State == membership.Suspect
		f.VMs = append(f.VMs, entries.VM{
			ID: m.ID, Hash: xxhash.Sum64String(m.ID), Zone: m.Zone, Address: m.CallerAddr,
			Usable: m.State == membership.Alive && m.CallerAddr != "",
		})
		if !serves {
			continue
		}
		f.AliveCount++
		if m.Zone == place.Zone {
			f.ZoneHashes = append(f.ZoneHashes, xxhash.Sum64String(m.ID))
		}
	}
	return f
}

func (c *Core) rank(b *backends.Backend) route.Rank {
	switch {
	case b.VM.Zone == c.place.Zone:
		return route.SameZone
	case b.VM.Region == c.place.Region:
		return route.SameRegion
	}
	return route.Remote
}

// leastShare is the even share, in requests, below which a backend server is
// not divided among all daemons any more but among those of its zone.
const leastShare = 1.0

// sharers is the number of daemons among which a backend server is divided. In
// a large fleet a daemon's share of every server would be a small part of one
// request: then the daemons of a zone share its servers, and farther ones are
// used only as far as they report free slots.
func (c *Core) sharers(b *backends.Backend, slots int) int {
	if float64(slots) >= leastShare*float64(c.fleet.count()) {
		return c.fleet.count()
	}
	if c.rank(b) == route.SameZone {
		return max(1, len(c.fleet.ZoneHashes))
	}
	return 0
}

// fartherSize is how many servers of each other zone a daemon uses at most:
// enough to spill over, few enough that six other zones cost no more links than
// twice the own one.
const fartherSize = 8

// subset chooses the servers that this daemon uses, zone by zone.
func (c *Core) subset(rows []*backends.Backend) []route.Candidate {
	zones := map[string][]*backends.Backend{}
	for _, b := range rows {
		zones[b.VM.Zone] = append(zones[b.VM.Zone], b)
	}
	self := xxhash.Sum64String(c.place.VM)
	var chosen []route.Candidate
	for _, zone := range sortedKeys(zones) {
		in := zones[zone]
		size := route.SubsetSize
		if zone != c.place.Zone && len(c.fleet.ZoneHashes) > fartherSize {
			size = fartherSize
		}
		hashes := make([]uint64, len(in))
		for i, b := range in {
			hashes[i] = xxhash.Sum64String(b.VM.ID)
		}
		for _, i := range route.Subset(self, c.fleet.ZoneHashes, hashes, size) {
			chosen = append(chosen, c.candidate(in[i]))
		}
	}
	return chosen
}

// share is this VM's part of an account's limit: an equal part with the other
// VMs that the account is told.
func (c *Core) share(account string) float64 {
	if c.site == nil || len(c.fleet.VMs) == 0 {
		return limit.AccountShare(c.fleet.count(), true)
	}
	if c.shares == nil {
		for _, a := range c.site.Accounts {
			c.shares = append(c.shares, entries.AccountLoad{
				Name: a.Name, Hash: xxhash.Sum64String(a.Name), Weight: a.Share,
			})
		}
	}
	part, before := entries.LoadPosition(c.shares, account)
	self := -1
	for i := range c.fleet.VMs {
		if c.fleet.VMs[i].ID == c.place.VM {
			self = i
		}
	}
	told, member := entries.DefaultRule.IsSelected(c.fleet.VMs, entries.Query{LoadShare: part, ShareBefore: before}, self)
	return limit.AccountShare(told, member)
}

package flow

import (
	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/entries"
	"mallowwind.dev/decision/limit"
	"mallowwind.dev/decision/route"
)

// Fleet describes the entry VMs as far as a Core needs them.
type Fleet struct {
	AliveCount int      // entry VMs that are alive or suspect, this one included
	ZoneHashes []uint64 // hashes of the ids of those in this VM's zone
	VMs        []entries.VM
}

func (f *Fleet) entryVMCount() int { return max(1, f.AliveCount) }

// fleetOf builds a Fleet from a membership view.
func fleetOf(v *membership.View, location Location) Fleet {
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
		if m.Zone == location.Zone {
			f.ZoneHashes = append(f.ZoneHashes, xxhash.Sum64String(m.ID))
		}
	}
	return f
}

func (c *Core) rank(b *backends.Backend) route.Rank {
	switch {
	case b.VM.Zone == c.location.Zone:
		return route.SameZone
	case b.VM.Region == c.location.Region:
		return route.SameRegion
	}
	return route.Remote
}

// minSlotsPerDaemon is the number of slots per daemon below which a backend
// server's slots are divided among the daemons of its zone only, and no longer
// among all daemons.
const minSlotsPerDaemon = 1.0

// sharingDaemonCount returns the number of daemons among which the slots of a
// backend server are divided. In a large fleet a daemon's share of each server
// would be a small fraction of one request. The slots of a server are then
// divided among the daemons of its zone, and the other daemons, for which the
// result is 0, use it only as far as it reports free slots.
func (c *Core) sharingDaemonCount(b *backends.Backend, slots int) int {
	if float64(slots) >= minSlotsPerDaemon*float64(c.fleet.entryVMCount()) {
		return c.fleet.entryVMCount()
	}
	if c.rank(b) == route.SameZone {
		return max(1, len(c.fleet.ZoneHashes))
	}
	return 0
}

// otherZoneSubsetSize is the maximum number of servers of each other zone that a
// daemon uses. It is enough to spill over, and with six other zones costs no
// more connections than twice those to the daemon's own zone.
const otherZoneSubsetSize = 8

// subset returns the servers that this daemon uses, chosen zone by zone.
func (c *Core) subset(rows []*backends.Backend) []route.Candidate {
	zones := map[string][]*backends.Backend{}
	for _, b := range rows {
		zones[b.VM.Zone] = append(zones[b.VM.Zone], b)
	}
	own := xxhash.Sum64String(c.location.VM)
	var chosen []route.Candidate
	for _, zone := range sortedKeys(zones) {
		zoneServers := zones[zone]
		size := route.SubsetSize
		if zone != c.location.Zone && len(c.fleet.ZoneHashes) > otherZoneSubsetSize {
			size = otherZoneSubsetSize
		}
		hashes := make([]uint64, len(zoneServers))
		for i, b := range zoneServers {
			hashes[i] = xxhash.Sum64String(b.VM.ID)
		}
		for _, i := range route.Subset(own, c.fleet.ZoneHashes, hashes, size) {
			chosen = append(chosen, c.candidate(zoneServers[i]))
		}
	}
	return chosen
}

// accountShare returns this VM's share of an account's limit. The limit is
// divided equally among the VMs whose addresses the account's callers receive.
func (c *Core) accountShare(account string) float64 {
	if c.site == nil || len(c.fleet.VMs) == 0 {
		return limit.AccountShare(c.fleet.entryVMCount(), true)
	}
	if c.accountLoads == nil {
		for _, a := range c.site.Accounts {
			c.accountLoads = append(c.accountLoads, entries.AccountLoad{
				Name: a.Name, Hash: xxhash.Sum64String(a.Name), Weight: a.Share,
			})
		}
	}
	loadShare, shareBefore := entries.LoadPosition(c.accountLoads, account)
	own := -1
	for i := range c.fleet.VMs {
		if c.fleet.VMs[i].ID == c.location.VM {
			own = i
		}
	}
	selectedCount, selected := entries.DefaultRule.IsSelected(c.fleet.VMs, entries.Query{LoadShare: loadShare, ShareBefore: shareBefore}, own)
	return limit.AccountShare(selectedCount, selected)
}

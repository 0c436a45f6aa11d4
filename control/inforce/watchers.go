package inforce

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/membership"
)

// watchersPerZone is the number of daemons of a zone that watch the store. With two, the failure of
// one leaves no gap. The store counts each open watch as a pending call, so one watch from each of
// 390 daemons would be too many.
const watchersPerZone = 2

// Watchers returns the ids of the members that watch the store for zone: the alive members with the
// lowest rendezvous hashes. Every daemon computes them from its own membership view, without
// messages. While views differ, a zone may briefly have one watch too many or too few, which does no
// harm. When a member joins or leaves, at most one watch moves.
func Watchers(view *membership.View, zone string) []string {
	type candidate struct {
		id    string
		score uint64
	}
	var list []candidate
	for _, m := range view.Members {
		if m.Zone == zone && m.State == membership.Alive {
			list = append(list, candidate{m.ID, xxhash.Sum64String(zone + "\x00" + m.ID)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, 0, watchersPerZone)
	for _, c := range list[:min(watchersPerZone, len(list))] {
		ids = append(ids, c.id)
	}
	return ids
}

// shouldWatch reports whether this daemon is one of the watchers of its zone.
func (m *Manager) shouldWatch() bool {
	return slices.Contains(Watchers(m.cfg.Members.Current(), m.cfg.Zone), m.cfg.VM)
}

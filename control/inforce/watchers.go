package inforce

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/membership"
)

// watchersPerZone is how many daemons of a zone watch the store. Two, so that
// the death of one leaves no gap; the store counts each waiting watch as a
// call, so that 390 watches are not a plan.
const watchersPerZone = 2

// Watchers returns the ids of the members that watch the store for zone: those
// with the lowest rendezvous hash among the living. Every daemon computes it
// from its own view without a message. Where views differ for a moment one
// watch more or less is open, which harms nothing; where a member joins or
// leaves, at most one watch moves.
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

func (m *Manager) shouldWatch() bool {
	return slices.Contains(Watchers(m.cfg.Members.Current(), m.cfg.Zone), m.cfg.VM)
}

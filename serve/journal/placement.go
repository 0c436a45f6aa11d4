// Package journal stores copies of generations that other entry VMs serve.
//
// It answers the loss of an entry VM in the middle of an answer. A continuation by another entry
// VM must begin with exactly the text that the caller already holds. Each token is therefore
// copied to another entry VM, preferably in another zone, before it is released (the output commit
// problem; Strom and Yemini 1985).
//
// The entry VM with the copy, its holder, also decides ownership: Adopt begins a new epoch, and
// appends of the previous owner are refused from then on. Otherwise an owner that was only paused
// could release tokens that its successor doesn't have.
package journal

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/membership"
)

const (
	// candidateCount is the number of members that may hold a copy. An owner that is one of them
	// has three others, so a holder can still be found while one of them has failed and another
	// is being replaced. Each candidate costs one request when a generation is located.
	candidateCount = 4
	// candidateZoneCount is the number of candidates that are in different zones.
	candidateZoneCount = 3
)

const (
	// groupsPerOwner is the number of journal groups of one owner. A single holder for all answers
	// of an owner would need the fewest messages, but then some daemons hold the copies of five
	// owners and others of none; with four groups per owner, the largest share falls to about half
	// of that (docs/design/21-journal.md).
	groupsPerOwner = 4
	// groupNameDigits is the length of a group name in hexadecimal digits.
	groupNameDigits = 8
)

// GroupName returns the name of the owner's journal group with number selector modulo
// groupsPerOwner.
func GroupName(owner string, selector byte) string {
	h := xxhash.Sum64String(owner + "#" + strconv.Itoa(int(selector)%groupsPerOwner))
	return fmt.Sprintf("%016x", h)[:groupNameDigits]
}

// placementKey returns the part of a generation's id that decides where its copy is placed: the
// group if the id contains one, otherwise the whole id.
func placementKey(id string) string {
	if strings.HasPrefix(id, "g") && len(id) > groupNameDigits {
		return id[:1+groupNameDigits]
	}
	return id
}

// Candidates returns the members that may hold the copy of a generation, the preferred one first.
// These are, in the order of rendezvous hashing, the first member of each of three zones and then
// the next one in any zone. Of the first two, at least one is outside the owner's zone. All entry
// VMs compute nearly the same list, so copies are found without a directory.
func Candidates(id string, v *membership.View) []membership.Member {
	scored := scoreMembers(placementKey(id), v)
	out := make([]membership.Member, 0, candidateCount)
	for _, s := range scored {
		sameZone := func(m membership.Member) bool { return m.Zone == s.member.Zone }
		if len(out) < candidateZoneCount && !slices.ContainsFunc(out, sameZone) {
			out = append(out, s.member)
		}
	}
	for _, s := range scored {
		sameMember := func(m membership.Member) bool { return m.ID == s.member.ID }
		if len(out) < candidateCount && !slices.ContainsFunc(out, sameMember) {
			out = append(out, s.member)
		}
	}
	return out
}

// PickHolder returns the member that should hold the copy of a generation served by v.Self: the
// first live candidate in another zone, or else the first live one in the same zone. Members for
// which exclude returns true are skipped; exclude may be nil. ok is false if no candidate is left.
func PickHolder(id string, v *membership.View, exclude func(membership.Member) bool) (m membership.Member, ok bool) {
	fallback := -1
	list := Candidates(id, v)
	for i, c := range list {
		if c.ID == v.Self.ID || c.State != membership.Alive || (exclude != nil && exclude(c)) {
			continue
		}
		if c.Zone != v.Self.Zone {
			return c, true
		}
		if fallback < 0 {
			fallback = i
		}
	}
	if fallback < 0 {
		return membership.Member{}, false
	}
	return list[fallback], true
}

type scoredMember struct {
	score  uint64
	member membership.Member
}

func scoreMembers(id string, v *membership.View) []scoredMember {
	out := make([]scoredMember, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == membership.Gone {
			continue
		}
		out = append(out, scoredMember{xxhash.Sum64String(id + "/" + m.ID), m})
	}
	slices.SortFunc(out, func(a, b scoredMember) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.member.ID, b.member.ID)
	})
	return out
}

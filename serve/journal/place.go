// Package journal holds copies of generations that other entry VMs serve.
//
// The failure guarded against is the loss of an entry VM in mid-answer. A
// continuation made elsewhere must begin with exactly the text the caller
// already holds, so every token is copied to an entry VM in another zone before
// it is released (the output-commit problem; Strom and Yemini 1985). The holder
// also decides ownership: Adopt begins a new epoch, after which appends of the
// old owner are refused, so an owner that was only paused can release nothing
// that its successor does not have.
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
	// candidates is how many members may hold a copy. An owner that is one of
	// them has three others: its copy finds a new place while one holder is
	// gone and another is being replaced. Each costs a question when an answer
	// is looked for.
	candidates = 4
	// candidateZones is how many of them lie in zones of their own.
	candidateZones = 3
)

const (
	// groups is the number of journal groups of one owner. One holder for all of
	// an owner's answers would make the fewest messages, but then some daemons
	// hold the copies of five owners and others of none; with four groups each
	// the largest share falls to about half that (docs/design/21-journal.md).
	groups = 4
	// groupDigits is the length of a group's name in hexadecimal digits.
	groupDigits = 8
)

// GroupName returns the name of one of the owner's journal groups, chosen by pick.
func GroupName(owner string, pick byte) string {
	h := xxhash.Sum64String(owner + "#" + strconv.Itoa(int(pick)%groups))
	return fmt.Sprintf("%016x", h)[:groupDigits]
}

// placement is the part of a generation's id that decides where its copy is:
// the group for an id that names one, else the whole id.
func placement(id string) string {
	if strings.HasPrefix(id, "g") && len(id) > groupDigits {
		return id[:1+groupDigits]
	}
	return id
}

// Candidates returns the members that may hold the copy of a generation, the
// usual one first: in the order of rendezvous hashing the first of each of three
// zones, so that for an owner in any zone one of the first two lies in another,
// and then any. Every entry VM computes nearly the same list, which is how a
// copy is found without a directory.
func Candidates(id string, v *membership.View) []membership.Member {
	scored := score(placement(id), v)
	out := make([]membership.Member, 0, candidates)
	for _, s := range scored {
		sameZone := func(m membership.Member) bool { return m.Zone == s.member.Zone }
		if len(out) < candidateZones && !slices.ContainsFunc(out, sameZone) {
			out = append(out, s.member)
		}
	}
	for _, s := range scored {
		same := func(m membership.Member) bool { return m.ID == s.member.ID }
		if len(out) < candidates && !slices.ContainsFunc(out, same) {
			out = append(out, s.member)
		}
	}
	return out
}

// PickHolder returns the member that should hold the copy of a generation served by
// v.Self, leaving out those that exclude names; nil names nobody. ok is false where no member is fit.
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

func score(id string, v *membership.View) []scoredMember {
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

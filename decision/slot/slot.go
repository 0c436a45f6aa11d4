// Package slot decides which entry VM binds an idempotency key, and which one
// repairs that choice when entry VMs come and go.
//
// Load pattern: at full size 8,200 calls a second, any share of which may not
// be repeated, with keys chosen freely by callers and copies of one key at
// several entry VMs at once. Without a rule that leads every copy to the same
// place each call would need its own write to the platform's store, which
// takes a few hundred a second and nothing during an outage.
//
// Keys hash to Count slots. A slot has an owner, which alone dispatches its
// keys, and a witness in another zone, without whose consent the owner
// dispatches nothing. Only the pair of a slot is agreed through the store.
package slot

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Count is the number of slots. 1,024 give each of 390 daemons two or three to
// own, and the value that lists them stays under a tenth of what the store
// holds in one key. It can't change while any key is remembered.
const Count = 1024

// Key identifies a call within the system: the first half of a SHA-256 over
// account, service and the caller's key. 128 bits make an accidental collision
// among the keys of a retention time negligible.
type Key [16]byte

// KeyOf returns the Key of a caller's idempotency key. Lengths are hashed too,
// so that no two different triples give the same input.
func KeyOf(account, service, key string) Key {
	h := sha256.New()
	for _, part := range [...]string{account, service, key} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil))
}

// ForKey returns the slot of k, in [0, Count).
func ForKey(k Key) int { return int(binary.BigEndian.Uint16(k[:]) % Count) }

// Member is one incarnation of the daemon on an entry VM. The zero Member
// stands for nobody.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"`
	Zone        string `json:"zone"`
	PeerAddr    string `json:"peer"` // address other daemons connect to
}

// IsNone reports whether m stands for nobody.
func (m Member) IsNone() bool { return m.ID == "" }

// IsSameProcess reports whether m and o are the same process.
func (m Member) IsSameProcess(o Member) bool {
	return m.ID == o.ID && m.Incarnation == o.Incarnation
}

// Assignment says who serves a slot. Term grows by one with each change; term
// 0 means that the slot was never assigned, so no key of it was ever bound.
type Assignment struct {
	Slot    int
	Term    uint64
	Owner   Member
	Witness Member
	// ChangeID is unique to the attempt that wrote the assignment, so that a
	// writer whose confirmation was lost recognises its own write.
	ChangeID string
}

// Includes reports whether m is owner or witness.
func (a Assignment) Includes(m Member) bool {
	return a.Owner.IsSameProcess(m) || a.Witness.IsSameProcess(m)
}

// weigh is the rendezvous weight of a member for a slot. It uses the VM id and
// not the incarnation, so that a restarted daemon gets its slots back.
func weigh(idHash uint64, slot int) uint64 {
	x := idHash ^ (uint64(slot)+1)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ranker picks owners and witnesses among healthy members.
type ranker struct {
	members []Member
	hashes  []uint64
}

func newRanker(members []Member) *ranker {
	r := &ranker{members: members, hashes: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = xxhash.Sum64String(m.ID)
	}
	return r
}

// owner returns the member with the highest weight, or nobody.
func (r *ranker) owner(slot int) Member {
	var best Member
	var most uint64
	for i, m := range r.members {
		if w := weigh(r.hashes[i], slot); best.IsNone() || w > most {
			best, most = m, w
		}
	}
	return best
}

// witness returns the best member other than owner, or nobody: first one that
// is not to be avoided, then one in another zone, then the highest weight. When
// all are to be avoided the best of them is tried rather than none.
func (r *ranker) witness(slot int, owner Member, avoid map[string]bool) Member {
	var best Member
	var most uint64
	top := -1
	for i, m := range r.members {
		if m.ID == owner.ID {
			continue
		}
		class := 0
		if !avoid[m.ID] {
			class += 2
		}
		if m.Zone != owner.Zone {
			class++
		}
		if w := weigh(r.hashes[i], slot); class > top || (class == top && w > most) {
			best, most, top = m, w, class
		}
	}
	return best
}

// HighestRanked returns the n members of highest weight for a slot.
func HighestRanked(members []Member, i, n int) []Member {
	r := newRanker(append([]Member(nil), members...))
	var out []Member
	for len(out) < n && len(out) < len(members) {
		best := r.owner(i)
		out = append(out, best)
		r = r.without(best.ID)
	}
	return out
}

func (r *ranker) without(id string) *ranker {
	var rest []Member
	for _, m := range r.members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return newRanker(rest)
}

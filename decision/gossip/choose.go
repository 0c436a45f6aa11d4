package gossip

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In a small fleet several rings name the same successor. Further rings then
// bring the neighbours to fewNeighbours, as far as there are members.
const (
	fewNeighbours = 4
	maxRings      = 12
)

// Neighbours returns the ids this daemon watches: its successor on each ring,
// without repetition. The slice is valid until the next change.
func (t *Table) Neighbours() []string {
	if t.ringsAt == t.version && t.ringsAt != 0 {
		return t.rings
	}
	t.rings = t.rings[:0]
	for ring := range t.cfg.ZoneRings {
		t.follow("z"+strconv.Itoa(ring), t.self.rec.Zone)
	}
	for ring := range t.cfg.GlobalRings {
		t.follow("g"+strconv.Itoa(ring), "")
	}
	for ring := t.cfg.GlobalRings; len(t.rings) < fewNeighbours && ring < maxRings; ring++ {
		t.follow("g"+strconv.Itoa(ring), "")
	}
	t.ringsAt = t.version
	return t.rings
}

// follow adds this daemon's successor on a ring: the member with the next
// larger hash, or the smallest of all. Suspects stay on the ring: they are
// probed on, and their refutations heard.
func (t *Table) follow(ring, zone string) {
	own := xxhash.Sum64String(ring + "\x00" + t.self.rec.ID)
	var next, first string
	var nextHash, firstHash uint64
	for id, m := range t.members {
		if m == t.self || m.rec.State == Gone || (zone != "" && m.rec.Zone != zone) {
			continue
		}
		h := xxhash.Sum64String(ring + "\x00" + id)
		if first == "" || h < firstHash {
			first, firstHash = id, h
		}
		if h > own && (next == "" || h < nextHash) {
			next, nextHash = id, h
		}
	}
	if next == "" {
		next = first
	}
	if next != "" && !slices.Contains(t.rings, next) {
		t.rings = append(t.rings, next)
	}
}

// ExchangeTargets returns whom to exchange with in this round: one neighbour in turn
// and a VM that the list shows but that is not believed alive. The latter is
// how a daemon joins and how the parts of a healed partition find each other;
// it is tried every StrayEvery rounds, or each round while less than half of
// the listed VMs are known.
func (t *Table) ExchangeTargets() []Record {
	t.round++
	var out []Record
	if n := t.Neighbours(); len(n) > 0 {
		t.turn = (t.turn + 1) % len(n)
		out = append(out, t.members[n[t.turn]].rec)
	}
	if len(out) > 0 && t.round%t.cfg.ReconnectRounds != 0 && !t.ignorant() {
		return out
	}
	if stray, ok := t.stray(); ok {
		out = append(out, stray)
	}
	return out
}

// stray picks one listed VM that is unknown or gone here, at random.
func (t *Table) stray() (Record, bool) {
	var pick Record
	seen := 0
	for _, row := range t.listed {
		m, known := t.members[row.ID]
		if row.ID == t.self.rec.ID || (known && m.rec.State != Gone) {
			continue
		}
		seen++
		if t.rng.IntN(seen) == 0 {
			pick = Record{ID: row.ID, Zone: row.Zone, Region: row.Region, PeerAddr: row.PeerAddr, State: Gone}
		}
	}
	return pick, seen > 0
}

// FanoutTargets returns the members that are told of news at once.
func (t *Table) FanoutTargets() []Record { return t.pick(t.cfg.Fanout, "") }

// IndirectProbers returns the members that are asked to repeat a probe of target.
func (t *Table) IndirectProbers(target string) []Record { return t.pick(t.cfg.IndirectProbes, target) }

// pick returns up to n neighbours, then other members at random, that are
// alive and not except.
func (t *Table) pick(n int, except string) []Record {
	var out []Record
	near := slices.Clone(t.Neighbours())
	t.rng.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	for _, id := range near {
		m := t.members[id]
		if len(out) < n && id != except && m.rec.State == Alive {
			out = append(out, m.rec)
		}
	}
	if len(out) == n {
		return out
	}
	rest := t.Members()
	t.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for _, rec := range rest {
		if len(out) < n && rec.ID != except && rec.ID != t.self.rec.ID && rec.State == Alive && !slices.Contains(near, rec.ID) {
			out = append(out, rec)
		}
	}
	return out
}

// Updates returns the records to pass on with the next exchange, those passed
// on least first, and counts them as passed on.
func (t *Table) Updates() []Record {
	var due []*member
	for _, m := range t.members {
		if m.sends > 0 && m != t.self {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		if a.sends != b.sends {
			return b.sends - a.sends
		}
		return byID(a.rec, b.rec)
	})
	if len(due) > t.cfg.MaxUpdates {
		due = due[:t.cfg.MaxUpdates]
	}
	out := make([]Record, len(due))
	for i, m := range due {
		m.sends--
		out[i] = m.rec
	}
	return out
}

// RecordInSync records that an exchange found both tables equal. Where tables agree
// everybody is likely to know, so what is still to be passed on is halved.
// After 390 daemons start together the rest would otherwise go on for minutes,
// at several times the traffic of a steady state.
func (t *Table) RecordInSync() {
	for _, m := range t.members {
		m.sends /= 2
	}
}

// RootHash returns a hash over the whole table; equal tables have equal roots.
func (t *Table) RootHash() uint64 {
	var root uint64
	for _, b := range t.buckets {
		root ^= b
	}
	return root
}

// BucketHashes returns one hash for each part of the table.
func (t *Table) BucketHashes() [Buckets]uint64 { return t.buckets }

// maxDiffer bounds the parts repaired at once to a few kilobytes.
const maxDiffer = 4

// BucketsToSync returns the parts in which this table differs from the hashes of
// another and that are to be repaired now, and counts the repair as made.
// Passing news makes tables differ for moments, and comparing each time would
// cost more than the news: a repair is due every SyncEvery and takes four
// parts from a random one on. A daemon that knows less than half of the listed
// VMs, because it joins or a partition heals, takes all parts each Interval.
func (t *Table) BucketsToSync(hashes []uint64, now time.Time) []uint32 {
	limit, every := maxDiffer, t.cfg.SyncInterval
	if t.ignorant() {
		limit, every = Buckets, t.cfg.ProbeInterval
	}
	if len(hashes) != Buckets || (!t.lastSync.IsZero() && now.Sub(t.lastSync) < every) {
		return nil
	}
	t.lastSync = now
	var out []uint32
	start := t.rng.IntN(Buckets)
	for i := range Buckets {
		b := (start + i) % Buckets
		if t.buckets[b] != hashes[b] && len(out) < limit {
			out = append(out, uint32(b))
		}
	}
	return out
}

// ignorant reports whether less than half of the listed VMs are known.
func (t *Table) ignorant() bool {
	known := 0
	for _, m := range t.members {
		if m.rec.State != Gone {
			known++
		}
	}
	return 2*known < len(t.listed)
}

// RecordsIn returns all records in the given parts, those of gone members included.
func (t *Table) RecordsIn(parts []uint32) []Record {
	var out []Record
	for id, m := range t.members {
		if slices.Contains(parts, uint32(bucketOf(id))) {
			out = append(out, m.rec)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

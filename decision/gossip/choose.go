package gossip

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In a small fleet several rings have the same successor. Additional rings then bring the
// number of neighbours to minNeighbours, as far as there are members.
const (
	minNeighbours = 4
	maxRings      = 12
)

// Neighbours returns the ids of the members that this daemon watches: its successor on each
// ring, without duplicates. The slice is valid until the next change.
func (t *Table) Neighbours() []string {
	if t.neighboursVersion == t.version && t.neighboursVersion != 0 {
		return t.neighbours
	}
	t.neighbours = t.neighbours[:0]
	for ring := range t.cfg.ZoneRings {
		t.addSuccessor("z"+strconv.Itoa(ring), t.self.rec.Zone)
	}
	for ring := range t.cfg.GlobalRings {
		t.addSuccessor("g"+strconv.Itoa(ring), "")
	}
	for ring := t.cfg.GlobalRings; len(t.neighbours) < minNeighbours && ring < maxRings; ring++ {
		t.addSuccessor("g"+strconv.Itoa(ring), "")
	}
	t.neighboursVersion = t.version
	return t.neighbours
}

// addSuccessor adds this daemon's successor on a ring to the neighbours: the member with the
// next larger hash or, if there is none, the smallest. Suspects stay on the ring, so that they
// are still probed and their refutations are received.
func (t *Table) addSuccessor(ring, zone string) {
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
	if next != "" && !slices.Contains(t.neighbours, next) {
		t.neighbours = append(t.neighbours, next)
	}
}

// ExchangeTargets returns the members to contact in this round: one neighbour in turn and, in
// some rounds, a listed VM that is unknown or gone here. The latter is how a daemon joins and
// how the sides of a healed partition find each other; it is tried every ReconnectRounds
// rounds, or in each round while less than half of the listed VMs are known.
func (t *Table) ExchangeTargets() []Record {
	t.round++
	var out []Record
	if n := t.Neighbours(); len(n) > 0 {
		t.neighbourIndex = (t.neighbourIndex + 1) % len(n)
		out = append(out, t.members[n[t.neighbourIndex]].rec)
	}
	if len(out) > 0 && t.round%t.cfg.ReconnectRounds != 0 && !t.knowsLessThanHalf() {
		return out
	}
	if unreached, ok := t.randomUnreachedVM(); ok {
		out = append(out, unreached)
	}
	return out
}

// randomUnreachedVM picks a random listed VM that is unknown or gone here.
func (t *Table) randomUnreachedVM() (Record, bool) {
	var pick Record
	candidates := 0
	for _, row := range t.vmList {
		m, known := t.members[row.ID]
		if row.ID == t.self.rec.ID || (known && m.rec.State != Gone) {
			continue
		}
		candidates++
		if t.rng.IntN(candidates) == 0 {
			pick = Record{ID: row.ID, Zone: row.Zone, Region: row.Region, PeerAddr: row.PeerAddr, State: Gone}
		}
	}
	return pick, candidates > 0
}

// FanoutTargets returns the members that are sent an update at once.
func (t *Table) FanoutTargets() []Record { return t.pick(t.cfg.Fanout, "") }

// IndirectProbers returns the members that are asked to repeat a probe of target.
func (t *Table) IndirectProbers(target string) []Record { return t.pick(t.cfg.IndirectProbes, target) }

// pick returns up to n alive members other than except: neighbours first, then other
// members at random.
func (t *Table) pick(n int, except string) []Record {
	var out []Record
	neighbours := slices.Clone(t.Neighbours())
	t.rng.Shuffle(len(neighbours), func(i, j int) { neighbours[i], neighbours[j] = neighbours[j], neighbours[i] })
	for _, id := range neighbours {
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
		if len(out) < n && rec.ID != except && rec.ID != t.self.rec.ID && rec.State == Alive && !slices.Contains(neighbours, rec.ID) {
			out = append(out, rec)
		}
	}
	return out
}

// Updates returns the records to pass on with the next exchange, those sent least often first,
// and counts them as sent.
func (t *Table) Updates() []Record {
	var due []*member
	for _, m := range t.members {
		if m.sendsLeft > 0 && m != t.self {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return byID(a.rec, b.rec)
	})
	if len(due) > t.cfg.MaxUpdates {
		due = due[:t.cfg.MaxUpdates]
	}
	out := make([]Record, len(due))
	for i, m := range due {
		m.sendsLeft--
		out[i] = m.rec
	}
	return out
}

// RecordInSync records that an exchange found both tables equal. Where tables are equal most
// members are likely to know the pending updates, so their remaining transmissions are halved.
// After 390 daemons start together the rest would otherwise continue for minutes, at several
// times the traffic of the steady state.
func (t *Table) RecordInSync() {
	for _, m := range t.members {
		m.sendsLeft /= 2
	}
}

// RootHash returns a hash over the whole table; equal tables have equal root hashes.
func (t *Table) RootHash() uint64 {
	var root uint64
	for _, b := range t.buckets {
		root ^= b
	}
	return root
}

// BucketHashes returns one hash for each bucket.
func (t *Table) BucketHashes() [Buckets]uint64 { return t.buckets }

// maxSyncBuckets bounds the buckets repaired at once, which limits a repair to a few
// kilobytes.
const maxSyncBuckets = 4

// BucketsToSync returns the buckets that are to be repaired now because this table differs
// there from the hashes of another, and counts the repair as made. Tables differ briefly while
// updates spread, and repairing them in each exchange would cost more than the updates: a
// repair is due every SyncInterval and covers up to maxSyncBuckets buckets from a random one
// on. A daemon that knows less than half of the listed VMs, because it joins or a partition
// heals, repairs all buckets once per ProbeInterval.
func (t *Table) BucketsToSync(hashes []uint64, now time.Time) []uint32 {
	maxBuckets, interval := maxSyncBuckets, t.cfg.SyncInterval
	if t.knowsLessThanHalf() {
		maxBuckets, interval = Buckets, t.cfg.ProbeInterval
	}
	if len(hashes) != Buckets || (!t.lastSync.IsZero() && now.Sub(t.lastSync) < interval) {
		return nil
	}
	t.lastSync = now
	var out []uint32
	start := t.rng.IntN(Buckets)
	for i := range Buckets {
		b := (start + i) % Buckets
		if t.buckets[b] != hashes[b] && len(out) < maxBuckets {
			out = append(out, uint32(b))
		}
	}
	return out
}

// knowsLessThanHalf reports whether less than half of the listed VMs are known.
func (t *Table) knowsLessThanHalf() bool {
	known := 0
	for _, m := range t.members {
		if m.rec.State != Gone {
			known++
		}
	}
	return 2*known < len(t.vmList)
}

// RecordsIn returns all records in the given buckets, including those of gone members.
func (t *Table) RecordsIn(buckets []uint32) []Record {
	var out []Record
	for id, m := range t.members {
		if slices.Contains(buckets, uint32(bucketOf(id))) {
			out = append(out, m.rec)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

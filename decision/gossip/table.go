package gossip

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts in which two tables are compared: at 390
// members a part holds twelve, about a kilobyte.
const Buckets = 32

// spread scales how often an update is passed on: spread*log2(members) times.
// The burst that follows news uses up about ten of them; those left let the
// next regular exchanges reach whoever the burst missed, before the comparison
// of tables has to.
const spread = 4

// member is a record with what only this daemon knows of it.
type member struct {
	rec      Record
	deadline time.Time // of a suspicion
	goneAt   time.Time
	sends    int // how often the record is still to be passed on
	leaving  bool
	absent   int // reads of the list in a row without it
}

// Table is one daemon's belief. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	self    *member
	members map[string]*member // includes self
	listed  []ListedVM
	buckets [Buckets]uint64
	version uint64

	rings    []string // neighbours, kept while ringsAt == version
	ringsAt  uint64
	turn     int
	round    int
	lastTick time.Time
	lastSync time.Time
}

// New returns a Table that knows only this daemon.
func New(self Record, cfg Config, rng *rand.Rand) *Table {
	t := &Table{cfg: cfg, rng: rng, members: make(map[string]*member)}
	t.self = &member{}
	t.members[self.ID] = t.self
	t.put(t.self, self)
	return t
}

// Self returns what this daemon claims of itself.
func (t *Table) Self() Record { return t.self.rec }

// Version grows with every change of belief.
func (t *Table) Version() uint64 { return t.version }

// Get returns the record of a member, also of one that is gone.
func (t *Table) Get(id string) (Record, bool) {
	m, ok := t.members[id]
	if !ok {
		return Record{}, false
	}
	return m.rec, true
}

// Members returns all members but those gone, ordered by id. A member that
// the VM list shows as leaving counts as leaving here.
func (t *Table) Members() []Record {
	out := make([]Record, 0, len(t.members))
	for _, m := range t.members {
		if m.rec.State == Gone {
			continue
		}
		rec := m.rec
		if m.leaving {
			rec.State = Leaving
		}
		out = append(out, rec)
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b Record) int { return strings.Compare(a.ID, b.ID) }

// put stores a record, keeps the bucket's hash and queues the news.
func (t *Table) put(m *member, rec Record) {
	b := bucketOf(rec.ID)
	t.buckets[b] ^= m.rec.hash() ^ rec.hash()
	m.rec = rec
	m.sends = spread * bits.Len(uint(len(t.members)))
	t.version++
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Merge takes records from another daemon and returns what changed here.
func (t *Table) Merge(records []Record, now time.Time) []Change {
	var changes []Change
	for _, rec := range records {
		if rec.ID == "" || rec.State > Gone {
			continue
		}
		if c, ok := t.mergeOne(rec, now); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func (t *Table) mergeOne(rec Record, now time.Time) (Change, bool) {
	if rec.ID == t.self.rec.ID {
		return t.refute(rec)
	}
	m, known := t.members[rec.ID]
	if !known {
		if rec.State == Gone {
			return Change{}, false // no need to learn of the dead
		}
		m = &member{rec: Record{ID: rec.ID, State: Gone}}
		t.members[rec.ID] = m
	} else if !rec.Supersedes(m.rec) {
		return Change{}, false
	}
	reason := ReasonGossip
	if !known {
		reason = ReasonJoined
	}
	return t.set(m, rec, reason, now), true
}

// set changes a member's record and its deadlines.
func (t *Table) set(m *member, rec Record, reason Reason, now time.Time) Change {
	from := m.rec.State
	t.put(m, rec)
	switch rec.State {
	case Suspect:
		m.deadline = now.Add(t.cfg.SuspicionTimeout)
	case Gone:
		m.goneAt = now
	}
	return Change{Record: rec, From: from, Reason: reason}
}

// refute answers a claim about this daemon itself.
//
// The failure: a daemon was paused or cut off, others gave it up, and it comes
// back. It shows as a daemon that serves callers but is missing from every
// answer and view. A claim of the same incarnation is contradicted with a
// higher refutation, which supersedes the claim wherever it has got to. A
// claim of a newer incarnation means that the VM id now belongs to another
// process: that one is right, and this one says no more.
func (t *Table) refute(claim Record) (Change, bool) {
	own := t.self.rec
	if claim.Incarnation > own.Incarnation {
		return Change{Record: claim, From: own.State, Reason: ReasonSuperseded}, true
	}
	if !claim.Supersedes(own) {
		return Change{}, false
	}
	own.Refutation = claim.Refutation + 1
	t.put(t.self, own)
	return Change{Record: own, From: claim.State, Reason: ReasonRefuted}, true
}

// SetCallerAddr says where callers reach this daemon from now on.
func (t *Table) SetCallerAddr(caller string) Change {
	rec := t.self.rec
	rec.CallerAddr = caller
	rec.Refutation++ // newer than what others hold of this incarnation
	t.put(t.self, rec)
	return Change{Record: rec, From: rec.State, Reason: ReasonServing}
}

// Leave marks this daemon as leaving or, in the last message it sends, gone.
func (t *Table) Leave(state State) Change {
	rec := t.self.rec
	from := rec.State
	rec.State = state
	t.put(t.self, rec)
	return Change{Record: rec, From: from, Reason: ReasonLeaving}
}

// RecordProbeFailure records that neither this daemon nor its helpers reached id at
// the incarnation and refutation of rec. A leaving member is given up at once:
// it had said goodbye.
func (t *Table) RecordProbeFailure(rec Record, now time.Time) (Change, bool) {
	m, ok := t.members[rec.ID]
	if !ok || m == t.self || m.rec.Incarnation != rec.Incarnation || m.rec.Refutation != rec.Refutation {
		return Change{}, false
	}
	next := m.rec
	switch m.rec.State {
	case Alive:
		next.State = Suspect
	case Leaving:
		next.State = Gone
	default:
		return Change{}, false
	}
	return t.set(m, next, ReasonProbeFailed, now), true
}

// Tick advances the time and returns suspicions that became certain.
//
// The failure it guards against: this daemon itself was paused. All its
// deadlines passed meanwhile without its having listened, and it would give up
// members whose contradictions wait in its sockets. After a gap of PauseAfter
// rounds every suspicion therefore starts anew.
func (t *Table) Tick(now time.Time) []Change {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > time.Duration(t.cfg.PauseRounds)*t.cfg.ProbeInterval
	t.lastTick = now
	var changes []Change
	for id, m := range t.members {
		switch m.rec.State {
		case Suspect:
			if c, ok := t.judge(m, paused, now); ok {
				changes = append(changes, c)
			}
		case Gone:
			if now.Sub(m.goneAt) > t.cfg.GoneRetention {
				delete(t.members, id)
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return byID(a.Record, b.Record) })
	return changes
}

func (t *Table) judge(m *member, paused bool, now time.Time) (Change, bool) {
	if paused {
		m.deadline = now.Add(t.cfg.SuspicionTimeout)
		return Change{}, false
	}
	reason := ReasonSuspicionTimeout
	if m.absent >= 2 {
		reason = ReasonUnlisted
	} else if now.Before(m.deadline) {
		return Change{}, false
	}
	rec := m.rec
	rec.State = Gone
	return t.set(m, rec, reason, now), true
}

// SetVMList takes the entry VMs of the platform's list. The list lags both
// ways, so it only adds: whom to try, who leaves, and, once two reads lack a
// VM, that a suspect needs no more time.
func (t *Table) SetVMList(rows []ListedVM) {
	t.listed = rows
	byRow := make(map[string]ListedVM, len(rows))
	for _, r := range rows {
		byRow[r.ID] = r
	}
	for id, m := range t.members {
		row, ok := byRow[id]
		if ok {
			m.absent = 0
		} else {
			m.absent++
		}
		if leaving := ok && row.Leaving; leaving != m.leaving {
			m.leaving = leaving
			t.version++
		}
	}
}

package gossip

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets in which two tables are compared: at 390 members a bucket
// holds twelve records, about a kilobyte.
const Buckets = 32

// retransmitFactor scales how often an update is passed on: retransmitFactor*log2(members)
// times. The burst that follows an update uses about ten transmissions; with the rest, regular
// exchanges reach the members that the burst missed before the comparison of tables has to.
const retransmitFactor = 4

// member is a record and this daemon's own state about the member.
type member struct {
	rec               Record
	suspicionDeadline time.Time // of a suspicion
	goneAt            time.Time
	sendsLeft         int  // how often the record is still to be passed on
	listedLeaving     bool // the VM list shows the VM as leaving
	missedReads       int  // consecutive reads of the VM list without the VM
}

// Table is one daemon's view of the members. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	self    *member
	members map[string]*member // includes self
	vmList  []ListedVM
	buckets [Buckets]uint64
	version uint64

	neighbours        []string // valid while neighboursVersion == version
	neighboursVersion uint64
	neighbourIndex    int
	round             int
	lastTick          time.Time
	lastSync          time.Time
}

// New returns a Table that knows only this daemon.
func New(self Record, cfg Config, rng *rand.Rand) *Table {
	t := &Table{cfg: cfg, rng: rng, members: make(map[string]*member)}
	t.self = &member{}
	t.members[self.ID] = t.self
	t.store(t.self, self)
	return t
}

// Self returns this daemon's own record.
func (t *Table) Self() Record { return t.self.rec }

// Version grows with every change of the view.
func (t *Table) Version() uint64 { return t.version }

// Get returns the record of a member, also of one that is gone.
func (t *Table) Get(id string) (Record, bool) {
	m, ok := t.members[id]
	if !ok {
		return Record{}, false
	}
	return m.rec, true
}

// Members returns all members that are not gone, ordered by id. A member that the VM list
// shows as leaving has state Leaving here.
func (t *Table) Members() []Record {
	out := make([]Record, 0, len(t.members))
	for _, m := range t.members {
		if m.rec.State == Gone {
			continue
		}
		rec := m.rec
		if m.listedLeaving {
			rec.State = Leaving
		}
		out = append(out, rec)
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b Record) int { return strings.Compare(a.ID, b.ID) }

// store sets a member's record, updates the hash of its bucket and queues the record for
// sending.
func (t *Table) store(m *member, rec Record) {
	b := bucketOf(rec.ID)
	t.buckets[b] ^= m.rec.hash() ^ rec.hash()
	m.rec = rec
	m.sendsLeft = retransmitFactor * bits.Len(uint(len(t.members)))
	t.version++
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Merge applies records from another daemon and returns the resulting changes.
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
			return Change{}, false // a gone member that is unknown here needs no record
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
	return t.applyRecord(m, rec, reason, now), true
}

// applyRecord stores a member's new record and sets the deadlines of its state.
func (t *Table) applyRecord(m *member, rec Record, reason Reason, now time.Time) Change {
	from := m.rec.State
	t.store(m, rec)
	switch rec.State {
	case Suspect:
		m.suspicionDeadline = now.Add(t.cfg.SuspicionTimeout)
	case Gone:
		m.goneAt = now
	}
	return Change{Record: rec, From: from, Reason: reason}
}

// refute answers a claim about this daemon itself.
//
// After this daemon was paused or cut off, other members may have declared it gone; it would
// then serve callers but be missing from every answer and view. A claim about the same
// incarnation is refuted with a higher refutation number, which supersedes the claim wherever
// it has spread. A claim about a newer incarnation means that another process now runs under
// this VM id; that claim is right and is not refuted.
func (t *Table) refute(claim Record) (Change, bool) {
	own := t.self.rec
	if claim.Incarnation > own.Incarnation {
		return Change{Record: claim, From: own.State, Reason: ReasonSuperseded}, true
	}
	if !claim.Supersedes(own) {
		return Change{}, false
	}
	own.Refutation = claim.Refutation + 1
	t.store(t.self, own)
	return Change{Record: own, From: claim.State, Reason: ReasonRefuted}, true
}

// SetCallerAddr announces the address at which callers reach this daemon from now on.
func (t *Table) SetCallerAddr(addr string) Change {
	rec := t.self.rec
	rec.CallerAddr = addr
	rec.Refutation++ // newer than what other members hold of this incarnation
	t.store(t.self, rec)
	return Change{Record: rec, From: rec.State, Reason: ReasonServing}
}

// Leave marks this daemon as leaving or, in the last message that it sends, as gone.
func (t *Table) Leave(state State) Change {
	rec := t.self.rec
	from := rec.State
	rec.State = state
	t.store(t.self, rec)
	return Change{Record: rec, From: from, Reason: ReasonLeaving}
}

// RecordProbeFailure records that neither this daemon nor the indirect probers reached the
// member at the incarnation and refutation of rec. A leaving member is gone at once, because
// it announced that it would stop.
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
	return t.applyRecord(m, next, ReasonProbeFailed, now), true
}

// Tick advances the time and returns the suspects that are now gone.
//
// If this daemon itself was paused, all its suspicion deadlines may have passed while
// refutations wait unread in its sockets. After a gap of PauseRounds intervals every suspicion
// therefore starts anew.
func (t *Table) Tick(now time.Time) []Change {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > time.Duration(t.cfg.PauseRounds)*t.cfg.ProbeInterval
	t.lastTick = now
	var changes []Change
	for id, m := range t.members {
		switch m.rec.State {
		case Suspect:
			if c, ok := t.checkSuspicion(m, paused, now); ok {
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

// checkSuspicion declares a suspect gone once its suspicion has timed out, or once two
// consecutive reads of the VM list lacked it. After a pause of this daemon it restarts the
// suspicion instead.
func (t *Table) checkSuspicion(m *member, paused bool, now time.Time) (Change, bool) {
	if paused {
		m.suspicionDeadline = now.Add(t.cfg.SuspicionTimeout)
		return Change{}, false
	}
	reason := ReasonSuspicionTimeout
	if m.missedReads >= 2 {
		reason = ReasonUnlisted
	} else if now.Before(m.suspicionDeadline) {
		return Change{}, false
	}
	rec := m.rec
	rec.State = Gone
	return t.applyRecord(m, rec, reason, now), true
}

// SetVMList applies the entry VMs of the platform's list. The list lags both for new and for
// removed VMs, so it only adds information: which VMs to contact, which are leaving, and, once
// two consecutive reads lack a VM, that its suspicion need not run to its deadline.
func (t *Table) SetVMList(rows []ListedVM) {
	t.vmList = rows
	byRow := make(map[string]ListedVM, len(rows))
	for _, r := range rows {
		byRow[r.ID] = r
	}
	for id, m := range t.members {
		row, ok := byRow[id]
		if ok {
			m.missedReads = 0
		} else {
			m.missedReads++
		}
		if leaving := ok && row.Leaving; leaving != m.listedLeaving {
			m.listedLeaving = leaving
			t.version++
		}
	}
}

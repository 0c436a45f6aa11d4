package once

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/external/vmlist"
)

const (
	// unresponsivePeriod is how long a member that did not answer is chosen neither as a witness
	// nor as the writer of the roster.
	unresponsivePeriod = 10 * time.Second
	// vmListInterval is the least time between two reads of the platform's VM list. A VM counts
	// as gone only after it was absent for longer than maxVMListLag, the
	// largest lag of the list.
	vmListInterval = 10 * time.Second
	maxVMListLag   = time.Minute
)

// unresponsiveSet holds the members that recently failed to answer, or refused, as witnesses.
type unresponsiveSet struct {
	mu    sync.Mutex
	until map[string]time.Time
	// changes counts how often the set of unresponsive members changed.
	changes int
}

// add marks id as unresponsive and reports whether it was not marked already.
func (s *unresponsiveSet) add(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	known := now.Before(s.until[id])
	s.until[id] = now.Add(unresponsivePeriod)
	if !known {
		s.changes++
	}
	return !known
}

// clear removes a member that answered.
func (s *unresponsiveSet) clear(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.until[id]; ok {
		delete(s.until, id)
		s.changes++
	}
}

// ids returns the members that are unresponsive now, and a number that changes with this set.
func (s *unresponsiveSet) ids(now time.Time) (map[string]bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]bool, len(s.until))
	for id, until := range s.until {
		if now.Before(until) {
			out[id] = true
		} else {
			delete(s.until, id)
			s.changes++
		}
	}
	return out, s.changes
}

// slotHistory is what this daemon observed of each slot. Only Run uses it.
type slotHistory struct {
	now        time.Time
	stuckCount int
	slots      [slot.Count]struct {
		term       uint64
		termSeenAt time.Time // when term was first observed
		// notServingSince is when this daemon was first observed to own the slot without serving
		// it, or zero.
		notServingSince time.Time
	}
}

func (h *slotHistory) observe(i int, term uint64, active bool, now time.Time) {
	h.now = now
	s := &h.slots[i]
	if s.term != term {
		s.term, s.termSeenAt, s.notServingSince = term, now, time.Time{}
	}
	switch {
	case active:
		s.notServingSince = time.Time{}
	case s.notServingSince.IsZero():
		s.notServingSince = now
	}
}

// isStuck reports whether this daemon has owned the slot without serving it for longer than
// sealGrace.
func (h *slotHistory) isStuck(i int) bool {
	s := &h.slots[i]
	return !s.notServingSince.IsZero() && h.now.Sub(s.notServingSince) > sealGrace
}

// isStable reports whether the slot's assignment has not changed recently.
func (h *slotHistory) isStable(i int) bool { return h.now.Sub(h.slots[i].termSeenAt) > stableAfter }

// deathProofs collects proof that processes are permanently gone. A member's absence from the
// membership view is not enough to give up a slot's keys: owner and witness may be partitioned
// from the rest together and still serve callers on their side. Since binding a key needs both
// of them, proof of death of one suffices.
type deathProofs struct {
	mu          sync.Mutex
	lastRead    time.Time
	listed      map[string]bool
	absentSince map[string]time.Time // VM id -> when it was first found not to be listed
}

// refreshVMList reads the platform's VM list at most once per vmListInterval.
func (d *deathProofs) refreshVMList(ctx context.Context, source vmlist.Source, now time.Time) {
	if source == nil || now.Sub(d.lastRead) < vmListInterval {
		return
	}
	d.lastRead = now
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	vms, err := source.List(ctx)
	if err != nil {
		return
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = listed
	for id := range d.absentSince {
		if listed[id] {
			delete(d.absentSince, id)
		}
	}
}

// hasDeadMember reports whether the owner or the witness is certainly dead: its VM runs a newer
// incarnation, or the platform has not listed the VM for longer than maxVMListLag.
func (d *deathProofs) hasDeadMember(view *membership.View, a slot.Assignment) bool {
	return d.isDead(view, a.Owner) || d.isDead(view, a.Witness)
}

func (d *deathProofs) isDead(view *membership.View, m slot.Member) bool {
	if m.IsNone() {
		return false
	}
	if have, ok := view.Find(m.ID); ok {
		return have.Incarnation > m.Incarnation
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listed == nil || d.listed[m.ID] {
		return false
	}
	if d.absentSince == nil {
		d.absentSince = make(map[string]time.Time)
	}
	since, ok := d.absentSince[m.ID]
	if !ok {
		d.absentSince[m.ID] = time.Now()
		return false
	}
	return time.Since(since) > maxVMListLag
}

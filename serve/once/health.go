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
	// unresponsivePeriod keeps a member that did not answer from being chosen as witness.
	unresponsivePeriod = 10 * time.Second
	// vmListInterval and listLag: the platform's list is read seldom, and a VM counts
	// as gone only after it was absent for longer than the list lags.
	vmListInterval = 10 * time.Second
	maxVMListLag   = time.Minute
)

// unresponsiveSet remembers members that did not answer as witnesses.
type unresponsiveSet struct {
	mu    sync.Mutex
	until map[string]time.Time
	// changes counts how often the set of silent members changed.
	changes int
}

// add reports whether id was not known as silent.
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

// clear forgets a member that answered.
func (s *unresponsiveSet) clear(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.until[id]; ok {
		delete(s.until, id)
		s.changes++
	}
}

// ids returns the members silent now, and a number that differs whenever they do.
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

// slotHistory is what this daemon saw of each slot. Only Run uses it.
type slotHistory struct {
	now        time.Time
	stuckCount int
	slots      [slot.Count]struct {
		term    uint64
		changed time.Time // when term was first seen
		stopped time.Time // since when it has not been served here; zero if it is
	}
}

func (h *slotHistory) observe(i int, term uint64, active bool, now time.Time) {
	h.now = now
	s := &h.slots[i]
	if s.term != term {
		s.term, s.changed, s.stopped = term, now, time.Time{}
	}
	switch {
	case active:
		s.stopped = time.Time{}
	case s.stopped.IsZero():
		s.stopped = now
	}
}

// isStuck reports whether the slot has not been served here for a while.
func (h *slotHistory) isStuck(i int) bool {
	s := &h.slots[i]
	return !s.stopped.IsZero() && h.now.Sub(s.stopped) > sealGrace
}

// isStable reports whether the slot did not change hands lately.
func (h *slotHistory) isStable(i int) bool { return h.now.Sub(h.slots[i].changed) > minStablePeriod }

// deathProofs collects proof that processes are gone for good. What membership
// believes is not enough to give up a slot's keys: both of the pair may be cut
// off together and still serve callers on their side. But since a key needs
// both of them, proof for one suffices.
type deathProofs struct {
	mu          sync.Mutex
	lastRead    time.Time
	listed      map[string]bool
	absentSince map[string]time.Time // VM id -> first time it was not listed
}

// refreshVMList reads the platform's list now and then.
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

// hasDeadMember reports whether one of the pair is certainly dead: its VM runs a newer
// process, or the platform has not listed the VM for longer than the list lags.
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

// Package roster stores, in one value of the platform's store, which entry VMs are the owner and the
// witness of each slot of idempotency keys.
//
// The value changes only when entry VMs join, leave or fail, never with a call. Every change is a
// compare-and-swap, so if two daemons both conclude that they should own a slot, only one succeeds.
// Daemons learn of changes from each other and poll the store at a low rate. A stale copy does no
// harm, because a member that no longer serves a slot answers so.
package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// Key is the store key of the roster.
const Key = "/mallowwind/roster"

// PollIntervalPerMember times the number of members is the mean poll interval of a daemon, but not
// less than minPollInterval. All daemons together thus read the value once per second at any fleet
// size, which costs each of 390 daemons about 160 bytes per second. Polling only finds changes that
// were not passed on otherwise: the members of a pair learn of changes from each other, and the
// daemons that serve callers learn of them from the members that they call.
const PollIntervalPerMember = time.Second

const (
	minPollInterval = 2 * time.Second
	// minRefreshInterval limits the reads that Refresh makes when calls suggest that the copy is
	// stale.
	minRefreshInterval = 200 * time.Millisecond
	// storeTimeout bounds one store call.
	storeTimeout  = 2 * time.Second
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// Manager holds this daemon's copy of the roster. It is safe for concurrent use.
type Manager struct {
	store   store.Store
	members membership.Source
	log     *event.Log

	mu       sync.RWMutex
	table    *[slot.Count]slot.Assignment
	everRead bool // the store was read at least once
	// snapshot is a copy of table, nil after a change until All is called.
	snapshot []slot.Assignment
	// onViolation is called when two assignments of a slot have the same term but differ.
	onViolation func(subject, detail string)

	batcher       batcher
	reads         singleflight.Group
	refreshedAt   time.Time // guarded by mu
	mergedVersion int64     // of the value merged last; guarded by mu
}

// NewManager returns a Manager with an empty copy.
func NewManager(s store.Store, members membership.Source, log *event.Log) *Manager {
	return &Manager{store: s, members: members, log: log, table: emptyTable()}
}

// OnViolation sets the function to call when two assignments of a slot have the same term but
// different change ids, which no sequence of failures may cause. Call it before Run.
func (m *Manager) OnViolation(f func(subject, detail string)) { m.onViolation = f }

// Run polls the store until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		_ = m.Refresh(ctx)
		wait := max(minPollInterval, time.Duration(len(m.members.Current().Members))*PollIntervalPerMember)
		wait = wait*3/4 + rand.N(wait/2)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Slot returns the newest known assignment of a slot. Term 0 means that the slot is unassigned or
// its assignment is unknown.
func (m *Manager) Slot(i int) slot.Assignment {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table[i]
}

// All returns all assignments, indexed by slot, and whether the store was ever read. The slice is
// shared and must not be modified; it stays the same until an assignment changes.
func (m *Manager) All() ([]slot.Assignment, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot == nil {
		m.snapshot = append([]slot.Assignment(nil), m.table[:]...)
	}
	return m.snapshot, m.everRead
}

// MergeAssignment applies an assignment that the store accepted, as reported by a peer. It ignores
// assignments older than the known one.
func (m *Manager) MergeAssignment(a slot.Assignment) {
	if a.Slot < 0 || a.Slot >= slot.Count {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(a)
}

// merge keeps the assignment with the higher term. The caller holds mu.
func (m *Manager) merge(a slot.Assignment) {
	have := &m.table[a.Slot]
	if a.Term == have.Term && a.ChangeID != have.ChangeID && m.onViolation != nil {
		m.onViolation(fmt.Sprintf("slot %d term %d", a.Slot, a.Term), have.ChangeID+" and "+a.ChangeID)
	}
	if a.Term > have.Term {
		*have = a
		m.snapshot = nil
	}
}

// Refresh reads the store unless it was read within minRefreshInterval. Concurrent calls share one
// read, so that they do not queue up when the store is slow.
func (m *Manager) Refresh(ctx context.Context) error {
	if m.isFresh() {
		return nil
	}
	result := m.reads.DoChan(Key, func() (any, error) {
		_, _, err := m.read(context.WithoutCancel(ctx))
		return nil, err
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case r := <-result:
		return r.Err
	}
}

func (m *Manager) isFresh() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.everRead && time.Since(m.refreshedAt) < minRefreshInterval
}

// read merges the stored table into the copy, and returns the merged table and the version of the
// stored value.
func (m *Manager) read(ctx context.Context) (*[slot.Count]slot.Assignment, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, err := m.store.Get(ctx, Key)
	stored := emptyTable()
	switch {
	case errors.Is(err, store.ErrNotFound) && m.hasAssignments():
		return nil, 0, errRosterMissing
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return nil, 0, errors.Wrap(err, "reading the roster")
	case m.isMerged(kv.Version):
		stored = nil
	default:
		if stored, err = decode(kv.Value); err != nil {
			return nil, 0, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if stored != nil {
		for _, a := range stored {
			m.merge(a)
		}
	}
	m.everRead, m.refreshedAt, m.mergedVersion = true, time.Now(), kv.Version
	merged := *m.table
	return &merged, kv.Version, nil
}

// errRosterMissing is returned if the store has lost the roster, by an operator's mistake or a
// restored backup. Writing this daemon's copy back could reinstate pairs that have been replaced
// while their successors still serve, and the same key could run at both.
var errRosterMissing = errors.New("the store has no roster although slots were assigned")

// hasAssignments reports whether any slot is known to be assigned.
func (m *Manager) hasAssignments() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.ContainsFunc(m.table[:], func(a slot.Assignment) bool { return a.Term > 0 })
}

// isMerged reports whether the stored value of this version has been merged into the copy; such a
// value is not decoded again.
func (m *Manager) isMerged(version int64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.everRead && m.mergedVersion == version
}

// Commit proposes assignments, each for the term after the newest one, and returns those that the
// store accepted. On an error the outcome of each is unknown until a later Refresh.
//
// The answer to a write can be lost although the write took effect, and the write can also take
// effect after a read that did not show it yet. Commit therefore concludes nothing from an unknown
// outcome: it reads again and, unless its change ids are in the table, repeats the compare-and-swap
// at the version that it read. A delayed first write then either appears in that read or fails
// because of the second write.
func (m *Manager) Commit(ctx context.Context, proposals []slot.Assignment) ([]slot.Assignment, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		table, version, err := m.read(ctx)
		if err != nil {
			return nil, err
		}
		accepted, open := splitProposals(table, proposals)
		if len(open) == 0 {
			return accepted, nil
		}
		err = m.writeProposals(ctx, table, version, open)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return nil, err
		}
		if err == nil {
			for _, a := range open {
				m.MergeAssignment(a)
			}
			return append(accepted, open...), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(delay/2 + rand.N(delay)):
		}
	}
}

// splitProposals returns the proposals that the table already contains and those that can still be
// written; for the slots of all others, another daemon's proposal was accepted.
func splitProposals(table *[slot.Count]slot.Assignment, proposals []slot.Assignment) (accepted, open []slot.Assignment) {
	for _, p := range proposals {
		have := table[p.Slot]
		switch {
		case have.Term == p.Term && have.ChangeID == p.ChangeID:
			accepted = append(accepted, p)
		case have.Term+1 == p.Term:
			open = append(open, p)
		}
	}
	return accepted, open
}

// writeProposals applies the proposals to the table and writes it if the stored value still has the
// given version.
func (m *Manager) writeProposals(ctx context.Context, table *[slot.Count]slot.Assignment, version int64, proposals []slot.Assignment) error {
	for _, p := range proposals {
		table[p.Slot] = p
	}
	value, err := encode(table)
	if err != nil {
		return errors.Wrap(err, "encoding the roster")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = m.store.CompareAndSwap(ctx, Key, version, value, 0)
	if err != nil {
		m.log.Emit(event.RosterWriteFailed, len(proposals), err.Error())
		return errors.Wrap(err, "writing the roster")
	}
	m.log.Emit(event.RosterWritten, len(proposals), len(value))
	return nil
}

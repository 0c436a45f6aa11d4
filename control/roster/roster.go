// Package roster keeps, in one value of the platform's store, which entry VMs
// own and witness each slot of idempotency keys.
//
// The value changes only when entry VMs come, leave or die, never with a call.
// Every change is a compare-and-swap, so of two daemons that both believe they
// should own a slot one wins. Daemons learn changes from each other and poll
// the store slowly; a stale copy does no harm, because a member that no longer
// serves a slot says so.
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

// Key is where the store holds the roster.
const Key = "/mallowwind/roster"

// PollIntervalPerMember spreads polling so that all daemons together read the value
// once a second at any size of the fleet, which costs each of 390 daemons about
// 160 bytes a second. Polling only finds what nobody passed on: members of a
// pair hear of changes from each other, callers' daemons from those they ask.
const PollIntervalPerMember = time.Second

const (
	pollMin = 2 * time.Second
	// refreshGap bounds reads on suspicion, which calls may set off.
	refreshGap = 200 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	retryMin    = 5 * time.Millisecond
	retryMax    = 200 * time.Millisecond
)

// Manager holds this daemon's copy of the roster. It is safe for concurrent use.
type Manager struct {
	store   store.Store
	members membership.Source
	log     *event.Log

	mu    sync.RWMutex
	table *[slot.Count]slot.Assignment
	known bool // read from the store at least once
	// snapshot is a copy of table, built when asked for after a change.
	snapshot []slot.Assignment
	// violated is called when two assignments of one term differ.
	violated func(subject, detail string)

	gather    gatherer
	flight    singleflight.Group
	refreshed time.Time // guarded by mu
	version   int64     // of the value merged last; guarded by mu
}

// NewManager returns a Manager that knows nothing yet.
func NewManager(s store.Store, members membership.Source, log *event.Log) *Manager {
	return &Manager{store: s, members: members, log: log, table: empty()}
}

// OnViolation sets what is called when two assignments of one term differ,
// which no sequence of failures may bring about. Call it before Run.
func (m *Manager) OnViolation(f func(subject, detail string)) { m.violated = f }

// Run polls the store until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for {
		_ = m.Refresh(ctx)
		wait := max(pollMin, time.Duration(len(m.members.Current().Members))*PollIntervalPerMember)
		wait = wait*3/4 + rand.N(wait/2)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Slot returns the newest known assignment of a slot. Term 0 means unassigned
// or unknown.
func (m *Manager) Slot(i int) slot.Assignment {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table[i]
}

// All returns all assignments by slot, and whether the store was ever read. The
// slice is shared and immutable; it is the same one until an assignment changes.
func (m *Manager) All() ([]slot.Assignment, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot == nil {
		m.snapshot = append([]slot.Assignment(nil), m.table[:]...)
	}
	return m.snapshot, m.known
}

// MergeAssignment takes an assignment that the store accepted, from a peer. Older ones
// are ignored.
func (m *Manager) MergeAssignment(a slot.Assignment) {
	if a.Slot < 0 || a.Slot >= slot.Count {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(a)
}

// merge keeps the higher term. The caller holds mu.
func (m *Manager) merge(a slot.Assignment) {
	have := &m.table[a.Slot]
	if a.Term == have.Term && a.ChangeID != have.ChangeID && m.violated != nil {
		m.violated(fmt.Sprintf("slot %d term %d", a.Slot, a.Term), have.ChangeID+" and "+a.ChangeID)
	}
	if a.Term > have.Term {
		*have = a
		m.snapshot = nil
	}
}

// Refresh reads the store unless that was done a moment ago. Concurrent calls
// share one read, so that a slow store does not make them queue.
func (m *Manager) Refresh(ctx context.Context) error {
	if m.fresh() {
		return nil
	}
	result := m.flight.DoChan(Key, func() (any, error) {
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

func (m *Manager) fresh() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.known && time.Since(m.refreshed) < refreshGap
}

// read merges the stored table into the copy and returns the result with the
// version it was read at.
func (m *Manager) read(ctx context.Context) (*[slot.Count]slot.Assignment, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := m.store.Get(ctx, Key)
	stored := empty()
	switch {
	case errors.Is(err, store.ErrNotFound) && m.assigned():
		return nil, 0, errMissing
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return nil, 0, errors.Wrap(err, "reading the roster")
	case m.merged(kv.Version):
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
	m.known, m.refreshed, m.version = true, time.Now(), kv.Version
	merged := *m.table
	return &merged, kv.Version, nil
}

// errMissing guards against a store that lost the roster, by mistake or by a
// restored backup. Writing back what this daemon knows could name pairs that
// were replaced since, beside those that serve now, and keys could run at both.
var errMissing = errors.New("the store has no roster although slots were assigned")

// assigned reports whether any slot is known to have a pair.
func (m *Manager) assigned() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.ContainsFunc(m.table[:], func(a slot.Assignment) bool { return a.Term > 0 })
}

// merged reports whether the stored value of this version is in the copy, so
// that polling decodes only what changed.
func (m *Manager) merged(version int64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.known && m.version == version
}

// Commit proposes assignments, each for the term after the newest one, and
// returns those that the store accepted. On an error the outcome of each is
// open: a later Refresh shows it.
//
// A confirmation can be lost although the write took effect, and the write can
// also take effect after a read that did not show it yet. Therefore nothing is
// concluded from an unknown outcome: the loop reads again and, unless its
// change ids are there, repeats the compare-and-swap at the version it read. A
// delayed first write then either shows or has lost to the second.
func (m *Manager) Commit(ctx context.Context, proposals []slot.Assignment) ([]slot.Assignment, error) {
	for pause := retryMin; ; pause = min(2*pause, retryMax) {
		table, version, err := m.read(ctx)
		if err != nil {
			return nil, err
		}
		won, open := sift(table, proposals)
		if len(open) == 0 {
			return won, nil
		}
		err = m.swap(ctx, table, version, open)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return nil, err
		}
		if err == nil {
			for _, a := range open {
				m.MergeAssignment(a)
			}
			return append(won, open...), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
}

// sift splits proposals into those the table already shows and those still
// possible; the rest lost to another daemon.
func sift(table *[slot.Count]slot.Assignment, proposals []slot.Assignment) (won, open []slot.Assignment) {
	for _, p := range proposals {
		have := table[p.Slot]
		switch {
		case have.Term == p.Term && have.ChangeID == p.ChangeID:
			won = append(won, p)
		case have.Term+1 == p.Term:
			open = append(open, p)
		}
	}
	return won, open
}

// swap writes table with the proposals applied.
func (m *Manager) swap(ctx context.Context, table *[slot.Count]slot.Assignment, version int64, proposals []slot.Assignment) error {
	for _, p := range proposals {
		table[p.Slot] = p
	}
	value, err := encode(table)
	if err != nil {
		return errors.Wrap(err, "encoding the roster")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = m.store.CompareAndSwap(ctx, Key, version, value, 0)
	if err != nil {
		m.log.Emit(event.RosterWriteFailed, len(proposals), err.Error())
		return errors.Wrap(err, "writing the roster")
	}
	m.log.Emit(event.RosterWritten, len(proposals), len(value))
	return nil
}

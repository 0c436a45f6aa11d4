package roster

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/decision/slot"
)

const (
	// gatherFor is how long proposals are collected before they are written. The
	// daemons that repair the slots of a lost one notice it over some hundred
	// milliseconds; a slot waits this long more for its new owner.
	gatherFor = 150 * time.Millisecond
	// gatherLimit bounds the write of a group.
	gatherLimit = 4 * time.Second
)

// gatherer joins the proposals of many daemons into one write.
//
// The load pattern: after a loss every daemon proposes new pairs for a few
// slots, and all of them change one value by compare-and-swap. Each write makes
// all others fail and try again, so the writes grow faster than the daemons.
type gatherer struct {
	mu      sync.Mutex
	waiting []*group
	busy    bool // somebody collects
}

// group is the proposals of one caller.
type group struct {
	proposals []slot.Assignment
	done      chan error
}

// CommitBatched proposes assignments together with those of other callers and waits
// for the write. Slot tells afterwards what the store accepted; on an error the
// outcome is open.
func (m *Manager) CommitBatched(ctx context.Context, proposals []slot.Assignment) error {
	g := &group{proposals: proposals, done: make(chan error, 1)}
	m.gather.mu.Lock()
	m.gather.waiting = append(m.gather.waiting, g)
	first := !m.gather.busy
	m.gather.busy = true
	m.gather.mu.Unlock()
	if first {
		go m.writeGroups()
	}
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeGroups collects and writes until nothing waits.
func (m *Manager) writeGroups() {
	for {
		time.Sleep(gatherFor)
		groups := m.takeGroups()
		if len(groups) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), gatherLimit)
		_, err := m.Commit(ctx, join(groups))
		cancel()
		for _, g := range groups {
			g.done <- err
		}
	}
}

func (m *Manager) takeGroups() []*group {
	m.gather.mu.Lock()
	defer m.gather.mu.Unlock()
	groups := m.gather.waiting
	m.gather.waiting = nil
	m.gather.busy = len(groups) > 0
	return groups
}

// join puts the groups' proposals together, at most one for each slot: the
// first. Two in one write would overwrite each other, and both would seem to
// have been accepted.
func join(groups []*group) []slot.Assignment {
	var out []slot.Assignment
	taken := make(map[int]bool)
	for _, g := range groups {
		for _, p := range g.proposals {
			if !taken[p.Slot] {
				taken[p.Slot] = true
				out = append(out, p)
			}
		}
	}
	return out
}

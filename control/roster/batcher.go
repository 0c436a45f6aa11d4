package roster

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/decision/slot"
)

const (
	// batchDelay is how long proposals are collected before they are written. The
	// daemons that repair the slots of a lost one notice it over some hundred
	// milliseconds; a slot waits this long more for its new owner.
	batchDelay = 150 * time.Millisecond
	// batchWriteTimeout bounds the write of a group.
	batchWriteTimeout = 4 * time.Second
)

// batcher joins the proposals of many daemons into one write.
//
// The load pattern: after a loss every daemon proposes new pairs for a few
// slots, and all of them change one value by compare-and-swap. Each write makes
// all others fail and try again, so the writes grow faster than the daemons.
type batcher struct {
	mu      sync.Mutex
	pending []*proposalBatch
	running bool // somebody collects
}

// proposalBatch is the proposals of one caller.
type proposalBatch struct {
	proposals []slot.Assignment
	done      chan error
}

// CommitBatched proposes assignments together with those of other callers and waits
// for the write. Slot tells afterwards what the store accepted; on an error the
// outcome is open.
func (m *Manager) CommitBatched(ctx context.Context, proposals []slot.Assignment) error {
	g := &proposalBatch{proposals: proposals, done: make(chan error, 1)}
	m.batcher.mu.Lock()
	m.batcher.pending = append(m.batcher.pending, g)
	first := !m.batcher.running
	m.batcher.running = true
	m.batcher.mu.Unlock()
	if first {
		go m.writeBatches()
	}
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeBatches collects and writes until nothing waits.
func (m *Manager) writeBatches() {
	for {
		time.Sleep(batchDelay)
		groups := m.takePending()
		if len(groups) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchWriteTimeout)
		_, err := m.Commit(ctx, mergeProposals(groups))
		cancel()
		for _, g := range groups {
			g.done <- err
		}
	}
}

func (m *Manager) takePending() []*proposalBatch {
	m.batcher.mu.Lock()
	defer m.batcher.mu.Unlock()
	groups := m.batcher.pending
	m.batcher.pending = nil
	m.batcher.running = len(groups) > 0
	return groups
}

// mergeProposals puts the groups' proposals together, at most one for each slot: the
// first. Two in one write would overwrite each other, and both would seem to
// have been accepted.
func mergeProposals(groups []*proposalBatch) []slot.Assignment {
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

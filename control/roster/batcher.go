package roster

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/decision/slot"
)

const (
	// batchDelay is how long proposals are collected before they are written. The daemons that
	// reassign the slots of a lost daemon detect its loss within some hundred milliseconds of each
	// other. The delay adds to the time until a slot has its new owner.
	batchDelay = 150 * time.Millisecond
	// batchWriteTimeout bounds the write of a batch.
	batchWriteTimeout = 4 * time.Second
)

// batcher combines the proposals of many daemons into one write.
//
// After the loss of a daemon, every other daemon proposes new pairs for a few slots, and each
// proposal changes the same value by compare-and-swap. Each successful write makes all concurrent
// ones fail and retry, so without batching the number of writes grows faster than the number of
// daemons.
type batcher struct {
	mu      sync.Mutex
	pending []*pendingProposals
	running bool // writeBatches is running
}

// pendingProposals are the proposals of one CommitBatched call.
type pendingProposals struct {
	proposals []slot.Assignment
	done      chan error
}

// CommitBatched proposes assignments in one write with those of concurrent calls, and waits for the
// write. Afterwards, Slot returns what the store accepted; on an error the outcome is unknown.
func (m *Manager) CommitBatched(ctx context.Context, proposals []slot.Assignment) error {
	g := &pendingProposals{proposals: proposals, done: make(chan error, 1)}
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

// writeBatches collects and writes proposals until none are pending.
func (m *Manager) writeBatches() {
	for {
		time.Sleep(batchDelay)
		batch := m.takePending()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchWriteTimeout)
		_, err := m.Commit(ctx, mergeProposals(batch))
		cancel()
		for _, g := range batch {
			g.done <- err
		}
	}
}

func (m *Manager) takePending() []*pendingProposals {
	m.batcher.mu.Lock()
	defer m.batcher.mu.Unlock()
	batch := m.batcher.pending
	m.batcher.pending = nil
	m.batcher.running = len(batch) > 0
	return batch
}

// mergeProposals combines the proposals and keeps only the first one for each slot. With two for
// one slot, the second would overwrite the first, and both would be reported as accepted.
func mergeProposals(batch []*pendingProposals) []slot.Assignment {
	var out []slot.Assignment
	taken := make(map[int]bool)
	for _, g := range batch {
		for _, p := range g.proposals {
			if !taken[p.Slot] {
				taken[p.Slot] = true
				out = append(out, p)
			}
		}
	}
	return out
}

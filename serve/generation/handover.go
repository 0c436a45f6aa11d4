package generation

import (
	"context"
	"slices"
	"sync"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/serve/journal"
	"mallowwind.dev/telemetry/event"
)

// maxParallelHandovers bounds how many copies are handed over at once, so that a
// stop does not take the network from answers that still run.
const maxParallelHandovers = 8

// HandOver gives the copies held here to the next entry VM that may hold them.
// Call it when this daemon has left the members and its own answers have ended.
//
// The failure it guards against is a rolling replacement: a finished answer is
// still owed to a caller whose connection broke, its owner was replaced first,
// and this daemon has the only copy left. Running answers need no help: their
// owners see that this VM leaves and move the copy with the next token.
func (m *Manager) HandOver(ctx context.Context) (moved, failed int) {
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		slots = make(chan struct{}, maxParallelHandovers)
	)
	for _, c := range m.holder.All() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ok := m.handOverCopy(ctx, c)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				moved++
			} else {
				failed++
			}
		})
	}
	wg.Wait()
	m.log.Emit(event.CopiesHandedOver, moved, failed)
	return moved, failed
}

// handOverCopy sends one copy to the first member that takes it.
func (m *Manager) handOverCopy(ctx context.Context, c journal.Copy) bool {
	view := m.members.Current()
	var triedIDs []string
	for ctx.Err() == nil {
		target, ok := journal.Pick(c.Spec.GetId(), view, func(m membership.Member) bool {
			return slices.Contains(triedIDs, m.ID)
		})
		if !ok {
			return false
		}
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		r, err := m.client(target).Open(call, journal.ToWire(c))
		cancel()
		if err == nil && r.GetAccepted() {
			return true
		}
		triedIDs = append(triedIDs, target.ID)
	}
	return false
}

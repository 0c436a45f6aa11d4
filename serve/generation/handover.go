package generation

import (
	"context"
	"slices"
	"sync"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/serve/journal"
	"mallowwind.dev/telemetry/event"
)

// maxParallelHandovers bounds the number of copies that are handed over at once,
// so that a stopping daemon does not take the bandwidth of running answers.
const maxParallelHandovers = 8

// HandOver sends the copies held here to the next entry VMs that may hold them. It
// must be called after this daemon has left the membership and its own answers
// have ended. It returns the number of copies sent and of those that no member
// took.
//
// It guards against a loss during a rolling replacement: a caller whose connection
// broke may still fetch a finished answer whose owner was replaced before, so that
// this daemon has the only copy. The copies of running answers are moved by their
// owners, which see that this VM leaves and write the next token to another holder.
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

// handOverCopy sends one copy to the first member that accepts it.
func (m *Manager) handOverCopy(ctx context.Context, c journal.Copy) bool {
	view := m.members.Current()
	var triedIDs []string
	for ctx.Err() == nil {
		target, ok := journal.PickHolder(c.Spec.GetId(), view, func(m membership.Member) bool {
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

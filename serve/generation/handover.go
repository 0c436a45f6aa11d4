package generation

import (
	"context"
	"slices"
	"sync"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/serve/journal"
	"mallowwind.dev/telemetry/event"
)

// handoverParallel bounds how many copies are handed over at once, so that a
// stop does not take the network from answers that still run.
const handoverParallel = 8

// HandOver gives the copies held here to the next entry VM that may hold them.
// Call it when this daemon has left the members and its own answers have ended.
//
// The failure it guards against is a rolling replacement: a finished answer is
// still owed to a caller whose connection broke, its owner was replaced first,
// and this daemon has the only copy left. Running answers need no help: their
// owners see that this VM leaves and move the copy with the next token.
func (m *Manager) HandOver(ctx context.Context) (moved, left int) {
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		slots = make(chan struct{}, handoverParallel)
	)
	for _, c := range m.holder.All() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ok := m.giveCopy(ctx, c)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				moved++
			} else {
				left++
			}
		})
	}
	wg.Wait()
	m.log.Emit(event.CopiesHandedOver, moved, left)
	return moved, left
}

// giveCopy sends one copy to the first member that takes it.
func (m *Manager) giveCopy(ctx context.Context, c journal.Copy) bool {
	v := m.members.Current()
	var tried []string
	for ctx.Err() == nil {
		to, ok := journal.PickHolder(c.Spec.GetId(), v, func(m membership.Member) bool {
			return slices.Contains(tried, m.ID)
		})
		if !ok {
			return false
		}
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		r, err := m.client(to).Open(call, journal.ToWire(c))
		cancel()
		if err == nil && r.GetAccepted() {
			return true
		}
		tried = append(tried, to.ID)
	}
	return false
}

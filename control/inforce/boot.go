package inforce

import (
	"context"
	"time"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/telemetry/event"
)

const (
	// peersPerBootRound is how many peers are asked in one round of a boot.
	peersPerBootRound = 3
	// unavailableLogInterval is how often a daemon without any text repeats that in its log.
	unavailableLogInterval = time.Minute
)

// bootLoop finds a first text: in the store, or at a peer while the store is
// down. It returns once a text is in force.
func (m *Manager) bootLoop(ctx context.Context) {
	backoff := minBackoff
	var said time.Time
	for ctx.Err() == nil && m.Current() == nil {
		storeErr := m.poll(ctx)
		asked := 0
		if m.Current() == nil {
			asked = m.fetchFromPeers(ctx)
		}
		if m.Current() != nil || ctx.Err() != nil {
			return
		}
		if time.Since(said) >= unavailableLogInterval {
			said = time.Now()
			m.cfg.Log.Emit(event.ConfigUnavailable, errorText(storeErr), asked)
		}
		pause.For(ctx, m.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// fetchFromPeers asks some peers for whatever they have and returns how many it asked.
func (m *Manager) fetchFromPeers(ctx context.Context) int {
	asked := 0
	for _, peer := range m.randomPeers(peersPerBootRound) {
		if m.Current() != nil || ctx.Err() != nil {
			break
		}
		asked++
		m.fetch(ctx, peer)
	}
	return asked
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

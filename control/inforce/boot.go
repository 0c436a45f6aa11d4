package inforce

import (
	"context"
	"time"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/telemetry/event"
)

const (
	// peersPerBootRound is the number of peers that a booting daemon asks between two reads of the store.
	peersPerBootRound = 3
	// unavailableLogInterval is how often a daemon logs that it has no text.
	unavailableLogInterval = time.Minute
)

// bootLoop obtains the first text: from the store, or from a peer while the store is unavailable. It
// returns once a text is active.
func (m *Manager) bootLoop(ctx context.Context) {
	backoff := minBackoff
	var loggedAt time.Time
	for ctx.Err() == nil && m.Current() == nil {
		storeErr := m.poll(ctx)
		asked := 0
		if m.Current() == nil {
			asked = m.fetchFromPeers(ctx)
		}
		if m.Current() != nil || ctx.Err() != nil {
			return
		}
		if time.Since(loggedAt) >= unavailableLogInterval {
			loggedAt = time.Now()
			m.cfg.Log.Emit(event.ConfigUnavailable, errorText(storeErr), asked)
		}
		pause.For(ctx, m.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// fetchFromPeers asks random peers for their text until one has one. It returns the number of peers
// asked.
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

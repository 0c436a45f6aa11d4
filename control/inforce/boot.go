package inforce

import (
	"context"
	"time"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/telemetry/event"
)

const (
	// bootPeers is how many peers are asked in one round of a boot.
	bootPeers = 3
	// sayEvery is how often a daemon without any text repeats that in its log.
	sayEvery = time.Minute
)

// bootLoop finds a first text: in the store, or at a peer while the store is
// down. It returns once a text is in force.
func (m *Manager) bootLoop(ctx context.Context) {
	backoff := firstBackoff
	var said time.Time
	for ctx.Err() == nil && m.Current() == nil {
		storeErr := m.poll(ctx)
		asked := 0
		if m.Current() == nil {
			asked = m.askPeers(ctx)
		}
		if m.Current() != nil || ctx.Err() != nil {
			return
		}
		if time.Since(said) >= sayEvery {
			said = time.Now()
			m.cfg.Log.Emit(event.ConfigUnavailable, errorText(storeErr), asked)
		}
		pause.For(ctx, m.jitter(backoff))
		backoff = min(2*backoff, lastBackoff)
	}
}

// askPeers asks some peers for whatever they have and returns how many it asked.
func (m *Manager) askPeers(ctx context.Context) int {
	asked := 0
	for _, peer := range m.others(bootPeers) {
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

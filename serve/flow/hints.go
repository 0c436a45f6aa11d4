package flow

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowwind.dev/external/engine"
)

const (
	// maxHintCount bounds the number of remembered prefixes. A few thousand are in
	// use at once.
	maxHintCount = 16384
	// hintPollInterval is the interval at which engines are polled for cache events.
	// The engines report events late, so polling more often would not make the
	// hints more recent.
	hintPollInterval = 2 * time.Second
	// hintPollTimeout bounds one poll, so that a silent engine does not delay the
	// next round.
	hintPollTimeout = time.Second
	// maxConcurrentHintPolls bounds the polls in flight.
	maxConcurrentHintPolls = 8
)

// hints maps each prefix to the engine that last reported holding it in its
// cache. Events arrive late and some are lost, so a hint may be stale or missing.
// Hints only affect the choice among servers that could run the request anyway,
// and a wrong hint costs one prefill.
type hints struct {
	holders map[uint64]string
}

func (h *hints) holder(prefix uint64) string { return h.holders[prefix] }

// record applies one cache event of an engine.
func (h *hints) record(id string, e engine.CacheEvent) {
	if h.holders == nil || len(h.holders) >= maxHintCount {
		h.holders = map[uint64]string{} // refilled by later events
	}
	if e.Held {
		h.holders[e.Prefix] = id
	} else if h.holders[e.Prefix] == id {
		delete(h.holders, e.Prefix)
	}
}

// RecordCacheEvent applies one cache event of the engine on the VM with this id.
func (c *Core) RecordCacheEvent(id string, e engine.CacheEvent) { c.hints.record(id, e) }

// forget removes the hints for an engine that restarted with a cold cache.
func (h *hints) forget(id string) {
	for prefix, holder := range h.holders {
		if holder == id {
			delete(h.holders, prefix)
		}
	}
}

// hintSource is one engine and the sequence number of its last event received.
type hintSource struct {
	id          string
	incarnation string
	engine      engine.Engine
	lastSeq     uint64
}

// pollHints polls the engines of this daemon's subset for cache events until ctx
// ends. It does not hold the lock while it waits for an engine.
func (m *Manager) pollHints(ctx context.Context) {
	t := time.NewTicker(hintPollInterval)
	defer t.Stop()
	seen := map[string]*hintSource{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var g errgroup.Group
		g.SetLimit(maxConcurrentHintPolls)
		for _, s := range m.hintSources(seen) {
			g.Go(func() error { m.pollEngine(ctx, s); return nil })
		}
		_ = g.Wait()
	}
}

// hintSources returns the engines in use. For an engine that restarted, events
// are read again from the first.
func (m *Manager) hintSources(seen map[string]*hintSource) []*hintSource {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sources []*hintSource
	for id, s := range m.core.servers {
		if !s.present || len(s.groups) == 0 || s.backend.Engine == nil {
			delete(seen, id)
			continue
		}
		source := seen[id]
		if source == nil || source.incarnation != s.incarnation {
			source = &hintSource{id: id, incarnation: s.incarnation}
			seen[id] = source
		}
		source.engine = s.backend.Engine
		sources = append(sources, source)
	}
	return sources
}

func (m *Manager) pollEngine(ctx context.Context, s *hintSource) {
	ctx, cancel := context.WithTimeout(ctx, hintPollTimeout)
	defer cancel()
	events, err := s.engine.CacheEvents(ctx, s.lastSeq)
	if err != nil {
		return // ignored: health is judged by requests and status reports
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		m.core.RecordCacheEvent(s.id, e)
		s.lastSeq = max(s.lastSeq, e.Seq)
	}
}

package flow

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowwind.dev/external/engine"
)

const (
	// hintsMost bounds the remembered prefixes; some thousand are in use at once.
	hintsMost = 16384
	// hintsEvery is how often engines are asked for cache events. The events are
	// late by themselves; asking more often would not make them younger.
	hintsEvery = 2 * time.Second
	// hintsTimeout bounds one question, so that a silent engine holds up nothing.
	hintsTimeout = time.Second
	// hintsAtOnce bounds the questions under way.
	hintsAtOnce = 8
)

// hints remembers which engine was last said to hold a prefix. Events come late
// and with gaps, so a hint may be wrong in either direction: it only ever
// chooses among servers that could run the request anyway, and a wrong one
// costs a prefill.
type hints struct {
	holders map[uint64]string
}

func (h *hints) holder(prefix uint64) string { return h.holders[prefix] }

// note takes in one event of an engine.
func (h *hints) note(id string, e engine.CacheEvent) {
	if h.holders == nil || len(h.holders) >= hintsMost {
		h.holders = map[uint64]string{} // they come back with use
	}
	if e.Held {
		h.holders[e.Prefix] = id
	} else if h.holders[e.Prefix] == id {
		delete(h.holders, e.Prefix)
	}
}

// RecordCacheEvent takes in one cache event of the engine with this id.
func (c *Core) RecordCacheEvent(id string, e engine.CacheEvent) { c.hints.note(id, e) }

// forget drops what is remembered of an engine that restarted with a cold cache.
func (h *hints) forget(id string) {
	for prefix, holder := range h.holders {
		if holder == id {
			delete(h.holders, prefix)
		}
	}
}

// source is one engine with the last event seen of it.
type source struct {
	id          string
	incarnation string
	engine      engine.Engine
	seq         uint64
}

// pollHints asks the engines of this daemon's subset for their cache events
// until ctx ends. It never holds the lock while it waits for an engine.
func (m *Manager) pollHints(ctx context.Context) {
	t := time.NewTicker(hintsEvery)
	defer t.Stop()
	seen := map[string]*source{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var g errgroup.Group
		g.SetLimit(hintsAtOnce)
		for _, s := range m.hintSources(seen) {
			g.Go(func() error { m.askHints(ctx, s); return nil })
		}
		_ = g.Wait()
	}
}

// hintSources lists the engines in use; one that restarted begins anew.
func (m *Manager) hintSources(seen map[string]*source) []*source {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*source
	for id, s := range m.core.servers {
		if !s.present || len(s.groups) == 0 || s.backend.Engine == nil {
			delete(seen, id)
			continue
		}
		known := seen[id]
		if known == nil || known.incarnation != s.incarnation {
			known = &source{id: id, incarnation: s.incarnation}
			seen[id] = known
		}
		known.engine = s.backend.Engine
		list = append(list, known)
	}
	return list
}

func (m *Manager) askHints(ctx context.Context, s *source) {
	ctx, cancel := context.WithTimeout(ctx, hintsTimeout)
	defer cancel()
	events, err := s.engine.CacheEvents(ctx, s.seq)
	if err != nil {
		return // a hint less; health is judged by requests and reports
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		m.core.RecordCacheEvent(s.id, e)
		s.seq = max(s.seq, e.Seq)
	}
}

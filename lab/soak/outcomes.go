package soak

import "sync"

// lastOutcomes records the last outcome that callers saw, by key. The zero value is empty.
type lastOutcomes struct {
	mu    sync.Mutex
	byKey map[string]string
}

func (b *lastOutcomes) record(key, outcome string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byKey == nil {
		b.byKey = make(map[string]string)
	}
	b.byKey[key] = outcome
}

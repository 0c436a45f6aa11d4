package soak

import "sync"

// lastOutcomes records the last outcome that callers saw, by key. The zero value is empty.
type lastOutcomes struct {
	mu    sync.Mutex
	byKey map[string]string
}

func (o *lastOutcomes) record(key, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey == nil {
		o.byKey = make(map[string]string)
	}
	o.byKey[key] = outcome
}

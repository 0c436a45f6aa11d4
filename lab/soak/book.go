package soak

import "sync"

// book remembers the last word that callers heard, by key. The zero value is empty.
type book struct {
	mu   sync.Mutex
	last map[string]string
}

func (b *book) heard(key, said string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last == nil {
		b.last = make(map[string]string)
	}
	b.last[key] = said
}

package forward

import (
	"sync"
	"time"

	"mallowwind.dev/control/routing"
)

// exitRetention is how long an exit is known, longer than the entry of an exited server stays in the store.
const exitRetention = time.Minute

// knownExits holds when this daemon found out that server processes had exited. It is bounded by the
// processes that exit within exitRetention. The zero value is empty.
type knownExits struct {
	mu sync.Mutex
	at map[routing.Incarnation]time.Time
}

// record records that a process is known to have exited.
func (k *knownExits) record(process routing.Incarnation, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.at == nil {
		k.at = map[routing.Incarnation]time.Time{}
	}
	for other, at := range k.at {
		if now.Sub(at) >= exitRetention {
			delete(k.at, other)
		}
	}
	if _, known := k.at[process]; !known {
		k.at[process] = now
	}
}

// isBefore reports whether a process was known to have exited before a time.
func (k *knownExits) isBefore(process routing.Incarnation, t time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, known := k.at[process]
	return known && at.Before(t)
}

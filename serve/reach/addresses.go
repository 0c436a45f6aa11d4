package reach

import (
	"sync"
	"time"

	"mallowwind.dev/control/feed"
)

// minIndexAge is the shortest time between two scans of all servers for an unknown address, so that
// requests with wrong addresses cost a daemon of a large fleet little.
const minIndexAge = 200 * time.Millisecond

// addressIndex finds servers by their addresses. It is safe for concurrent use.
type addressIndex struct {
	mu        sync.Mutex
	ids       map[string]string // by address
	scannedAt time.Time
}

// contains reports whether an address is that of a server of the view. A view is scanned only if the
// address was not found in an earlier one.
func (x *addressIndex) contains(view *feed.View, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isCurrent(view, address) {
		return true
	}
	if now := time.Now(); x.ids == nil || now.Sub(x.scannedAt) >= minIndexAge {
		x.scan(view)
		x.scannedAt = now
	}
	return x.isCurrent(view, address)
}

// isCurrent reports whether the server last seen at an address is still listed there.
func (x *addressIndex) isCurrent(view *feed.View, address string) bool {
	s, listed := view.Server(x.ids[address])
	return listed && s.Address == address
}

func (x *addressIndex) scan(view *feed.View) {
	x.ids = map[string]string{}
	for _, list := range view.Servers {
		for s := range list.All() {
			x.ids[s.Address] = s.ID
		}
	}
}

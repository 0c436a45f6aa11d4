package reach

import (
	"sync"
	"time"

	"mallowwind.dev/control/feed"
)

// minIndexAge is the shortest time between two scans of all servers for an unknown address. A daemon
// still calls servers that are no longer listed, and each such address would cost a scan.
const minIndexAge = 200 * time.Millisecond

// addressIndex finds servers by their addresses. It is safe for concurrent use.
type addressIndex struct {
	mu        sync.Mutex
	ids       map[string]string // by address
	scannedAt time.Time
}

// idAt returns the id of the server that the view lists at an address. A view is scanned only if the
// address was not found in an earlier one.
func (x *addressIndex) idAt(view *feed.View, address string) (id string, listed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if id, listed = x.current(view, address); listed {
		return id, true
	}
	if now := time.Now(); x.ids == nil || now.Sub(x.scannedAt) >= minIndexAge {
		x.scan(view)
		x.scannedAt = now
	}
	return x.current(view, address)
}

// current returns the id of the server last seen at an address if it is still listed there.
func (x *addressIndex) current(view *feed.View, address string) (id string, listed bool) {
	s, listed := view.Server(x.ids[address])
	return s.ID, listed && s.Address == address
}

func (x *addressIndex) scan(view *feed.View) {
	x.ids = map[string]string{}
	for _, list := range view.Servers {
		for s := range list.All() {
			x.ids[s.Address] = s.ID
		}
	}
}

package host

import (
	"net/http"
	"sync"
)

// requestLimitHeader is how a backend server names the requests a second that it takes of all daemons.
const requestLimitHeader = "X-Request-Limit"

// limitAdvertiser has a backend server name a limit in its answers.
type limitAdvertiser struct {
	handler http.Handler

	mu    sync.Mutex
	limit string // "" names none
}

// set sets what is named; "" names no limit any more.
func (l *limitAdvertiser) set(text string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = text
	return nil
}

// ServeHTTP implements http.Handler.
func (l *limitAdvertiser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.limit != "" {
		w.Header().Set(requestLimitHeader, l.limit)
	}
	l.mu.Unlock()
	l.handler.ServeHTTP(w, r)
}

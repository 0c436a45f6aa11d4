package host

import (
	"net/http"
	"sync"
)

// limitHeader is how a backend server names the requests a second that it takes of all daemons.
const limitHeader = "X-Request-Limit"

// limiter has a backend server name a limit in its answers.
type limiter struct {
	handler http.Handler

	mu   sync.Mutex
	text string // "" names none
}

// set sets what is named; "" names no limit any more.
func (l *limiter) set(text string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = text
	return nil
}

// ServeHTTP implements http.Handler.
func (l *limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.text != "" {
		w.Header().Set(limitHeader, l.text)
	}
	l.mu.Unlock()
	l.handler.ServeHTTP(w, r)
}

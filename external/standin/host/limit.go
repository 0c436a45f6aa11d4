package host

import (
	"net/http"
	"sync"
)

// requestLimitHeader is the response header in which a backend server advertises the total rate,
// in requests per second, that it accepts from all daemons together.
const requestLimitHeader = "X-Request-Limit"

// limitAdvertiser makes a backend server advertise a request limit in its responses.
type limitAdvertiser struct {
	handler http.Handler

	mu    sync.Mutex
	limit string // "" means none
}

// set sets the advertised limit; "" stops the advertising.
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

package host

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Response headers in which a backend server states which requests it takes.
const (
	// requestLimitHeader holds the total rate, in requests per second, that the server accepts from
	// all daemons together.
	requestLimitHeader = "X-Request-Limit"
	// leavingHeader is set by a server that takes no new requests.
	leavingHeader = "X-Backend-Leaving"
	// notRunHeader is set in the response to a request that the server did not run.
	notRunHeader = "X-Not-Run"
)

// noticeSender makes a backend server state in its responses which requests it takes.
type noticeSender struct {
	handler http.Handler

	mu      sync.Mutex
	limit   string // "" means none
	leaving bool
	pause   string // Retry-After with which every request is rejected; "" means none is
}

// setLimit sets the advertised limit; "" stops the advertising.
func (s *noticeSender) setLimit(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = text
	return nil
}

// setLeaving sets whether the server states that it leaves.
func (s *noticeSender) setLeaving(text string) error {
	leaving, err := strconv.ParseBool(text)
	if err != nil {
		return errors.Errorf("%q is neither true nor false", text)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	return nil
}

// setPause makes the server reject every request with a pause in seconds; "" ends that.
func (s *noticeSender) setPause(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = text
	return nil
}

// ServeHTTP implements http.Handler.
func (s *noticeSender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	limit, leaving, pause := s.limit, s.leaving, s.pause
	s.mu.Unlock()
	if limit != "" {
		w.Header().Set(requestLimitHeader, limit)
	}
	if leaving {
		w.Header().Set(leavingHeader, "1")
	}
	if pause != "" {
		w.Header().Set(notRunHeader, "1")
		w.Header().Set("Retry-After", pause)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.handler.ServeHTTP(w, r)
}

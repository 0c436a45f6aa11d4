package process

import (
	"context"
	"strconv"
	"time"
)

const (
	// A server announces a rate limit for rateLimitDuration. All daemons keep to it after
	// rateLimitPropagation; requests are counted in sliding windows of rateWindow.
	rateLimitDuration    = 8 * time.Second
	rateLimitPropagation = 3 * time.Second
	rateWindow           = 4 * time.Second
)

// maxRequestsInWindow returns how many requests may reach a server within rateWindow if it
// accepts rate requests a second.
func maxRequestsInWindow(rate float64) int { return int(1.5*rate*rateWindow.Seconds()) + 5 }

// announceRateLimit makes a server announce a rate limit for a while and checks its arrivals.
func (h *harness) announceRateLimit(ctx context.Context) {
	s := h.activePlainServer()
	h.mu.Lock()
	rate := float64(h.random.IntN(40)) / 10
	h.mu.Unlock()
	s.mu.Lock()
	if s.rateLimit != "" { // the first announcement would end the second one early
		s.mu.Unlock()
		return
	}
	id, announcedAt := s.id, time.Now()
	s.rateLimit = strconv.FormatFloat(rate, 'g', -1, 64)
	s.arrivals = nil
	s.mu.Unlock()
	select {
	case <-time.After(rateLimitDuration):
	case <-ctx.Done():
	}
	h.mu.Lock()
	boundsSuspended := h.boundsSuspendedUntil.After(announcedAt)
	h.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = ""
	if most := maxArrivalsInWindow(s.arrivals, announcedAt.Add(rateLimitPropagation)); h.opts.Timed && !boundsSuspended && s.id == id && most > maxRequestsInWindow(rate) {
		h.recorder.recordViolation("%d requests in %v reached %s, which accepts %v a second", most, rateWindow, id, rate)
	}
}

// activePlainServer returns a random server of the plain service that routes currently target.
func (h *harness) activePlainServer() *server {
	for {
		s := h.randomServer()
		h.mu.Lock()
		active := h.activeService
		h.mu.Unlock()
		if s.service == active {
			return s
		}
	}
}

// maxArrivalsInWindow returns the largest number of arrivals after the given time that lie within
// rateWindow.
func maxArrivalsInWindow(arrivals []time.Time, after time.Time) (most int) {
	first := 0
	for last, at := range arrivals {
		for arrivals[first].Before(after) && first < last || at.Sub(arrivals[first]) >= rateWindow {
			first++
		}
		if !at.Before(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

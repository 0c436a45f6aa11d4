package process

import (
	"context"
	"strconv"
	"time"
)

const (
	// rateLimitDuration is how long a server names a limit, limitKnown after what time all daemons keep
	// to it, and limitSpan the time in which its requests are counted.
	rateLimitDuration    = 8 * time.Second
	rateLimitPropagation = 3 * time.Second
	rateWindow           = 4 * time.Second
)

// maxRequestsInWindow is what may reach a server in limitSpan that takes rate requests a second.
func maxRequestsInWindow(rate float64) int { return int(1.5*rate*rateWindow.Seconds()) + 5 }

// announceRateLimit has a server name a limit for a while, and counts what reaches it.
func (h *harness) announceRateLimit(ctx context.Context) {
	s := h.activePlainServer()
	h.mu.Lock()
	rate := float64(h.random.IntN(40)) / 10
	h.mu.Unlock()
	s.mu.Lock()
	if s.rateLimit != "" { // it names one already, and would cease to with the end of the first
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
		h.recorder.recordViolation("%d requests in %v reached %s, which takes %v a second", most, rateWindow, id, rate)
	}
}

// activePlainServer is a server of the service that calls go to now.
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

// maxArrivalsInWindow is the most of the arrivals after a moment within limitSpan of each other.
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

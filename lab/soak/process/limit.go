package process

import (
	"context"
	"strconv"
	"time"
)

const (
	// limitFor is how long a server names a limit, limitKnown after what time all daemons keep
	// to it, and limitSpan the time in which its requests are counted.
	limitFor   = 8 * time.Second
	limitKnown = 3 * time.Second
	limitSpan  = 4 * time.Second
)

// allowed is what may reach a server in limitSpan that takes rate requests a second.
func allowed(rate float64) int { return int(1.5*rate*limitSpan.Seconds()) + 5 }

// nameLimit has a server name a limit for a while, and counts what reaches it.
func (w *world) nameLimit(ctx context.Context) {
	s := w.busyDesk()
	w.mu.Lock()
	rate := float64(w.random.IntN(40)) / 10
	w.mu.Unlock()
	s.mu.Lock()
	if s.limit != "" { // it names one already, and would cease to with the end of the first
		s.mu.Unlock()
		return
	}
	id, named := s.id, time.Now()
	s.limit = strconv.FormatFloat(rate, 'g', -1, 64)
	s.arrived = nil
	s.mu.Unlock()
	select {
	case <-time.After(limitFor):
	case <-ctx.Done():
	}
	w.mu.Lock()
	troubled := w.trouble.After(named)
	w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = ""
	if most := mostWithin(s.arrived, named.Add(limitKnown)); w.opts.Timed && !troubled && s.id == id && most > allowed(rate) {
		w.ledger.violate("%d requests in %v reached %s, which takes %v a second", most, limitSpan, id, rate)
	}
}

// busyDesk is a server of the service that calls go to now.
func (w *world) busyDesk() *server {
	for {
		s := w.server()
		w.mu.Lock()
		desk := w.desk
		w.mu.Unlock()
		if s.service == desk {
			return s
		}
	}
}

// mostWithin is the most of the arrivals after a moment within limitSpan of each other.
func mostWithin(arrived []time.Time, after time.Time) (most int) {
	first := 0
	for last, at := range arrived {
		for arrived[first].Before(after) && first < last || at.Sub(arrived[first]) >= limitSpan {
			first++
		}
		if !at.Before(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

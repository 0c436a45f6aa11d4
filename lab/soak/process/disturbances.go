package process

import (
	"sync"
	"time"
)

// span is a time during which something was disturbed. until is zero while it lasts.
type span struct{ from, until time.Time }

// disturbances records when a process or a link was disturbed. The zero value is ready to use.
type disturbances struct {
	mu    sync.Mutex
	spans []span
}

// begin records that a disturbance begins now, unless one lasts.
func (d *disturbances) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lasts() {
		d.spans = append(d.spans, span{from: time.Now()})
	}
}

// add records a disturbance of known end.
func (d *disturbances) add(from, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, span{from: from, until: until})
}

// end records that the disturbance that lasts, if there is one, ends now.
func (d *disturbances) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lasts() {
		d.spans[len(d.spans)-1].until = time.Now()
	}
}

func (d *disturbances) lasts() bool {
	return len(d.spans) > 0 && d.spans[len(d.spans)-1].until.IsZero()
}

// overlap reports whether a disturbance occurred between two times.
func (d *disturbances) overlap(from, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}

package main

import (
	"sync"
	"time"
)

// loadInterval is the time between two requests of the load at one daemon.
const loadInterval = 80 * time.Millisecond

// load is a flow of requests to all daemons of a site.
type load struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu   sync.Mutex
	ends map[int]int // answers by status; 0 for none
}

// startLoad starts a flow of requests to the two routes of deskState. A third of them are idempotent.
func startLoad(s *site) *load {
	l := &load{stop: make(chan struct{}), ends: map[int]int{}}
	for _, d := range s.daemons {
		l.running.Go(func() {
			tick := time.NewTicker(loadInterval)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-tick.C:
				}
				l.running.Go(func() { l.request(s, d, n%3 == 0) })
			}
		})
	}
	return l
}

func (l *load) request(s *site, d *daemon, idempotent bool) {
	method, path := "POST", "/pule252/se99/"
	if idempotent {
		method, path = "GET", "/puxa403/ab/"
	}
	a := once(d.front, method, path, 600*time.Millisecond)
	s.rec.add("%s %s at %s, id %s: %v", method, path, node(d.index), a.id, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends[a.status]++
}

// end ends the flow and waits for its last answers.
func (l *load) end() {
	close(l.stop)
	l.running.Wait()
}

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	recoveryTime = 12 * time.Second        // recovery_s
	replicaDown  = 1200 * time.Millisecond // for_s of srv_crash
)

// crashedLookup: callers look up one thing again and again. All replicas of the service crash at once and
// come back; later all daemons are killed and start again.
func crashedLookup(r *record, dir string, trouble bool) (broken bool) {
	s, all := newStore(r), &runs{}
	s.put(wire["desired state"], desiredState(7, route("r-check", "/puxa403/", "idempotent", "order-desk", 3*time.Second, 300*time.Millisecond)))
	var desks []*replica
	startDesks := func(boot int) {
		desks = nil
		for i, id := range []string{"i-f90351c%d", "i-3d40b7e%d", "i-62c8aa0%d"} {
			p := newReplica(fmt.Sprintf(id, boot), "order-desk", zones[i], 6, 60*time.Millisecond, 0, all, r)
			s.put(p.key(), p.entry("ready"))
			desks = append(desks, p)
		}
	}
	startDesks(1)
	daemons := newDaemons(6, dir, s.address)
	awaitReady(daemons)
	time.Sleep(time.Second)

	type result struct {
		at     time.Time
		answer answer
	}
	var mu sync.Mutex
	var results []result
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	for _, d := range daemons {
		clients.Go(func() {
			tick := time.NewTicker(40 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				clients.Go(func() {
					q, at := newRequest("GET", "/puxa403/2f", 3*time.Second), time.Now()
					a := send(d.front, q)
					r.printf("client: %s over %s: %v", q.attempt, d.name, a)
					mu.Lock()
					results = append(results, result{at, a})
					mu.Unlock()
				})
			}
		})
	}
	served := func(from, to time.Time) (n, total int) {
		mu.Lock()
		defer mu.Unlock()
		for _, x := range results {
			if x.at.Before(from) || x.at.After(to) {
				continue
			}
			total++
			if x.answer.status == 200 && x.answer.err == nil {
				n++
			}
		}
		return n, total
	}
	began := time.Now()
	time.Sleep(8 * time.Second)
	if trouble {
		old := desks
		for _, p := range old {
			p.exit()
		}
		r.say("all replicas of order-desk have crashed")
		time.Sleep(replicaDown)
		startDesks(2)
		r.say("they are back, with new ids and at new addresses")
		time.Sleep(2400 * time.Millisecond)
		for _, p := range old {
			s.remove(p.key()) // after three heartbeats of silence
		}
		time.Sleep(2 * time.Second)
	}
	fault := time.Now()
	n, total := served(began, fault)
	r.say("before the final fault %d of %d were served", n, total)
	if trouble {
		for _, d := range daemons {
			d.kill()
		}
		r.say("all daemons were killed")
		time.Sleep(time.Second)
		for _, d := range daemons {
			d.start()
		}
		awaitReady(daemons)
	}
	back := time.Now()
	time.Sleep(recoveryTime + 8*time.Second)
	close(stop)
	clients.Wait()
	later, laterTotal := served(back.Add(recoveryTime), time.Now())
	r.say("of those sent later than %v after all were back, %d of %d were served", recoveryTime, later, laterTotal)
	mu.Lock()
	defer mu.Unlock()
	r.say("the last answer: %v: %s", results[len(results)-1].answer, oneLine(results[len(results)-1].answer.body))
	return 4*n >= total && 4*later < laterTotal
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// The bounds of the settings, and of the pages.
const (
	drainTime   = 2 * time.Second // drain_ms
	contactTime = 3 * time.Second // contact_ms
	// staleTime is how old a read with stale_ok may be ("may be seconds old").
	staleTime = 3 * time.Second
	// lingerTime is how long the leaving replica serves on after drainTime ("at times many seconds").
	lingerTime = 8 * time.Second
)

const engines = 517 // with the other keys they fill more than one page of a list

// stalePage: a replica leaves as planned, by the removal of its entry, and serves on. A daemon is killed
// and starts again. Of its first list, the second page is older than the first one.
func stalePage(r *record, dir string, trouble bool) (broken bool) {
	s, all := newStore(r), &runs{}
	s.staleness = func(after string) time.Duration {
		if after == "" {
			return 100 * time.Millisecond
		}
		return staleTime
	}
	s.put(wire["desired state"], desiredState(7, route("r-order", "/pule252/", wire["at most once"], "order-desk", 1500*time.Millisecond, 120*time.Millisecond)))
	for i := range engines {
		p := newReplica(fmt.Sprintf("i-%08x", 0x1000_0000+i*0x0040_0000), "mallow-servers", zones[i%3], 32, 35*time.Millisecond, 130, all, r)
		s.put(p.key(), p.entry("ready"))
	}
	var desks []*replica
	for i, id := range []string{"i-f90351c2", "i-3d40b7e8", "i-62c8aa07"} {
		p := newReplica(id, "order-desk", zones[i], 6, 60*time.Millisecond, 0, all, r)
		s.put(p.key(), p.entry("ready"))
		desks = append(desks, p)
	}
	leaving := desks[0]
	time.Sleep(staleTime + 200*time.Millisecond) // the stale reads of the daemons' first start show all of it
	daemons := newDaemons(6, dir, s.address)
	awaitReady(daemons)
	r.say("all daemons are ready")

	stop, clients := make(chan struct{}), sync.WaitGroup{}
	var mu sync.Mutex
	sentTo, failed := map[string]*daemon{}, map[string]string{}
	for _, d := range daemons {
		clients.Go(func() {
			tick := time.NewTicker(25 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				clients.Go(func() {
					q := newRequest("POST", "/pule252/2f", 1500*time.Millisecond)
					q.body = "order " + q.attempt
					mu.Lock()
					sentTo[q.attempt] = d
					mu.Unlock()
					r.printf("client: sends %s to %s", q.attempt, d.name)
					a := send(d.front, q)
					r.printf("client: %s: %v", q.attempt, a)
					if a.status != 200 || a.err != nil {
						mu.Lock()
						failed[q.attempt] = a.String()
						mu.Unlock()
					}
				})
			}
		})
	}
	time.Sleep(4 * time.Second)

	s.remove(leaving.key())
	gone := time.Now()
	r.say("the store has acknowledged that replica %s is gone; it serves on for %v", leaving.id, drainTime+lingerTime)
	killed := daemons[0] // of the replica's zone
	if trouble {
		time.Sleep(300 * time.Millisecond)
		killed.kill()
		r.say("%s was killed", killed.name)
		time.Sleep(700 * time.Millisecond)
		killed.start()
		r.say("%s starts again, %v after the ack", killed.name, time.Since(gone).Round(time.Millisecond))
	}
	time.Sleep(time.Until(gone.Add(drainTime + lingerTime)))
	leaving.exit()
	r.say("replica %s exits", leaving.id)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	late, byDaemon, lost := 0, map[string]int{}, 0
	for _, x := range all.snapshot() {
		d := sentTo[x.attempt]
		if x.replica != leaving.id || x.at.Before(gone.Add(drainTime)) || x.at.Before(d.startedAt.Add(contactTime)) {
			continue
		}
		late++
		byDaemon[d.name]++
		if x.outcome != "answered" {
			lost++
			r.say("lost: %s, run by %s %v after the ack: %s; its client: %s", x.attempt, x.replica,
				x.at.Sub(gone).Round(time.Millisecond), x.outcome, oneLine(failed[x.attempt]))
		}
	}
	r.say("requests that reached replica %s over %v after the ack, sent on by daemons that ran for %v or more: %d %v; lost with its exit: %d",
		leaving.id, drainTime, contactTime, late, byDaemon, lost)
	return late > 0
}

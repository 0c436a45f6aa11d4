package main

import (
	"sync"
	"time"
)

const (
	longAnswer  = 500 // events, 14 s
	shortAnswer = 60  // events, under 2 s
	shortTime   = 8 * time.Second
)

// shortLimit: a service gives long answers. Then a desired state adds a route of the same service with
// short answers and a shorter time limit; the prompts are alike. Without the disruption both routes are
// there from the beginning, and the short answers come first.
func shortLimit(r *record, dir string, trouble bool) (broken bool) {
	s, all := newStore(r), &runs{}
	streaming := func(name, prefix string, limit time.Duration) map[string]any {
		m := route(name, prefix, "streaming", "mallow-servers", limit, 4500*time.Millisecond)
		m["sticky"], m["resumable"], m["gap_target_ms"] = true, true, 700
		return m
	}
	first, added := streaming("r-report", "/lohu930/", 25*time.Second), streaming("r-question", "/tixa417/", shortTime)
	if trouble {
		s.put(wire["desired state"], desiredState(7, first))
	} else {
		s.put(wire["desired state"], desiredState(7, first, added))
	}
	for i, id := range []string{"i-0a51", "i-1b62", "i-2c73", "i-4e84", "i-5f95", "i-71a6"} {
		p := newReplica(id, "mallow-servers", zones[i%3], 32, eventTime, longAnswer, all, r)
		p.readsPrompts, p.eventsAt = true, map[string]int{"/tixa417/2f": shortAnswer}
		s.put(p.key(), p.entry("ready"))
	}
	daemons := newDaemons(2, dir, s.address)
	awaitReady(daemons)
	time.Sleep(time.Second)
	// ask sends n requests to the daemons in turn and returns how many were served.
	ask := func(n int, short bool) (served int) {
		var clients sync.WaitGroup
		var mu sync.Mutex
		for i := range n {
			clients.Go(func() {
				q := newPromptRequest("/lohu930/2f", 200, 3000, "%s:200")
				if short {
					q = newPromptRequest("/tixa417/2f", 200, 360, "%s:200")
					q.timeLimit = shortTime
				}
				a := send(daemons[i%len(daemons)].front, q)
				r.printf("client: short=%v %s: %v", short, q.attempt, a)
				if a.status == 200 && a.err == nil {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
			time.Sleep(tick)
		}
		clients.Wait()
		return served
	}
	if !trouble {
		ask(12, true)
	}
	ask(16, false)
	if trouble {
		s.put(wire["desired state"], desiredState(8, first, added))
		r.say("the store has acknowledged the desired state that adds the route")
		time.Sleep(applyTime + time.Second)
	}
	var long, short int
	var both sync.WaitGroup
	both.Go(func() { long = ask(30, false) })
	both.Go(func() { short = ask(30, true) })
	both.Wait()
	r.say("long answers, on the first route: %d of 30 served; short answers, on the other one: %d of 30 served", long, short)
	return 4*short < long
}

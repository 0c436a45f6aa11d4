package main

import (
	"sync"
	"time"
)

const (
	shortTokens = 16
	longTokens  = 30000
	applyTime   = 2 * time.Second // config_apply_ms
	// The events of a stream: one takes as long as six steps of 4.55 ms and more.
	eventTime   = 28 * time.Millisecond
	routeEvents = 60
	tick        = 100 * time.Millisecond
	longEvery   = 7 // 1.4 long prompts a second keep under half of the replicas reading
)

// newRoute: a service answers short prompts. Then a desired state adds a route of the same service, whose
// prompts are long. Without the disruption both routes are there from the beginning, and the long prompts
// come first.
func newRoute(r *record, dir string, trouble bool) (broken bool) {
	s, all := newStore(r), &runs{}
	streaming := func(name, prefix string) map[string]any {
		m := route(name, prefix, "streaming", "mallow-servers", 25*time.Second, 4500*time.Millisecond)
		m["sticky"], m["resumable"], m["gap_target_ms"] = true, true, 700
		return m
	}
	first, added := streaming("r-question", "/lohu930/"), streaming("r-contract", "/tixa417/")
	if trouble {
		s.put(wire["desired state"], desiredState(7, first))
	} else {
		s.put(wire["desired state"], desiredState(7, first, added))
	}
	for i, id := range []string{"i-0a51", "i-1b62", "i-2c73", "i-4e84", "i-5f95", "i-71a6", "i-82b7", "i-93c8", "i-a4d9", "i-b5ea", "i-c6fb", "i-d70c"} {
		p := newReplica(id, "mallow-servers", zones[i%3], 32, eventTime, routeEvents, all, r)
		p.readsPrompts = true
		s.put(p.key(), p.entry("ready"))
	}
	daemons := newDaemons(6, dir, s.address)
	awaitReady(daemons)
	time.Sleep(time.Second)

	var mu sync.Mutex
	asked, served := map[string]int{}, map[string]int{}
	var last answer
	var clients sync.WaitGroup
	ask := func(d *daemon, kind string) {
		clients.Go(func() {
			q := newPromptRequest("/lohu930/2f", shortTokens, 360, "%s:16")
			if kind == "long" {
				q = newPromptRequest("/tixa417/2f", longTokens, 360, "5c1e07a2:200,%s:29800")
			}
			a := send(d.front, q)
			r.printf("client: %s prompt %s over %s: %v", kind, q.attempt, d.name, a)
			mu.Lock()
			defer mu.Unlock()
			asked[kind]++
			if a.status == 200 && a.err == nil {
				served[kind]++
			}
			if kind == "long" {
				last = a
			}
		})
	}
	// play sends a short prompt each tenth of a second, and a long one with every seventh of them if long is
	// set, to the daemons in turn.
	play := func(d time.Duration, long bool) {
		for i := range int(d / tick) {
			ask(daemons[i%len(daemons)], "short")
			if long && i%longEvery == 0 {
				ask(daemons[(i/longEvery)%len(daemons)], "long")
			}
			time.Sleep(tick)
		}
	}
	if trouble {
		play(6*time.Second, false)
		s.put(wire["desired state"], desiredState(8, first, added))
		r.say("the store has acknowledged the desired state that adds the route")
		play(applyTime+time.Second, false)
	} else {
		for _, d := range daemons {
			ask(d, "long")
		}
		time.Sleep(6 * time.Second)
		play(3*time.Second, false)
	}
	clients.Wait()
	mu.Lock()
	clear(asked)
	clear(served)
	mu.Unlock()
	play(25*time.Second, true)
	clients.Wait()
	r.say("short prompts, on the first route: %d of %d served; long prompts, on the other one: %d of %d served", served["short"], asked["short"], served["long"], asked["long"])
	r.say("the last answer to a long prompt: %v: %s", last, oneLine(last.body[:min(len(last.body), 200)]))
	return asked["long"] >= 20 && 4*served["long"]*asked["short"] < served["short"]*asked["long"]
}

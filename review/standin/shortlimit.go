package main

import (
	"sync"
	"time"
)

const (
	auditEvents = 130 // of an answer of the first route, which takes 3.6 s after its first event
	shortEvents = 20  // of one of the added route: 0.6 s
	auditTokens = 8200
	shortPrompt = 200
	shortTime   = 2 * time.Second
	shortAim    = time.Second
	warmUp      = 12 * time.Second // some ten answers of each daemon
	playTime    = 25 * time.Second
	auditEvery  = 200 * time.Millisecond
	shortEvery  = 500 * time.Millisecond
)

// shortLimit: a service answers the prompts of the sheet. Then a desired state adds a route of the same
// service with short prompts, short answers and a time limit to match. Without the disruption both routes
// are there and used from the beginning.
func shortLimit(r *record, dir string, trouble bool) (broken bool) {
	s, all := newStore(r), &runs{}
	streaming := func(name, prefix string, limit, aim time.Duration) map[string]any {
		m := route(name, prefix, "streaming", "mallow-servers", limit, aim)
		m["sticky"], m["resumable"], m["gap_target_ms"] = true, true, 700
		return m
	}
	first := streaming("r-audit", "/lohu930/", 25*time.Second, 4500*time.Millisecond)
	added := streaming("r-question", "/tixa417/", shortTime, shortAim)
	if trouble {
		s.put(wire["desired state"], desiredState(7, first))
	} else {
		s.put(wire["desired state"], desiredState(7, first, added))
	}
	for i, id := range []string{"i-0a51", "i-1b62", "i-2c73", "i-4e84", "i-5f95", "i-71a6", "i-82b7", "i-93c8", "i-a4d9", "i-b5ea", "i-c6fb", "i-d70c"} {
		p := newReplica(id, "mallow-servers", zones[i%3], 32, eventTime, auditEvents, all, r)
		p.readsPrompts, p.eventsAt = true, map[string]int{"/tixa417/2f": shortEvents}
		s.put(p.key(), p.entry("ready"))
	}
	daemons := newDaemons(6, dir, s.address)
	awaitReady(daemons)
	time.Sleep(time.Second)

	var mu sync.Mutex
	var last answer
	// play sends requests of one route to the daemons in turn and returns how many were sent and served.
	play := func(d, every time.Duration, short bool) (sent, served int) {
		var clients sync.WaitGroup
		for ; time.Duration(sent)*every < d; sent++ {
			to := daemons[sent%len(daemons)]
			clients.Go(func() {
				q := newPromptRequest("/lohu930/2f", auditTokens, 6*auditEvents, "5c1e07a2:200,%s:8000")
				if short {
					q = newPromptRequest("/tixa417/2f", shortPrompt, 6*shortEvents, "%s:200")
					q.timeLimit = shortTime
				}
				a := send(to.front, q)
				r.printf("client: short=%v %s over %s: %v", short, q.attempt, to.name, a)
				mu.Lock()
				defer mu.Unlock()
				if a.status == 200 && a.err == nil {
					served++
				}
				if short {
					last = a
				}
			})
			time.Sleep(every)
		}
		clients.Wait()
		return sent, served
	}
	playBoth := func(d time.Duration) (audits, audited, shorts, answered int) {
		var both sync.WaitGroup
		both.Go(func() { audits, audited = play(d, auditEvery, false) })
		both.Go(func() { shorts, answered = play(d, shortEvery, true) })
		both.Wait()
		return audits, audited, shorts, answered
	}
	if trouble {
		play(warmUp, auditEvery, false)
		s.put(wire["desired state"], desiredState(8, first, added))
		r.say("the store has acknowledged the desired state that adds the route")
	} else {
		playBoth(warmUp)
	}
	time.Sleep(applyTime + time.Second)
	audits, audited, shorts, answered := playBoth(playTime)
	r.say("audits, on the first route: %d of %d served; short answers, on the other one: %d of %d served", audited, audits, answered, shorts)
	r.say("the last answer to a short prompt: %v: %s", last, oneLine(last.body[:min(len(last.body), 200)]))
	return shorts >= 20 && 4*answered*audits < audited*shorts
}

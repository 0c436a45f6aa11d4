package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	piecesOfStream = 60
	streams        = 24
	crashAfter     = 1500 * time.Millisecond
	// heartbeatsOfSilence is how long the entry of a replica that has crashed remains.
	heartbeatsOfSilence = 3 * 1200 * time.Millisecond
)

// crashRestart: model replicas send answers without a length. One of them crashes, which ends its channels,
// and starts again at its port with a new id.
func crashRestart(r *record, dir string, trouble bool) (broken bool) {
	s, all := newStore(r), &runs{}
	stream := route("r-review", "/lohu930/", "streaming", "mallow-servers", 25*time.Second, 4500*time.Millisecond)
	stream["sticky"], stream["resumable"], stream["gap_target_ms"] = true, true, 700
	s.put(wire["desired state"], desiredState(7, stream))
	engines := map[string]*replica{}
	for i := range 12 {
		p := newReplica(fmt.Sprintf("i-%08x", 0x1000_0000+i*0x0840_0000), "mallow-servers", zones[i%3], 32, 35*time.Millisecond, piecesOfStream, all, r)
		p.unframed = true
		s.put(p.key(), p.entry("ready"))
		engines[p.id] = p
	}
	daemons := newDaemons(6, dir, s.address)
	awaitReady(daemons)
	time.Sleep(time.Second)

	var mu sync.Mutex
	early, failed := 0, 0
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			q := newStreamRequest()
			d := daemons[i%len(daemons)]
			r.printf("client: sends %s to %s", q.attempt, d.name)
			a := send(d.front, q)
			pieces := strings.Count(a.body, "data: piece")
			r.printf("client: %s: %v, %d of %d pieces", q.attempt, a, pieces, piecesOfStream)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status != 200 || a.err != nil:
				failed++
			case pieces < piecesOfStream:
				early++
			default:
				return
			}
			var ends []string
			for _, x := range all.of(q.attempt) {
				ends = append(ends, x.replica+" "+x.outcome)
			}
			r.say("%s over %s: %v, %d of %d pieces; run: %v", q.attempt, d.name, a, pieces, piecesOfStream, ends)
		})
	}
	time.Sleep(crashAfter)
	if trouble {
		p := engines[all.busiest()]
		old := p.key()
		p.crashAndRestart("i-f7e1d0c4")
		r.say("the replica of %s has crashed and starts again as that of %s", old, p.key())
		s.put(p.key(), p.entry("ready"))
		time.AfterFunc(heartbeatsOfSilence, func() { s.remove(old) })
	}
	clients.Wait()
	r.say("streams that ended as complete before their last piece: %d of %d; streams that failed: %d", early, streams, failed)
	return early > 0
}

// busiest returns the id of the replica that runs most requests.
func (r *runs) busiest() (id string) {
	count := map[string]int{}
	for _, x := range r.snapshot() {
		if x.outcome == "" {
			count[x.replica]++
		}
		if count[x.replica] > count[id] {
			id = x.replica
		}
	}
	return id
}

package main

import (
	"net"
	"strings"
	"sync"
	"time"
)

const (
	leaverEvery = 5 // every fifth client leaves: a share of 0.2
	// leaveOrderAfter is below half the objective of an order, and leaveStreamAfter below that of a stream.
	leaveOrderAfter  = 40 * time.Millisecond
	leaveStreamAfter = time.Second
	orderWork        = 60 * time.Millisecond
	orderObjective   = 300 * time.Millisecond
)

// halfClose: some clients leave before their time limit. They close their sending side and read what is
// still under way, because a channel that is closed with unread bytes is reset.
func halfClose(r *record, dir string, trouble bool) (broken bool) {
	s, all := newStore(r), &runs{}
	stream := route("r-review", "/lohu930/", "streaming", "mallow-servers", 25*time.Second, 4500*time.Millisecond)
	stream["sticky"], stream["resumable"], stream["gap_target_ms"] = true, true, 700
	s.put(wire["desired state"], desiredState(7, stream,
		route("r-order", "/pule252/", wire["at most once"], "order-desk", 3*time.Second, orderObjective)))
	for i, id := range []string{"i-0a51", "i-1b62", "i-2c73", "i-4e84", "i-5f95", "i-71a6", "i-82b7", "i-93c8", "i-a4d9"} {
		p := newReplica(id, "mallow-servers", zones[i%3], 32, 35*time.Millisecond, piecesOfStream, all, r)
		s.put(p.key(), p.entry("ready"))
	}
	for i, id := range []string{"i-f90351c2", "i-3d40b7e8", "i-62c8aa07"} {
		p := newReplica(id, "order-desk", zones[i], 6, orderWork, 0, all, r)
		s.put(p.key(), p.entry("ready"))
	}
	daemons := newDaemons(6, dir, s.address)
	awaitReady(daemons)
	time.Sleep(time.Second)

	var mu sync.Mutex
	unsigned, early, failed := 0, 0, 0
	var clients sync.WaitGroup
	for i := range 100 {
		q, after := newRequest("POST", "/pule252/2f", 3*time.Second), leaveOrderAfter
		q.body = "order " + q.attempt
		if i%10 >= 5 {
			q, after = newStreamRequest(), leaveStreamAfter
		}
		leaves := trouble && i%leaverEvery == 0
		clients.Go(func() {
			a := sendAndLeave(r, daemons[i%len(daemons)].front, q, leaves, after)
			pieces := strings.Count(a.body, "data: piece")
			r.printf("client: %s leaves=%v: %v, %d pieces", q.attempt, leaves, a, pieces)
			mu.Lock()
			defer mu.Unlock()
			success := a.status >= 200 && a.status < 300
			isStream := strings.HasPrefix(q.path, "/lohu930/")
			switch {
			case success && a.signature == "":
				unsigned++
			case success && isStream && a.err == nil && pieces < piecesOfStream:
				early++
			case !leaves && (a.status != 200 || a.err != nil):
				failed++
			default:
				return
			}
			var ends []string
			for _, x := range all.of(q.attempt) {
				ends = append(ends, x.replica+" "+x.outcome)
			}
			r.say("%s %s, leaves=%v: %v, %d pieces; run: %v", q.path, q.attempt, leaves, a, pieces, ends)
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	r.say("successes without a replica's signature: %d; streams that ended as complete before their last piece: %d; other failures of clients that stayed: %d",
		unsigned, early, failed)
	return unsigned+early > 0
}

// sendAndLeave sends a request on a new channel and reads the answer. A client that leaves closes its
// sending side after a time.
func sendAndLeave(r *record, address string, q request, leaves bool, after time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	r.printf("client: sends %s %s", q.path, q.attempt)
	if _, err := conn.Write(q.bytes()); err != nil {
		return answer{err: err}
	}
	if leaves {
		time.AfterFunc(after, func() {
			r.printf("client: %s leaves", q.attempt)
			_ = conn.(*net.TCPConn).CloseWrite() // fails only if the channel has ended
		})
	}
	return readAnswer(conn, q)
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// exportLines and exportRate are the length of the long answers and how fast the replica makes them,
	// in lines of a kilobyte; readRate is how fast the clients read them.
	exportLines, exportRate, readRate = 12000, 5000, 1500
	// crashAfter is when the replica crashes, and downTime how long it is down (srv_crash is played for
	// 1.2 to 4.5 s).
	crashAfter, downTime = 2 * time.Second, 2200 * time.Millisecond
	exportTimeout        = 25 * time.Second
	readers              = 3
)

func init() { cases["slowreader"] = playSlowReader }

// playSlowReader: one of three replicas crashes in the middle of answers without a length, which clients read
// slowly, and starts again at its address.
func playSlowReader(rec *record, home string, trouble bool) (bool, error) {
	s, err := newSite(rec, home, 2, staleReads)
	if err != nil {
		return false, err
	}
	defer s.close()
	// One replica in each zone; one of the three crashes, the least that can.
	var mu sync.Mutex
	current := make([]*entry, 3)
	processes := make([]*replicaProcess, len(current))
	for n := range current {
		address, err := s.replicaAddress()
		if err != nil {
			return false, err
		}
		current[n] = &entry{id: fmt.Sprintf("i-7f3a91c%d", n), service: "wuno96b", address: address, zone: zone(n), slots: 6}
		if processes[n], err = startReplicaProcess(rec, *current[n], exportLines, exportRate); err != nil {
			return false, err
		}
	}
	beat := func() {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range current {
			if e != nil {
				s.register(e)
			}
		}
	}
	beat()
	go func() {
		for range time.Tick(heartbeat) {
			beat()
		}
	}()
	state := deskState(0, 600)
	state.routes = append(state.routes, route("r-export", "/ex311/", "idempotent", "wuno96b", int(exportTimeout.Milliseconds()), 20000, 2))
	s.apply(state)
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	results := make([]answer, readers)
	var all sync.WaitGroup
	for n := range readers {
		all.Go(func() { results[n] = readSlowly(rec, s.daemons[n%2].front) })
	}
	time.Sleep(crashAfter)
	if trouble {
		busiest := 0
		for n, p := range processes {
			if p.runs.Load() > processes[busiest].runs.Load() {
				busiest = n
			}
		}
		mu.Lock()
		old := *current[busiest]
		current[busiest] = nil
		mu.Unlock()
		processes[busiest].kill()
		time.AfterFunc(3*heartbeat, func() { s.store.remove(name("servers") + old.id) })
		time.Sleep(downTime)
		next := old
		next.id = "i-02d9e6b4"
		if _, err := startReplicaProcess(rec, next, exportLines, exportRate); err != nil {
			return false, err
		}
		mu.Lock()
		current[busiest] = &next
		mu.Unlock()
		beat()
	}
	all.Wait()
	cut, whole := 0, 0
	for n, a := range results {
		rec.say("reader %d, id %s: %v", n, a.id, a)
		switch {
		case a.status >= 200 && a.status < 300 && a.err == nil && len(a.body) != exportLines*lineBytes:
			rec.say("MIXED: reader %d got a success that ends as complete after %d of %d bytes", n, len(a.body), exportLines*lineBytes)
			cut++
		case a.status == http.StatusOK && a.err == nil:
			whole++
		}
	}
	if !trouble && whole != readers {
		return false, fmt.Errorf("%d of %d answers were whole without the disruption", whole, readers)
	}
	return cut > 0, nil
}

// readSlowly requests a long answer and reads it at readRate.
func readSlowly(rec *record, address string) answer {
	a := answer{id: newID()}
	c, err := openChannel(address)
	if err != nil {
		a.err = err
		return a
	}
	defer c.conn.Close()
	_ = c.conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	if a.err = c.send(a.id, http.MethodGet, "/ex311/list/", exportTimeout, nil); a.err != nil {
		return a
	}
	rec.add("GET /ex311/list/ is sent to %s, id %s", address, a.id)
	resp, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodGet})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.proof = resp.StatusCode, resp.Header.Get(name("proof"))
	buf, began := make([]byte, 16<<10), time.Now()
	for {
		n, err := resp.Body.Read(buf)
		a.body = append(a.body, buf[:n]...)
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		time.Sleep(time.Until(began.Add(time.Duration(len(a.body)) * time.Second / (readRate * lineBytes))))
	}
}

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualUploads is the number of uploads under way at each daemon at usual times, and burstUploads what
	// a burst adds: 1.7 times the usual traffic, as in the site file.
	usualUploads, burstUploads = 41, 28
	// uploadBytes is the length of a body, below body_bytes (4194304).
	uploadBytes = 4_000_000
	// uploadSlots is how many uploads a replica registers that it processes at once, and does.
	uploadSlots = 32
	// uploadWork is how long a replica works on an upload.
	uploadWork    = 2500 * time.Millisecond
	uploadTimeout = 20 * time.Second
	// burstLength and usualLength are the lengths of the burst and of the times before and after it.
	burstLength, usualLength = 3 * time.Second, 9 * time.Second
	// memoryMB is memory_mb of the settings.
	memoryMB = 284
	// allowedLost is how many requests from kept channels may be lost.
	allowedLost = 3
)

func init() { cases["memory"] = playMemory }

// playMemory: many users come at once and send bodies that the limits allow. The platform ends a process
// that exceeds its memory.
func playMemory(rec *record, home string, trouble bool) (bool, error) {
	s, err := newSite(rec, home, 2, staleReads)
	if err != nil {
		return false, err
	}
	defer s.close()
	var replicas []*replica
	for i := range 6 {
		r, err := s.newReplicaOf(fmt.Sprintf("i-7f3a91c%d", i), "wuno96b", i, uploadSlots)
		if err != nil {
			return false, err
		}
		r.work = uploadWork
		replicas = append(replicas, r)
	}
	state := deskState(0, 600)
	state.routes = append(state.routes, route("r-upload", "/up818/", name("atmostonce"), "wuno96b", int(uploadTimeout.Milliseconds()), 15000, 1))
	s.apply(state)
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	u := &uploads{site: s, stop: make(chan struct{}), body: bytes.Repeat([]byte("x"), uploadBytes)}
	for _, d := range s.daemons {
		u.watched.Go(func() { u.watchMemory(d) })
		for n := range usualUploads {
			u.running.Go(func() { u.client(d, n, nil) })
		}
		for n := range burstUploads {
			u.running.Go(func() { u.client(d, n, &u.bursting) })
		}
	}
	time.Sleep(usualLength)
	if trouble {
		rec.say("many users come at once")
		u.bursting.Store(true)
		time.Sleep(burstLength)
		u.bursting.Store(false)
		rec.say("the burst is over")
	}
	time.Sleep(usualLength)
	close(u.stop)
	u.running.Wait()
	u.watched.Wait()
	ran := map[string]bool{}
	for _, r := range replicas {
		for _, a := range r.arrivalsSince(time.Time{}) {
			ran[a.id] = true
		}
	}
	lost := 0
	for _, id := range u.unanswered {
		if ran[id] {
			rec.add("LOST: %s ran, and its kept channel ended without an answer", id)
			lost++
		}
	}
	rec.say("peak memory %d MB of %d; processes ended by the platform: %d", u.peak.Load(), memoryMB, u.ends.Load())
	rec.say("%d requests answered; %d were passed on and got no answer", u.answered.Load(), lost)
	return lost > allowedLost, nil
}

// uploads is the traffic of the case.
type uploads struct {
	site             *site
	stop             chan struct{}
	body             []byte
	running, watched sync.WaitGroup
	bursting         atomic.Bool
	answered         atomic.Int64
	peak, ends       atomic.Int64
	mu               sync.Mutex
	unanswered       []string // ids of requests whose channel ended without an answer
}

// client sends one upload after the other on a channel that it keeps. With when, it sends only while
// that is set.
func (u *uploads) client(d *daemon, n int, when *atomic.Bool) {
	time.Sleep(time.Duration(n) * uploadWork / usualUploads)
	var c *channel
	for {
		select {
		case <-u.stop:
			return
		default:
		}
		if when != nil && !when.Load() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if c == nil {
			var err error
			if c, err = openChannel(d.front); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		a := u.upload(c)
		u.site.rec.add("POST /up818/doc/ at %s, id %s: %v", node(d.index), a.id, a)
		if a.status != 0 {
			u.answered.Add(1)
			if a.status == http.StatusOK {
				continue
			}
			time.Sleep(100 * time.Millisecond)
		} else {
			u.mu.Lock()
			u.unanswered = append(u.unanswered, a.id)
			u.mu.Unlock()
		}
		c.conn.Close()
		c = nil
	}
}

func (u *uploads) upload(c *channel) answer {
	a := answer{id: newID()}
	r, err := http.NewRequest(http.MethodPost, "http://"+host+"/up818/doc/", bytes.NewReader(u.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Header.Set(name("attempt"), a.id)
	r.Header.Set(name("deadline"), fmt.Sprint(uploadTimeout.Milliseconds()))
	r.Header.Set("Authorization", "Token "+clientKey)
	_ = c.conn.SetDeadline(time.Now().Add(uploadTimeout + time.Second))
	if a.err = r.Write(c.conn); a.err != nil {
		return a
	}
	return c.receive(a, http.MethodPost)
}

// watchMemory ends a process that exceeds memory_mb, as the platform does, and starts it again.
func (u *uploads) watchMemory(d *daemon) {
	for {
		select {
		case <-u.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentMB(d.pid())
		u.peak.Store(max(u.peak.Load(), int64(used)))
		if used <= memoryMB {
			continue
		}
		u.site.rec.say("%s takes %d MB: the platform ends the process", node(d.index), used)
		u.ends.Add(1)
		d.kill()
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			u.site.rec.say("start: %v", err)
		}
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	at      time.Time
	id, uri string
}

// replica is a replica of a plain service inside this process.
type replica struct {
	site  *site
	entry entry
	work  time.Duration
	slots chan struct{}

	mu       sync.Mutex
	arrivals []arrival
	running  map[string]bool // ids of the requests at work
	stop     chan struct{}
	server   *http.Server
}

func (s *site) newReplica(id, service string, index int) (*replica, error) {
	return s.newReplicaOf(id, service, index, 6)
}

// newReplicaOf starts a replica that registers slots and processes as many requests at once.
func (s *site) newReplicaOf(id, service string, index, slots int) (*replica, error) {
	address, err := s.replicaAddress()
	if err != nil {
		return nil, err
	}
	r := &replica{
		site: s, entry: entry{id: id, service: service, address: address, zone: zone(index), slots: slots}, work: 15 * time.Millisecond,
		slots: make(chan struct{}, slots), running: map[string]bool{}, stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.beat()
	go r.beats()
	return r, nil
}

// beats writes the entry at each heartbeat until the replica has left.
func (r *replica) beats() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.beat()
		case <-r.stop:
			return
		}
	}
}

func (r *replica) beat() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.site.register(&r.entry)
}

// drain reports that the replica leaves and returns when the store has accepted that.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.entry.draining = true
	r.mu.Unlock()
	acked := r.beat()
	r.site.rec.say("replica %s reports draining; the store accepts that", r.entry.id)
	return acked
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(name("attempt"))
	if q.URL.Path == "/healthz" {
		w.Header().Set(name("instance"), r.entry.id)
		return
	}
	if want := q.Header.Get(name("expect")); want != "" && want != r.entry.id {
		w.Header().Set(name("instance"), r.entry.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{at: time.Now(), id: id, uri: q.RequestURI})
	r.running[id] = true
	r.mu.Unlock()
	defer r.done(id)
	r.site.rec.add("replica %s runs %s %s, id %s", r.entry.id, q.Method, q.RequestURI, id)
	_, _ = io.Copy(io.Discard, q.Body)
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	w.Header().Set(name("attempt"), id)
	w.Header().Set(name("proof"), proofOf(r.entry.id, id))
	fmt.Fprintf(w, "answer to %s", id)
}

func (r *replica) done(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
}

// exit ends the replica and its channels, and removes its entry. It returns the number of requests at
// work then.
func (r *replica) exit() (lost int) {
	close(r.stop)
	r.mu.Lock()
	lost = len(r.running)
	for id := range r.running {
		r.site.rec.add("replica %s ends while it works on %s", r.entry.id, id)
	}
	r.mu.Unlock()
	_ = r.server.Close()
	r.site.store.remove(name("servers") + r.entry.id)
	r.site.rec.say("replica %s ends", r.entry.id)
	return lost
}

func proofOf(replicaID, id string) string { return replicaID + "." + id }

// arrivalsSince returns the requests that reached the replica after a time.
func (r *replica) arrivalsSince(t time.Time) (late []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

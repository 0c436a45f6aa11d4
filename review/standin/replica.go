package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request at a replica.
type run struct {
	attempt, replica string
	method, path     string
	at, endedAt      time.Time
	outcome          string // empty while it runs
}

// runs holds what all replicas have run.
type runs struct {
	sync.Mutex
	list []*run
}

func (r *runs) snapshot() []run {
	r.Lock()
	defer r.Unlock()
	list := make([]run, len(r.list))
	for i, x := range r.list {
		list[i] = *x
	}
	return list
}

// of returns the runs of a client attempt.
func (r *runs) of(attempt string) (list []run) {
	for _, x := range r.snapshot() {
		if x.attempt == attempt {
			list = append(list, x)
		}
	}
	return list
}

// replica is a stand-in of a plain service's replica, or of a model replica where events is set.
type replica struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	events                     int  // of a stream
	unframed                   bool // its answers have no length and end with their channels
	readsPrompts               bool // its first event takes the time of reading the prompt
	// eventsAt is the number of events of streams by path, where it isn't that of events.
	eventsAt map[string]int
	runs     *runs
	record   *record
	listener net.Listener
	server   *http.Server
	reading  sync.Mutex

	mu     sync.Mutex    // guards the fields below, and id
	born   int64         // Unix milliseconds of the start of this boot
	exited chan struct{} // closed at the end of this boot
}

func newReplica(id, service, zone string, slots int, work time.Duration, events int, all *runs, r *record) *replica {
	return newReplicaAt(listen("127.0.0.1"), id, service, zone, slots, work, events, all, r)
}

func newReplicaAt(l net.Listener, id, service, zone string, slots int, work time.Duration, events int, all *runs, r *record) *replica {
	p := &replica{
		id: id, service: service, zone: zone, slots: slots, work: work, events: events, runs: all, record: r,
		listener: l, born: time.Now().UnixMilli(), exited: make(chan struct{}),
	}
	p.address = p.listener.Addr().String()
	p.server = &http.Server{Handler: p}
	go p.server.Serve(p.listener)
	return p
}

// key returns the key of the replica's entry in the store.
func (p *replica) key() string {
	id, _ := p.boot()
	return wire["replicas"] + id
}

// entry is what the replica writes there.
func (p *replica) entry(state string) map[string]any {
	e := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": p.bornAt(),
	}
	if p.events > 0 {
		e["phase"], e["models"] = "mixed", models
	}
	return e
}

var models = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}

func (p *replica) bornAt() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.born
}

// boot returns the id of this boot and the channel that is closed at its end.
func (p *replica) boot() (id string, exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id, p.exited
}

// exit ends the process of the replica: its port and all its channels are closed.
func (p *replica) exit() {
	p.mu.Lock()
	close(p.exited)
	p.mu.Unlock()
	_ = p.server.Close()
}

// crashAndRestart ends the process of the replica, which closes its channels, and starts it again with a
// new id. Its supervisor holds the listening socket all the while.
func (p *replica) crashAndRestart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.exited)
	p.id, p.born, p.exited = id, time.Now().UnixMilli(), make(chan struct{})
}

// ServeHTTP runs a request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, exited := p.boot()
	if r.URL.Path == "/healthz" {
		w.Header().Set(wire["instance"], id)
		return
	}
	if r.URL.Path == wire["report"] && p.events > 0 {
		reply(w, map[string]any{
			"phase": "mixed", "models": models, "busy": false, "sequence": 1, "queued": 0, "running": 0,
			"kv_used": 0, "kv_total": 88000, "handles": 0, "runs": [][]any{}, "born": p.bornAt(),
		})
		return
	}
	if r.URL.Path == wire["cache"] && p.events > 0 {
		reply(w, map[string]any{"epoch": 1, "next": 1, "held": [][]any{}, "born": p.bornAt()})
		return
	}
	attempt := r.Header.Get(wire["attempt"])
	switch expected := r.Header.Get(wire["expected instance"]); {
	case expected != "" && expected != id:
		w.Header().Set(wire["instance"], id)
		w.Header().Set(wire["not run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set(wire["not run"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	x := &run{attempt: attempt, replica: id, method: r.Method, path: r.URL.Path, at: time.Now()}
	p.runs.Lock()
	p.runs.list = append(p.runs.list, x)
	p.runs.Unlock()
	p.record.printf("replica %s: begins %s %s %s", id, r.Method, r.URL.Path, attempt)
	end := func(outcome string) {
		p.runs.Lock()
		x.outcome, x.endedAt = outcome, time.Now()
		p.runs.Unlock()
		p.record.printf("replica %s: %s %s", id, attempt, outcome)
	}
	w.Header().Set(wire["attempt"], attempt)
	w.Header().Set(wire["signature"], signature(id, attempt))
	if p.events > 0 {
		end(p.stream(w, r, exited))
		return
	}
	select {
	case <-time.After(p.work):
		body := fmt.Sprintf("answer of %s to %s\n", id, attempt)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		end("answered")
	case <-exited:
		end("cut: the replica has exited")
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		end("dropped: its channel was closed")
	}
}

// read reads a prompt, one after the other, and reports whether it has read all of it.
func (p *replica) read(r *http.Request, exited <-chan struct{}) bool {
	count, _, _ := strings.Cut(r.Header.Get(wire["tokens"]), ",")
	tokens, _ := strconv.Atoi(count)
	p.reading.Lock()
	defer p.reading.Unlock()
	select {
	case <-time.After(time.Duration(tokens) * time.Millisecond / tokensPerMillisecond):
		return true
	case <-exited:
	case <-r.Context().Done():
	}
	return false
}

// tokensPerMillisecond is how fast a model replica reads prompts.
const tokensPerMillisecond = 8

// signature is the proof of a replica's answer.
func signature(id, attempt string) string { return "sig." + id + "." + attempt }

// stream writes the events of a stream after the last one that the client has.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, exited <-chan struct{}) (outcome string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	if p.unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if p.readsPrompts && !p.read(r, exited) {
		return "ended before its first event"
	}
	events, ok := p.eventsAt[r.URL.Path]
	if !ok {
		events = p.events
	}
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(p.work):
		case <-exited:
			return fmt.Sprintf("cut after event %d: the replica has exited", n-1)
		case <-r.Context().Done():
			return fmt.Sprintf("dropped after event %d: its channel was closed", n-1)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
	return "answered"
}

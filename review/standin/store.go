package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the largest number of items in one page of a list: "at most about 500 items".
const pageItems = 500

// item is a key of the store, or its removal, as calls return it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

// store is a stand-in of the platform's metadata store. It keeps its whole history, so that a read
// with stale_ok can be answered as of an earlier moment.
type store struct {
	address string
	// staleness returns how old the answer to a read with stale_ok is; after is the key after which
	// the page begins.
	staleness func(after string) time.Duration
	record    *record

	mu       sync.Mutex
	revision int64
	history  []item // in the order of revisions
	leases   map[int64]*lease
	changed  chan struct{}
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore(r *record) *store {
	s := &store{
		record: r, revision: 100, leases: map[int64]*lease{}, changed: make(chan struct{}),
		staleness: func(string) time.Duration { return 0 },
	}
	l := listen("127.0.0.1")
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire["get"], s.get)
	mux.HandleFunc("GET "+wire["list"], s.list)
	mux.HandleFunc("GET "+wire["watch"], s.watch)
	mux.HandleFunc("POST "+wire["txn"], s.txn)
	mux.HandleFunc("POST "+wire["grant"], s.grant)
	mux.HandleFunc("POST "+wire["keep"], s.keep)
	mux.HandleFunc("DELETE "+wire["end"], s.end)
	go http.Serve(l, mux)
	return s
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	return l
}

// append adds a change. The caller holds the lock.
func (s *store) append(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a replica does, and returns when that is acknowledged.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.append(item{Key: key, Value: raw, Revision: s.revision, Created: s.revision})
}

// remove removes a key as a replica does that leaves.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
}

// stateAt returns the keys as of a moment and the revision then. The caller holds the lock.
func (s *store) stateAt(t time.Time) (map[string]item, int64) {
	state, revision := map[string]item{}, int64(100)
	for _, i := range s.history {
		if i.at.After(t) {
			break
		}
		revision = i.Revision
		if i.Tombstone {
			delete(state, i.Key)
		} else {
			state[i.Key] = i
		}
	}
	return state, revision
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	state, revision := s.stateAt(time.Now())
	s.mu.Unlock()
	i, ok := state[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, age := q.Get("after"), time.Duration(0)
	if q.Get("stale_ok") == "1" {
		age = s.staleness(after)
	}
	s.mu.Lock()
	state, revision := s.stateAt(time.Now().Add(-age))
	s.mu.Unlock()
	keys := []string{}
	for key := range state {
		if strings.HasPrefix(key, q.Get(wire["prefix"])) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, state[key])
	}
	if q.Get("stale_ok") == "1" {
		s.record.printf("store: stale read of %q after %q: %d items, as of revision %d, %v old", q.Get(wire["prefix"]), after, len(items), revision, age)
	}
	reply(w, map[string]any{"items": items, "has_more": more, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get(wire["prefix"])) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var conditions, puts []item
	var removes []string
	body := map[string]json.RawMessage{}
	bad := json.NewDecoder(r.Body).Decode(&body) != nil
	for field, target := range map[string]any{wire["conditions"]: &conditions, "puts": &puts, "remove": &removes} {
		bad = bad || body[field] != nil && json.Unmarshal(body[field], target) != nil
	}
	if bad {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ := s.stateAt(time.Now())
	for _, c := range conditions {
		if state[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range puts {
		created := s.revision
		if old, ok := state[p.Key]; ok {
			created = old.Created
		}
		s.append(item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: p.Lease})
	}
	for _, key := range removes {
		s.append(item{Key: key, Revision: s.revision, Tombstone: true})
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(q.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(77000 + len(s.history) + len(s.leases))
	for s.leases[id] != nil {
		id++
	}
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	reply(w, map[string]any{"lease": id, "ttl_ms": q.TTL})
}

func leaseOf(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return id
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[leaseOf(r)]
	if l == nil || !l.timer.Stop() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	if !s.endLease(leaseOf(r)) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{})
}

// endLease ends a lease and removes its keys.
func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	state, _ := s.stateAt(time.Now())
	for key, i := range state {
		if i.Lease == id {
			s.revision++
			s.append(item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	return true
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps its history (retention_s of the sheets).
	historyTime = 20 * time.Second
	// pageItems and pageBytes bound a page of a list.
	pageItems, pageBytes = 500, 1 << 20
	// storeLatency is how long an answer takes (4 ms on the sheets).
	storeLatency = 4 * time.Millisecond
)

// storeItem is a key as the store returns it.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// change is one write or removal.
type change struct {
	at   time.Time
	item storeItem
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	rec      *record
	staleAge time.Duration // how old reads are that need not be current

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	log      []change // all changes
	dropped  int64    // revision up to which watches get no history
	leases   map[int64]*storeLease
	lastID   int64
	changed  chan struct{}
}

func newStore(rec *record, staleAge time.Duration) *store {
	s := &store{rec: rec, staleAge: staleAge, revision: 100, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, lastID: 7000, changed: make(chan struct{})}
	s.dropped = s.revision
	return s
}

// serve serves the store on a free port and returns its address.
func (s *store) serve(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	go s.maintain()
	return l.Addr().String(), nil
}

func (s *store) maintain() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		for _, c := range s.log {
			if now.Sub(c.at) < historyTime {
				break
			}
			s.dropped = max(s.dropped, c.item.Revision)
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.removeKey(key)
		}
	}
}

func (s *store) removeKey(key string) {
	s.revision++
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) setKey(key string, value []byte, lease int64) {
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.append(item)
}

func (s *store) append(item storeItem) {
	s.log = append(s.log, change{time.Now(), item})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key on behalf of the operator or a replica; its return is the ack.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setKey(key, value, 0)
}

// remove removes a key on behalf of a replica.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.removeKey(key)
	}
}

// asOf returns the items and the revision as they were at a time.
func (s *store) asOf(t time.Time) (items map[string]storeItem, revision int64) {
	items, revision = map[string]storeItem{}, 100
	for _, c := range s.log {
		if c.at.After(t) {
			break
		}
		revision = c.item.Revision
		if c.item.Tombstone {
			delete(items, c.item.Key)
		} else {
			items[c.item.Key] = c.item
		}
	}
	return items, revision
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch path := r.URL.Path; {
	case path == name("kvkey"):
		s.serveKey(w, r)
	case path == name("kvrange"):
		s.serveRange(w, r)
	case path == name("kvwatch"):
		s.serveWatch(w, r)
	case path == name("kvtxn"):
		s.serveTransaction(w, r)
	case path == name("kvlease"):
		s.serveGrant(w, r)
	case strings.HasPrefix(path, name("kvkeep")):
		s.serveKeep(w, path[len(name("kvkeep")):], false)
	case strings.HasPrefix(path, name("kvend")):
		s.serveKeep(w, path[len(name("kvend")):], true)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AsOf int64 `json:"as_of"`
	}{item, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items, revision := s.items, s.revision
	if q.Get("stale_ok") == "1" {
		items, revision = s.asOf(time.Now().Add(-s.staleAge))
	}
	var keys []string
	for key := range items {
		if strings.HasPrefix(key, q.Get(name("keyprefix"))) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items []storeItem `json:"items"`
		More  bool        `json:"has_more"`
		AsOf  int64       `json:"as_of"`
	}{Items: []storeItem{}, AsOf: revision}
	size := 0
	for _, key := range keys {
		if len(page.Items) == pageItems || size >= pageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, items[key])
		size += len(items[key].Value)
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		answer := struct {
			Events []storeItem `json:"events"`
			AsOf   int64       `json:"as_of"`
		}{Events: []storeItem{}, AsOf: s.revision}
		for _, c := range s.log {
			if c.item.Revision > after && strings.HasPrefix(c.item.Key, q.Get(name("keyprefix"))) {
				answer.Events = append(answer.Events, c.item)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 || !waiting {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t map[string]json.RawMessage
	var conditions, puts []storeItem
	var removes []string
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = json.Unmarshal(t[name("expected")], &conditions)
	_ = json.Unmarshal(t["puts"], &puts)
	_ = json.Unmarshal(t["remove"], &removes)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conditions {
		if s.items[c.Key].Revision != c.Revision {
			current := []storeItem{}
			for _, c := range conditions {
				if item, ok := s.items[c.Key]; ok {
					current = append(current, item)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	for _, p := range puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range puts {
		s.setKey(p.Key, p.Value, p.Lease)
	}
	for _, key := range removes {
		if _, ok := s.items[key]; ok {
			s.removeKey(key)
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	s.mu.Lock()
	s.lastID++
	id, ttl := s.lastID, time.Duration(max(q.TTL, 1000))*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, text string, end bool) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if end {
		s.endLease(id)
		reply(w, http.StatusOK, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

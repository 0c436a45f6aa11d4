package process

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// poisonPrefix begins the names of requests that end the server which runs them.
	poisonPrefix = "poison-"
	// poisonEvery is the time between two attempts, poisonFor how long they come.
	poisonEvery = 150 * time.Millisecond
	poisonFor   = 5 * time.Second
	// poisonBack is how long a server is away that ended so.
	poisonBack = 800 * time.Millisecond
	// poisonEnds is how many servers may end under one: the third end has to be known, while
	// daemons start again or are cut off.
	poisonEnds = 15
)

func isPoison(path string) bool { return strings.Contains(path, poisonPrefix) }

// poison has a request that ends its servers come again and again, at all daemons.
func (w *world) poison(ctx context.Context) {
	w.mu.Lock()
	w.poisons++
	name, kind := fmt.Sprintf("%s%d", poisonPrefix, w.poisons), callKind(w.random.IntN(int(callKinds)))
	n := poisonCallers + w.poisons
	w.mu.Unlock()
	var all sync.WaitGroup
	for k := 0; time.Duration(k)*poisonEvery < poisonFor && ctx.Err() == nil; k++ {
		all.Go(func() {
			c := w.newCaller(n)
			defer c.http.CloseIdleConnections()
			c.name, c.leaves = name, 0
			c.judge(kind, fmt.Sprintf("%s-%d", name, k), name, 0, c.send(ctx, kind, fmt.Sprintf("%s-%d", name, k), name, 0))
		})
		w.disturb(ctx, poisonEvery)
	}
	all.Wait()
	w.mu.Lock()
	ends := w.endedUnder[name]
	w.mu.Unlock()
	if ends > poisonEnds {
		w.ledger.violate("%d servers ended under %s", ends, name)
	}
	w.note("%s ended %d servers", name, ends)
}

// poisonCallers are above the numbers of other callers.
const poisonCallers = 1000

// endUnder ends a server under a request, and starts it again. It reports whether it did: a
// server that another fault has in hand goes on.
func (s *server) endUnder(r *http.Request) bool {
	if !s.life.TryLock() {
		return false
	}
	if s.gone {
		s.life.Unlock()
		return false
	}
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	s.world.mu.Lock()
	s.world.endedUnder[name]++
	s.world.mu.Unlock()
	s.world.ledger.count("ended")
	old := s.entry(false).ID
	s.crash()
	s.world.ending.Go(func() {
		defer s.life.Unlock()
		time.Sleep(poisonBack)
		s.begin(false)
		s.link.set(linkPass)
		s.world.register(s, false)
		s.world.unregister(old)
	})
	return true
}

package poison

import "time"

const (
	// MaxTrackedRequests bounds the requests for which a daemon counts terminations.
	MaxTrackedRequests = 4096
	// retention is how long the count of a request is kept after its last termination.
	retention = time.Hour
)

// CrashCounter counts the servers that terminated while running each request, by a key of the
// server's incarnation. The zero value is empty. It is not safe for concurrent use.
//
// When it is full it evicts a request with the fewest terminations, of these the one that is
// unchanged for the longest time: a caller whose requests each saw one unrelated termination cannot
// evict a request with more of them.
type CrashCounter[K comparable] struct {
	requests map[string]*crashRecord[K] // by digest
}

// crashRecord holds the terminations of servers that ran one request.
type crashRecord[K comparable] struct {
	servers   map[K]bool // by incarnation: a server that terminated under two attempts counts once
	lastCrash time.Time  // time of the last termination
}

// Record counts the termination of a server incarnation that ran a request. It reports whether it
// was not counted before.
func (c *CrashCounter[K]) Record(now time.Time, digest string, incarnation K) (added bool) {
	if c.requests == nil {
		c.requests = map[string]*crashRecord[K]{}
	}
	rec := c.requests[digest]
	if rec == nil || now.Sub(rec.lastCrash) >= retention {
		c.evict(digest)
		rec = &crashRecord[K]{servers: map[K]bool{}}
		c.requests[digest] = rec
	}
	added = !rec.servers[incarnation]
	rec.servers[incarnation], rec.lastCrash = true, now
	return added
}

// Mark returns the mark of a request according to the terminations counted here.
func (c *CrashCounter[K]) Mark(digest string) Mark {
	if rec := c.requests[digest]; rec != nil {
		return markFor(len(rec.servers))
	}
	return Unmarked
}

// Clear removes the count of a request. It reports whether there was one.
func (c *CrashCounter[K]) Clear(digest string) bool {
	_, known := c.requests[digest]
	delete(c.requests, digest)
	return known
}

func (c *CrashCounter[K]) evict(digest string) {
	if len(c.requests) < MaxTrackedRequests || c.requests[digest] != nil {
		return
	}
	least := ""
	for other, rec := range c.requests {
		if least == "" || rec.evictsBefore(c.requests[least]) {
			least = other
		}
	}
	delete(c.requests, least)
}

// evictsBefore reports whether r is evicted before another record.
func (r *crashRecord[K]) evictsBefore(other *crashRecord[K]) bool {
	if len(r.servers) != len(other.servers) {
		return len(r.servers) < len(other.servers)
	}
	return r.lastCrash.Before(other.lastCrash)
}

package poison

import "time"

const (
	// MaxTrackedRequests bounds the requests of which a daemon remembers ends of servers.
	MaxTrackedRequests = 4096
	// retention is how long a request is remembered under which no further server ended.
	retention = time.Hour
)

// CrashCounter counts the servers that ended under each request, by a key of the server's life. The zero value is empty. It is
// not safe for concurrent use.
//
// Where it is full a request with the fewest ends makes room, the longest unchanged of
// those: a caller whose requests are unlucky once each pushes out none that ended more.
type CrashCounter[L comparable] struct {
	requests map[string]*crashRecord[L] // by digest
}

// crashRecord are those of servers under one request.
type crashRecord[L comparable] struct {
	servers   map[L]bool // one that ended under two attempts counts once
	lastCrash time.Time  // of the last
}

// Record records that a life of a server ended under a request. It reports whether that was
// not known.
func (c *CrashCounter[L]) Record(now time.Time, digest string, incarnation L) (added bool) {
	if c.requests == nil {
		c.requests = map[string]*crashRecord[L]{}
	}
	rec := c.requests[digest]
	if rec == nil || now.Sub(rec.lastCrash) >= retention {
		c.evict(digest)
		rec = &crashRecord[L]{servers: map[L]bool{}}
		c.requests[digest] = rec
	}
	added = !rec.servers[incarnation]
	rec.servers[incarnation], rec.lastCrash = true, now
	return added
}

// Mark is the mark of a request by what is counted here.
func (c *CrashCounter[L]) Mark(digest string) Mark {
	if rec := c.requests[digest]; rec != nil {
		return markFor(len(rec.servers))
	}
	return Unmarked
}

// Clear forgets what is counted of a request. It reports whether there was anything.
func (c *CrashCounter[L]) Clear(digest string) bool {
	_, known := c.requests[digest]
	delete(c.requests, digest)
	return known
}

func (c *CrashCounter[L]) evict(digest string) {
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

// evictsBefore reports whether e makes room before another.
func (r *crashRecord[L]) evictsBefore(other *crashRecord[L]) bool {
	if len(r.servers) != len(other.servers) {
		return len(r.servers) < len(other.servers)
	}
	return r.lastCrash.Before(other.lastCrash)
}

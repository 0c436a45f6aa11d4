package poison

import "time"

const (
	// MaxTrackedRequests bounds the requests of which a daemon remembers ends of servers.
	MaxTrackedRequests = 4096
	// remembered is how long a request is remembered under which no further server ended.
	remembered = time.Hour
)

// CrashCounter counts the servers that ended under each request, by a key of the server's life. The zero value is empty. It is
// not safe for concurrent use.
//
// Where it is full a request with the fewest ends makes room, the longest unchanged of
// those: a caller whose requests are unlucky once each pushes out none that ended more.
type CrashCounter[L comparable] struct {
	requests map[string]*ends[L] // by digest
}

// ends are those of servers under one request.
type ends[L comparable] struct {
	servers map[L]bool // one that ended under two attempts counts once
	at      time.Time  // of the last
}

// Record records that a life of a server ended under a request. It reports whether that was
// not known.
func (l *CrashCounter[L]) Record(now time.Time, digest string, life L) (fresh bool) {
	if l.requests == nil {
		l.requests = map[string]*ends[L]{}
	}
	one := l.requests[digest]
	if one == nil || now.Sub(one.at) >= remembered {
		l.makeRoom(digest)
		one = &ends[L]{servers: map[L]bool{}}
		l.requests[digest] = one
	}
	fresh = !one.servers[life]
	one.servers[life], one.at = true, now
	return fresh
}

// Mark is the mark of a request by what is counted here.
func (l *CrashCounter[L]) Mark(digest string) Mark {
	if one := l.requests[digest]; one != nil {
		return markAfter(len(one.servers))
	}
	return Unmarked
}

// Clear forgets what is counted of a request. It reports whether there was anything.
func (l *CrashCounter[L]) Clear(digest string) bool {
	_, known := l.requests[digest]
	delete(l.requests, digest)
	return known
}

func (l *CrashCounter[L]) makeRoom(digest string) {
	if len(l.requests) < MaxTrackedRequests || l.requests[digest] != nil {
		return
	}
	least := ""
	for other, one := range l.requests {
		if least == "" || one.before(l.requests[least]) {
			least = other
		}
	}
	delete(l.requests, least)
}

// before reports whether e makes room before another.
func (e *ends[L]) before(other *ends[L]) bool {
	if len(e.servers) != len(other.servers) {
		return len(e.servers) < len(other.servers)
	}
	return e.at.Before(other.at)
}

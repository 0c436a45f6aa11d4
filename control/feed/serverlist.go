package feed

import (
	"iter"
	"maps"

	"github.com/tidwall/btree"

	"mallowwind.dev/control/routing"
)

// ServerList is an immutable list of the usable backend servers of one service, sorted by id. Two
// successive views share the list of a service that has not changed; a changed one shares all parts
// that have not changed. The methods of a nil ServerList are those of an empty one.
type ServerList struct {
	byID     *btree.Map[string, *routing.Server]
	versions VersionCounts
}

// VersionCounts holds the numbers of servers of a service, by version.
type VersionCounts struct {
	All       map[string]int
	Accepting map[string]int // without those that are draining
}

func (c VersionCounts) clone() VersionCounts {
	return VersionCounts{All: maps.Clone(c.All), Accepting: maps.Clone(c.Accepting)}
}

// Len returns the number of servers.
func (l *ServerList) Len() int {
	if l == nil {
		return 0
	}
	return l.byID.Len()
}

// Get returns the server with an id.
func (l *ServerList) Get(id string) (routing.Server, bool) {
	if l == nil {
		return routing.Server{}, false
	}
	s, ok := l.byID.Get(id)
	if !ok {
		return routing.Server{}, false
	}
	return *s, true
}

// VersionCounts returns the numbers of servers of each version. The caller must not change them.
func (l *ServerList) VersionCounts() VersionCounts {
	if l == nil {
		return VersionCounts{}
	}
	return l.versions
}

// All returns the servers in the order of their ids.
func (l *ServerList) All() iter.Seq[routing.Server] {
	return func(yield func(routing.Server) bool) {
		if l != nil {
			l.byID.Scan(func(_ string, s *routing.Server) bool { return yield(*s) })
		}
	}
}

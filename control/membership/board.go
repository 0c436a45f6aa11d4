package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// newsSpread scales how often news is passed on, as in decision/gossip.
	newsSpread = 4
	// newsPerMessage bounds the news of one kind that an exchange carries.
	newsPerMessage = 16
	// newsFresh is the age at which news is passed on no more.
	newsFresh = time.Minute
	// newsKept is how long news is remembered, so that it is not taken for
	// new when it arrives again.
	newsKept = time.Hour
)

// board holds the newest news of each subject and how often it is still to be
// passed on. Manager.mu guards it.
type board[T comparable] map[string]*item[T]

type item[T comparable] struct {
	id    string
	value T
	seen  time.Time
	sends int
}

// keep remembers news if it is newer than what is known of its subject, and
// reports whether it is to be passed on. Many daemons find the same change;
// only the first report of it is.
func (b board[T]) keep(id string, value T, seen time.Time, members int) bool {
	if old, ok := b[id]; ok {
		if !seen.After(old.seen) {
			return false
		}
		if old.value == value {
			old.seen = seen
			return false
		}
	}
	maps.DeleteFunc(b, func(_ string, old *item[T]) bool { return seen.Sub(old.seen) > newsKept })
	b[id] = &item[T]{id: id, value: value, seen: seen, sends: newsSpread * bits.Len(uint(members))}
	return true
}

// due returns the news to pass on with the next exchange, the least passed on
// first, and counts it as passed on.
func (b board[T]) due(now time.Time) []*item[T] {
	var due []*item[T]
	for _, n := range b {
		if n.sends > 0 && now.Sub(n.seen) < newsFresh {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(a, b *item[T]) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.id, b.id))
	})
	due = due[:min(len(due), newsPerMessage)]
	for _, n := range due {
		n.sends--
	}
	return due
}

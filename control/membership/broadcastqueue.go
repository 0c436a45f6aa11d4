package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// retransmitFactor scales how often news is passed on, as in decision/gossip.
	retransmitFactor = 4
	// maxBroadcastsPerMessage bounds the news of one kind that an exchange carries.
	maxBroadcastsPerMessage = 16
	// maxBroadcastAge is the age at which news is passed on no more.
	maxBroadcastAge = time.Minute
	// broadcastRetention is how long news is remembered, so that it is not taken for
	// new when it arrives again.
	broadcastRetention = time.Hour
)

// broadcastQueue holds the newest news of each subject and how often it is still to be
// passed on. Manager.mu guards it.
type broadcastQueue[T comparable] map[string]*broadcast[T]

type broadcast[T comparable] struct {
	id             string
	value          T
	seenAt         time.Time
	remainingSends int
}

// add remembers news if it is newer than what is known of its subject, and
// reports whether it is to be passed on. Many daemons find the same change;
// only the first report of it is.
func (b broadcastQueue[T]) add(id string, value T, seen time.Time, members int) bool {
	if old, ok := b[id]; ok {
		if !seen.After(old.seenAt) {
			return false
		}
		if old.value == value {
			old.seenAt = seen
			return false
		}
	}
	maps.DeleteFunc(b, func(_ string, old *broadcast[T]) bool { return seen.Sub(old.seenAt) > broadcastRetention })
	b[id] = &broadcast[T]{id: id, value: value, seenAt: seen, remainingSends: retransmitFactor * bits.Len(uint(members))}
	return true
}

// nextBatch returns the news to pass on with the next exchange, the least passed on
// first, and counts it as passed on.
func (b broadcastQueue[T]) nextBatch(now time.Time) []*broadcast[T] {
	var due []*broadcast[T]
	for _, n := range b {
		if n.remainingSends > 0 && now.Sub(n.seenAt) < maxBroadcastAge {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, func(a, b *broadcast[T]) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), cmp.Compare(a.id, b.id))
	})
	due = due[:min(len(due), maxBroadcastsPerMessage)]
	for _, n := range due {
		n.remainingSends--
	}
	return due
}

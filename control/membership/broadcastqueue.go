package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// retransmitFactor scales how often a broadcast is sent, as in decision/gossip.
	retransmitFactor = 4
	// maxBroadcastsPerMessage bounds the broadcasts of one kind in one message.
	maxBroadcastsPerMessage = 16
	// maxBroadcastAge is the age from which a broadcast is no longer sent.
	maxBroadcastAge = time.Minute
	// broadcastRetention is how long a broadcast is remembered, so that it is not taken for new when
	// it arrives again.
	broadcastRetention = time.Hour
)

// broadcastQueue holds the newest broadcast for each id and how often it is still to be sent.
// Manager.mu guards it.
type broadcastQueue[T comparable] map[string]*broadcast[T]

type broadcast[T comparable] struct {
	id             string
	value          T
	seenAt         time.Time
	remainingSends int
}

// add stores a broadcast if it is newer than the stored one for its id, and reports whether it is to
// be sent on. Many daemons detect the same change; only the first report of it is sent on.
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

// nextBatch returns the broadcasts for the next message, those with the most remaining sends first,
// and counts them as sent.
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

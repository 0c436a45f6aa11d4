package feed

import (
	"maps"
	"slices"

	"mallowwind.dev/external/store"
)

// maxRemovedKeys bounds how many removed keys are remembered, so that another
// daemon can be told what changed since it last asked. A zone that fails and
// returns removes some dozens; a daemon that asks every half second is never
// that far behind.
const maxRemovedKeys = 512

// entries are the keys of the store as they were read, and which were removed.
type entries struct {
	kvs     map[string]store.KV
	removed map[string]int64 // revision of the removal
	// newestVersion is the latest version of a key: one that was read by itself is ahead of the
	// revision up to which everything is known.
	newestVersion int64
	// removalFloor is the revision from which removals are remembered.
	removalFloor int64
}

func newEntries() *entries {
	return &entries{kvs: map[string]store.KV{}, removed: map[string]int64{}}
}

func (e *entries) put(kv store.KV) {
	e.kvs[kv.Key] = kv
	e.newestVersion = max(e.newestVersion, kv.Version)
	delete(e.removed, kv.Key)
}

// remove notes that a key was removed by the given revision.
func (e *entries) remove(key string, revision int64) {
	if _, ok := e.kvs[key]; !ok {
		return
	}
	delete(e.kvs, key)
	e.removed[key] = revision
	if len(e.removed) > maxRemovedKeys {
		e.evictOldestRemoval()
	}
}

func (e *entries) evictOldestRemoval() {
	oldest, at := "", int64(0)
	for key, revision := range e.removed {
		if oldest == "" || revision < at {
			oldest, at = key, revision
		}
	}
	delete(e.removed, oldest)
	e.removalFloor = max(e.removalFloor, at)
}

// delta is what changed after a revision.
type delta struct {
	puts []store.KV
	// removedKeys are the keys that were removed since, unless present is set.
	removedKeys []string
	// presentKeys are all keys that there are: what was removed since is not known any more.
	presentKeys []string
	// full says that puts are everything there is.
	full bool
}

// since returns what changed after a revision.
func (e *entries) since(revision int64) delta {
	d := delta{full: revision == 0}
	for _, kv := range e.kvs {
		if d.full || kv.Version > revision {
			d.puts = append(d.puts, kv)
		}
	}
	switch {
	case d.full:
	case revision < e.removalFloor:
		d.presentKeys = slices.Collect(maps.Keys(e.kvs))
	default:
		for key, revision := range e.removed {
			if revision > revision {
				d.removedKeys = append(d.removedKeys, key)
			}
		}
	}
	return d
}

// absent returns the keys that are not among those present.
func (e *entries) absent(present []string) (keys []string) {
	isPresent := make(map[string]bool, len(present))
	for _, key := range present {
		isPresent[key] = true
	}
	for key := range e.kvs {
		if !isPresent[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

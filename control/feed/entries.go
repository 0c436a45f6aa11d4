package feed

import (
	"maps"
	"slices"

	"mallowwind.dev/external/store"
)

// maxRemovedKeys bounds how many removed keys are remembered to answer peers that ask for changes
// since a revision. A zone that fails and returns removes some dozens of keys; a peer that polls
// every half second is never that far behind.
const maxRemovedKeys = 512

// entries holds the keys of the store as they were read, and the keys that were removed.
type entries struct {
	kvs     map[string]store.KV
	removed map[string]int64 // revision of each removal, by key
	// newestVersion is the highest version of any key. It can exceed the revision up to which the
	// whole store is known, because a key can be read on its own.
	newestVersion int64
	// removalFloor is the revision after which every removal is remembered.
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

// remove records that a key was removed as of the given revision.
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

// delta holds the changes after a revision.
type delta struct {
	puts []store.KV
	// removedKeys holds the keys removed since; it is unused if presentKeys is set.
	removedKeys []string
	// presentKeys holds all existing keys. It replaces removedKeys if the removals since the
	// revision are no longer known.
	presentKeys []string
	// full reports that puts holds every entry, not only the changed ones.
	full bool
}

// since returns the changes after a revision; 0 selects every entry.
func (e *entries) since(after int64) delta {
	d := delta{full: after == 0}
	for _, kv := range e.kvs {
		if d.full || kv.Version > after {
			d.puts = append(d.puts, kv)
		}
	}
	switch {
	case d.full:
	case after < e.removalFloor:
		d.presentKeys = slices.Collect(maps.Keys(e.kvs))
	default:
		for key, revision := range e.removed {
			if revision > after {
				d.removedKeys = append(d.removedKeys, key)
			}
		}
	}
	return d
}

// absent returns the known keys that are not among the present ones.
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

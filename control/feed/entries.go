package feed

import (
	"maps"
	"slices"

	"mallowwind.dev/external/store"
)

// rememberGone bounds how many removed keys are remembered, so that another
// daemon can be told what changed since it last asked. A zone that fails and
// returns removes some dozens; a daemon that asks every half second is never
// that far behind.
const rememberGone = 512

// entries are the keys of the store as they were read, and which were removed.
type entries struct {
	kvs  map[string]store.KV
	gone map[string]int64 // revision of the removal
	// newest is the latest version of a key: one that was read by itself is ahead of the
	// revision up to which everything is known.
	newest int64
	// floor is the revision from which removals are remembered.
	floor int64
}

func newEntries() *entries {
	return &entries{kvs: map[string]store.KV{}, gone: map[string]int64{}}
}

func (e *entries) put(kv store.KV) {
	e.kvs[kv.Key] = kv
	e.newest = max(e.newest, kv.Version)
	delete(e.gone, kv.Key)
}

// remove notes that a key was removed by the given revision.
func (e *entries) remove(key string, revision int64) {
	if _, ok := e.kvs[key]; !ok {
		return
	}
	delete(e.kvs, key)
	e.gone[key] = revision
	if len(e.gone) > rememberGone {
		e.forgetOldest()
	}
}

func (e *entries) forgetOldest() {
	oldest, at := "", int64(0)
	for key, revision := range e.gone {
		if oldest == "" || revision < at {
			oldest, at = key, revision
		}
	}
	delete(e.gone, oldest)
	e.floor = max(e.floor, at)
}

// delta is what changed after a revision.
type delta struct {
	puts []store.KV
	// removed are the keys that were removed since, unless present is set.
	removed []string
	// present are all keys that there are: what was removed since is not known any more.
	present []string
	// whole says that puts are everything there is.
	whole bool
}

// since returns what changed after a revision.
func (e *entries) since(have int64) delta {
	d := delta{whole: have == 0}
	for _, kv := range e.kvs {
		if d.whole || kv.Version > have {
			d.puts = append(d.puts, kv)
		}
	}
	switch {
	case d.whole:
	case have < e.floor:
		d.present = slices.Collect(maps.Keys(e.kvs))
	default:
		for key, revision := range e.gone {
			if revision > have {
				d.removed = append(d.removed, key)
			}
		}
	}
	return d
}

// absent returns the keys that are not among those present.
func (e *entries) absent(present []string) (keys []string) {
	here := make(map[string]bool, len(present))
	for _, key := range present {
		here[key] = true
	}
	for key := range e.kvs {
		if !here[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

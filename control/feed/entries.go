package feed

import (
	"cmp"

	"github.com/tidwall/btree"

	"mallowwind.dev/external/store"
)

// minRemovedKeys is how many removed keys are remembered at least, to answer peers that ask for
// changes since a revision. More are remembered as long as they are fewer than the existing keys: a
// list of removals that is longer than the list of what exists is of no use.
const minRemovedKeys = 512

// versionedKey is a key at the revision of its last write or removal.
type versionedKey struct {
	version int64
	key     string
}

func (k versionedKey) less(other versionedKey) bool {
	if c := cmp.Compare(k.version, other.version); c != 0 {
		return c < 0
	}
	return k.key < other.key
}

// keyHistory orders keys by their revisions, so that what changed after a revision is found in
// proportion to the changes.
type keyHistory = btree.BTreeG[versionedKey]

func newKeyHistory() *keyHistory {
	return btree.NewBTreeGOptions(versionedKey.less, btree.Options{NoLocks: true})
}

// entries holds the keys of the store as they were read, and the keys that were removed.
type entries struct {
	kvs       map[string]store.KV
	byVersion *keyHistory
	// removed holds the revision of each removal by key, and removals the same in order.
	removed  map[string]int64
	removals *keyHistory
	// newestVersion is the highest version of any key. It can exceed the revision up to which the
	// whole store is known, because a key can be read on its own.
	newestVersion int64
	// removalFloor is the revision after which every removal is remembered.
	removalFloor int64
}

func newEntries() *entries {
	return &entries{kvs: map[string]store.KV{}, byVersion: newKeyHistory(), removed: map[string]int64{}, removals: newKeyHistory()}
}

func (e *entries) put(kv store.KV) {
	if old, known := e.kvs[kv.Key]; known {
		e.byVersion.Delete(versionedKey{old.Version, kv.Key})
	}
	e.kvs[kv.Key] = kv
	e.byVersion.Set(versionedKey{kv.Version, kv.Key})
	e.newestVersion = max(e.newestVersion, kv.Version)
	if revision, wasRemoved := e.removed[kv.Key]; wasRemoved {
		delete(e.removed, kv.Key)
		e.removals.Delete(versionedKey{revision, kv.Key})
	}
}

// remove records that a key was removed as of the given revision.
func (e *entries) remove(key string, revision int64) {
	old, ok := e.kvs[key]
	if !ok {
		return
	}
	delete(e.kvs, key)
	e.byVersion.Delete(versionedKey{old.Version, key})
	e.removed[key] = revision
	e.removals.Set(versionedKey{revision, key})
	for len(e.removed) > max(minRemovedKeys, len(e.kvs)) {
		e.evictOldestRemoval()
	}
}

func (e *entries) evictOldestRemoval() {
	oldest, _ := e.removals.PopMin()
	delete(e.removed, oldest.key)
	e.removalFloor = max(e.removalFloor, oldest.version)
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
	ascendAfter(e.byVersion, after, func(key string) { d.puts = append(d.puts, e.kvs[key]) })
	switch {
	case d.full:
	case after < e.removalFloor:
		for key := range e.kvs {
			d.presentKeys = append(d.presentKeys, key)
		}
	default:
		ascendAfter(e.removals, after, func(key string) { d.removedKeys = append(d.removedKeys, key) })
	}
	return d
}

// ascendAfter visits the keys with a revision after the given one, oldest first.
func ascendAfter(h *keyHistory, after int64, visit func(key string)) {
	h.Ascend(versionedKey{version: after + 1}, func(k versionedKey) bool {
		visit(k.key)
		return true
	})
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

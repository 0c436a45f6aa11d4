package feed

import (
	"cmp"
	"maps"
	"slices"

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
	// completeRevision is the revision up to which every change is known.
	completeRevision int64
	// listed holds the revisions up to which the changes of ranges of keys are known, where these are
	// beyond completeRevision; nil if there are none.
	listed store.Pages
	// newestVersion is the highest version of any key. It can exceed the revision up to which the
	// whole store is known, because a key can be read on its own.
	newestVersion int64
	// removalFloor is the revision after which every removal is remembered.
	removalFloor int64
}

func newEntries() *entries {
	return &entries{kvs: map[string]store.KV{}, byVersion: newKeyHistory(), removed: map[string]int64{}, removals: newKeyHistory()}
}

// isNews reports whether a key at a version was written after what is known of it. A read or a watch
// may repeat what a newer one has shown.
func (e *entries) isNews(key string, version int64) bool {
	if kv, exists := e.kvs[key]; exists {
		return version > kv.Version
	}
	return version > e.absentAt(key)
}

// absentAt returns the latest revision at which a key is known not to have existed. The key must not
// be held.
func (e *entries) absentAt(key string) int64 {
	at := max(e.completeRevision, e.removed[key])
	if e.listed != nil {
		at = max(at, e.listed.RevisionAt(key))
	}
	return at
}

// setComplete records that every change up to a revision is known.
func (e *entries) setComplete(revision int64) {
	e.completeRevision = max(e.completeRevision, revision)
	if e.listed != nil && e.listed.Newest() <= revision {
		e.listed = nil
	}
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

// remove records that a key did not exist at the given revision, and reports whether it was held. A
// key that was written later stays. The removal of a key that is not held is recorded as well: a peer
// may hold the key.
func (e *entries) remove(key string, revision int64) (wasHeld bool) {
	old, wasHeld := e.kvs[key]
	if wasHeld && old.Version > revision {
		return false
	}
	if wasHeld {
		delete(e.kvs, key)
		e.byVersion.Delete(versionedKey{old.Version, key})
	}
	e.recordRemoval(key, revision)
	return wasHeld
}

// recordRemoval remembers the removal of a key, unless a later one is remembered.
func (e *entries) recordRemoval(key string, revision int64) {
	if known, ok := e.removed[key]; ok {
		if known >= revision {
			return
		}
		e.removals.Delete(versionedKey{known, key})
	}
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

// delta holds the changes after a revision, in the order of revisions.
type delta struct {
	puts []store.KV
	// removedKeys holds the keys removed since; it is unused if listsPresent is set.
	removedKeys []string
	// presentKeys holds all existing keys if listsPresent is set. It replaces removedKeys if the removals
	// since the revision are no longer known.
	presentKeys  []string
	listsPresent bool
	// partial says that there are more changes after the revision upTo. Removals come with the last of
	// them.
	partial bool
	upTo    int64
}

// since returns the entries written after a revision, where 0 selects every entry, and the keys removed
// after another one; 0 for none. It returns no more than maxBytes of keys and values, but all entries of
// a revision or none.
func (e *entries) since(after, removedAfter int64, maxBytes int) delta {
	var d delta
	size := 0
	e.byVersion.Ascend(versionedKey{version: after + 1}, func(k versionedKey) bool {
		if size >= maxBytes && k.version != d.upTo {
			d.partial = true
			return false
		}
		kv := e.kvs[k.key]
		d.puts, d.upTo = append(d.puts, kv), k.version
		size += len(kv.Key) + len(kv.Value)
		return true
	})
	switch {
	case d.partial || removedAfter == 0:
	case removedAfter < e.removalFloor:
		d.presentKeys, d.listsPresent = slices.Collect(maps.Keys(e.kvs)), true
	default:
		e.removals.Ascend(versionedKey{version: removedAfter + 1}, func(k versionedKey) bool {
			d.removedKeys = append(d.removedKeys, k.key)
			return true
		})
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

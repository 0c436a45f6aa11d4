package feed

import (
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
	// floor is the revision from which removals are remembered.
	floor int64
}

func newEntries() *entries {
	return &entries{kvs: map[string]store.KV{}, gone: map[string]int64{}}
}

func (e *entries) put(kv store.KV) {
	e.kvs[kv.Key] = kv
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

// since returns what changed after a revision; whole says that it is everything
// there is, because what was removed since then is not known any more.
func (e *entries) since(have int64) (puts []store.KV, removed []string, whole bool) {
	whole = have == 0 || have < e.floor
	for _, kv := range e.kvs {
		if whole || kv.Version > have {
			puts = append(puts, kv)
		}
	}
	if whole {
		return puts, nil, true
	}
	for key, revision := range e.gone {
		if revision > have {
			removed = append(removed, key)
		}
	}
	return puts, removed, false
}

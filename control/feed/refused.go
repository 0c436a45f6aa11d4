package feed

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/store"
)

const (
	// refusedPrefix begins the keys of requests that are sent to no server.
	refusedPrefix = OwnPrefix + "refused/"
	// maxRefused bounds the requests that are refused by entries in the store. No entry
	// makes room for another: what was refused stays so until an operator lifts it.
	maxRefused = 1000
	// refuseTimeout bounds one attempt to write an entry.
	refuseTimeout = 2 * time.Second
)

// RefusedRequest is a request that is sent to no server, because it ends those that run it.
type RefusedRequest struct {
	// Digest names the request in all its attempts; it is the end of the key.
	Digest  string `json:"digest"`
	Account string `json:"account,omitempty"`
	Route   string `json:"route"`
	// Servers are the ids of those that ended under it.
	Servers []string `json:"servers"`
	// By is the daemon that wrote the entry, At when.
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// RefusedKey is the key of a refused request in the store. An operator who removes it lifts
// the refusal.
func RefusedKey(digest string) string { return refusedPrefix + digest }

// readRefused reads the entry of a refused request, of which the key alone decides. What
// cannot be read leaves it without details.
func readRefused(kv store.KV) RefusedRequest {
	var r RefusedRequest
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		r = RefusedRequest{}
	}
	r.Digest = strings.TrimPrefix(kv.Key, refusedPrefix)
	return r
}

// ErrTooManyRefused means that as many requests are refused as the store is to hold.
var ErrTooManyRefused = errors.New("feed: too many refused requests")

// AddRefused writes the entry of a request that is to be refused, unless there is one.
func (m *Manager) AddRefused(ctx context.Context, r RefusedRequest) error {
	refused := m.View().Refused
	if _, known := refused[r.Digest]; known {
		return nil
	}
	if len(refused) >= maxRefused {
		return ErrTooManyRefused
	}
	r.By, r.At = m.opts.Self, time.Now()
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "refused request")
	}
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeRefuse), refuseTimeout)
	defer cancel()
	_, err = m.opts.Store.CompareAndSwap(ctx, RefusedKey(r.Digest), 0, raw, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil // another daemon was first
	}
	return err
}

// ListRefused returns the requests that are refused by entries in a store, in the order of
// their digests. An entry that cannot be read has nothing but its digest.
func ListRefused(ctx context.Context, s store.Store) ([]RefusedRequest, error) {
	kvs, _, err := s.List(ctx, refusedPrefix)
	if err != nil {
		return nil, err
	}
	list := make([]RefusedRequest, len(kvs))
	for i, kv := range kvs {
		list[i] = readRefused(kv)
	}
	return list, nil
}

// DeleteRefused removes the entry of a refused request; store.ErrNotFound means that there is none.
func DeleteRefused(ctx context.Context, s store.Store, digest string) error {
	kv, err := s.Get(ctx, RefusedKey(digest))
	if err != nil {
		return err
	}
	return s.Delete(ctx, kv.Key, kv.Version)
}

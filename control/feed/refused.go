package feed

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/poison"
	"mallowwind.dev/external/store"
)

const (
	// refusedPrefix begins the keys of refused requests.
	refusedPrefix = OwnPrefix + "refused/"
	// maxRefused bounds the number of refused requests in the store. A new entry replaces no older
	// one: a request stays refused until a trial or an operator lifts the refusal.
	maxRefused = 1000
	// refuseTimeout bounds one attempt to write an entry.
	refuseTimeout = 2 * time.Second
)

// RefusedRequest is a request that is sent to no server because it crashes the servers that run it,
// or all requests with some parts in their prompts.
type RefusedRequest struct {
	// Digest identifies the request across all its attempts, or the parts; it is the end of the key.
	Digest string `json:"digest"`
	// Parts are the IDs of the parts, and prompts with all of them are refused; empty for a single
	// request. Account and Route are then those of one of the requests that crashed servers.
	Parts   []string `json:"parts,omitempty"`
	Account string   `json:"account,omitempty"`
	Route   string   `json:"route"`
	// Servers holds the ids of the servers that crashed while they ran it.
	Servers []string `json:"servers"`
	// By is the id of the daemon that wrote the entry, and At the time of the write.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Trials is how often the request was tried again, at TriedAt the last time.
	Trials  int       `json:"trials,omitempty"`
	TriedAt time.Time `json:"tried_at,omitzero"`
}

// History returns the trials of the refused request so far.
func (r RefusedRequest) History() poison.Trials {
	if r.Trials == 0 {
		return poison.Trials{Last: r.At}
	}
	return poison.Trials{Count: r.Trials, Last: r.TriedAt}
}

// RefusedKey returns the store key of a refused request. An operator lifts the refusal by removing
// the key.
func RefusedKey(digest string) string { return refusedPrefix + digest }

// decodeRefused decodes the entry of a refused request. The key alone decides that the request is
// refused; if the value cannot be decoded, only the details are missing.
func decodeRefused(kv store.KV) RefusedRequest {
	var r RefusedRequest
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		r = RefusedRequest{}
	}
	r.Digest = strings.TrimPrefix(kv.Key, refusedPrefix)
	return r
}

// ErrTooManyRefused means that the store already holds the maximum number of refused requests.
var ErrTooManyRefused = errors.New("feed: too many refused requests")

// AddRefused writes the entry of a request that is to be refused, unless an entry exists.
func (m *Manager) AddRefused(ctx context.Context, r RefusedRequest) error {
	refused := m.View().Refused
	if _, known := refused[r.Digest]; known {
		return nil
	}
	if len(refused) >= maxRefused {
		return ErrTooManyRefused
	}
	r.By, r.At = m.opts.Self, time.Now()
	return m.writeRefused(ctx, r)
}

// writeRefused writes the entry of a refused request unless the store holds one.
func (m *Manager) writeRefused(ctx context.Context, r RefusedRequest) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "refused request")
	}
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeRefuse), refuseTimeout)
	defer cancel()
	_, err = m.opts.Store.CompareAndSwap(ctx, RefusedKey(r.Digest), 0, raw, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil // another daemon wrote the entry first
	}
	return err
}

// ClaimTrial records a trial of a refused request, and reports false if none is due or another daemon
// claims it.
func (m *Manager) ClaimTrial(ctx context.Context, digest string) (claimed bool, err error) {
	ctx = store.WithPurpose(ctx, store.PurposeRefuse)
	kv, err := m.opts.Store.Get(ctx, RefusedKey(digest))
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	r, now := decodeRefused(kv), time.Now()
	if !r.History().IsDue(now) {
		return false, nil
	}
	r.Trials, r.TriedAt = r.Trials+1, now
	raw, err := json.Marshal(r)
	if err != nil {
		return false, errors.Wrap(err, "trial")
	}
	_, err = m.opts.Store.CompareAndSwap(ctx, kv.Key, kv.Version, raw, 0)
	if errors.Is(err, store.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

// LiftRefused removes the entry of a refused request, if there is one.
func (m *Manager) LiftRefused(ctx context.Context, digest string) error {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeRefuse), refuseTimeout)
	defer cancel()
	err := DeleteRefused(ctx, m.opts.Store, digest)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// ListRefused returns the refused requests in a store, sorted by digest. An entry whose value
// cannot be decoded has only its digest.
func ListRefused(ctx context.Context, s store.Store) ([]RefusedRequest, error) {
	entries, err := s.List(ctx, refusedPrefix)
	if err != nil {
		return nil, err
	}
	list := make([]RefusedRequest, len(entries.KVs))
	for i, kv := range entries.KVs {
		list[i] = decodeRefused(kv)
	}
	return list, nil
}

// DeleteRefused removes the entry of a refused request. It returns store.ErrNotFound if there is
// none.
func DeleteRefused(ctx context.Context, s store.Store, digest string) error {
	kv, err := s.Get(ctx, RefusedKey(digest))
	if err != nil {
		return err
	}
	return s.Delete(ctx, kv.Key, kv.Version)
}

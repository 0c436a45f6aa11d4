// Package storesim serves a store.Store in the JSON-over-HTTP form of etcd's
// v3 API, as far as store.EtcdClient and an operator's curl use it. Faults come
// from the store behind it, usually a store.Faulty.
package storesim

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"mallowwind.dev/external/store"
)

// maxRequest bounds a request body, in bytes: a value at its limit in base64.
const maxRequest = 2 * store.MaxValue

// Status codes of the service's errors, as gRPC numbers them.
const (
	codeInvalid     = 3
	codeNotFound    = 5
	codeUnavailable = 14
)

// Handler serves s.
func Handler(s store.Store) http.Handler {
	h := &handler{s}
	r := mux.NewRouter()
	for path, f := range map[string]http.HandlerFunc{
		store.PathRange:     h.rangeKeys,
		store.PathTxn:       h.txn,
		store.PathGrant:     h.grant,
		store.PathRevoke:    h.revoke,
		store.PathKeepAlive: h.keepAlive,
		store.PathWatch:     h.watch,
	} {
		r.HandleFunc(path, f).Methods(http.MethodPost)
	}
	return r
}

type handler struct{ store store.Store }

func (h *handler) rangeKeys(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdRange
	if !decode(w, r, &q) {
		return
	}
	a, err := h.lookUp(r.Context(), q)
	answer(w, a, err)
}

func (h *handler) lookUp(ctx context.Context, q store.EtcdRange) (store.EtcdRangeResponse, error) {
	var a store.EtcdRangeResponse
	if len(q.RangeEnd) == 0 {
		kv, err := h.store.Get(ctx, string(q.Key))
		if errors.Is(err, store.ErrNotFound) {
			return a, nil
		}
		if err == nil {
			a.KVs = []store.EtcdKV{wireKV(kv)}
		}
		return a, err
	}
	list := h.store.List
	if q.Serializable {
		list = h.store.ListStale
	}
	kvs, revision, err := list(ctx, prefixOf(q.Key))
	a.Header.Revision = revision
	for _, kv := range kvs {
		a.KVs = append(a.KVs, wireKV(kv))
	}
	return a, err
}

// prefixOf reads a range as a prefix; a zero byte stands for every key.
func prefixOf(key []byte) string {
	if string(key) == "\x00" {
		return ""
	}
	return string(key)
}

// txn serves the one shape in use: one comparison of a key's revision, one put
// or delete of the same key, and a read of it on failure.
func (h *handler) txn(w http.ResponseWriter, r *http.Request) {
	var t store.EtcdTxn
	if !decode(w, r, &t) {
		return
	}
	if len(t.Compare) != 1 || len(t.Success) != 1 || t.Compare[0].Target != store.EtcdTargetMod {
		fail(w, http.StatusBadRequest, codeInvalid, "storesim: only one compare of MOD with one operation")
		return
	}
	a, err := h.swap(r.Context(), t.Compare[0], t.Success[0])
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		a, err = h.failed(r.Context(), t.Compare[0].Key)
	}
	answer(w, a, err)
}

func (h *handler) swap(ctx context.Context, c store.EtcdCompare, op store.EtcdOp) (store.EtcdTxnResponse, error) {
	a := store.EtcdTxnResponse{Succeeded: true}
	switch {
	case op.Put != nil:
		v, err := h.store.CompareAndSwap(ctx, string(c.Key), c.ModRevision, op.Put.Value, store.LeaseID(op.Put.Lease))
		a.Header.Revision = v
		return a, err
	case op.Delete != nil:
		return a, h.store.Delete(ctx, string(c.Key), c.ModRevision)
	}
	return a, errors.New("storesim: operation is neither put nor delete")
}

func (h *handler) failed(ctx context.Context, key []byte) (store.EtcdTxnResponse, error) {
	found, err := h.lookUp(ctx, store.EtcdRange{Key: key})
	return store.EtcdTxnResponse{Responses: []store.EtcdOpResponse{{Range: &found}}}, err
}

func (h *handler) grant(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdLease
	if !decode(w, r, &q) {
		return
	}
	id, err := h.store.Grant(r.Context(), time.Duration(q.TTL)*time.Second)
	answer(w, store.EtcdLease{ID: int64(id), TTL: q.TTL}, err)
}

func (h *handler) revoke(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdLease
	if decode(w, r, &q) {
		answer(w, struct{}{}, h.store.Revoke(r.Context(), store.LeaseID(q.ID)))
	}
}

func (h *handler) keepAlive(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdLease
	if !decode(w, r, &q) {
		return
	}
	left, err := h.store.KeepAlive(r.Context(), store.LeaseID(q.ID))
	if errors.Is(err, store.ErrLeaseGone) { // the service answers with no time left
		left, err = 0, nil
	}
	result := store.EtcdLease{ID: q.ID, TTL: int64(left / time.Second)}
	answer(w, store.EtcdStreamMessage[store.EtcdLease]{Result: &result}, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdWatch
	if !decode(w, r, &q) {
		return
	}
	from := max(q.Create.StartRevision-1, 0)
	watcher, err := h.store.Watch(r.Context(), prefixOf(q.Create.Key), from)
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		answer(w, nil, err)
		return
	}
	s := &watchStream{enc: json.NewEncoder(w), flush: http.NewResponseController(w)}
	if !s.send(store.EtcdWatchResponse{Created: true}) {
		return
	}
	if err != nil {
		s.send(compacted(from))
		return
	}
	defer watcher.Close()
	s.copy(r.Context(), watcher, from)
}

func compacted(from int64) store.EtcdWatchResponse {
	return store.EtcdWatchResponse{Canceled: true, CompactRevision: from + 1}
}

// watchStream writes the messages of one watch.
type watchStream struct {
	enc   *json.Encoder
	flush *http.ResponseController
}

func (s *watchStream) send(a store.EtcdWatchResponse) bool {
	err := s.enc.Encode(store.EtcdStreamMessage[store.EtcdWatchResponse]{Result: &a})
	return err == nil && s.flush.Flush() == nil
}

func (s *watchStream) copy(ctx context.Context, watcher store.Watcher, from int64) {
	for {
		events, err := watcher.Next(ctx)
		if errors.Is(err, store.ErrCompacted) {
			s.send(compacted(from))
		}
		if err != nil {
			return
		}
		a := store.EtcdWatchResponse{}
		for _, e := range events {
			a.Events = append(a.Events, wireEvent(e))
			a.Header.Revision = e.KV.Version
		}
		if !s.send(a) {
			return
		}
	}
}

func wireKV(kv store.KV) store.EtcdKV {
	return store.EtcdKV{Key: []byte(kv.Key), Value: kv.Value, ModRevision: kv.Version, Lease: int64(kv.Lease)}
}

func wireEvent(e store.Event) store.EtcdEvent {
	w := store.EtcdEvent{KV: wireKV(e.KV)}
	if e.Kind == store.Deleted {
		w.Type = store.EtcdDelete
	}
	return w
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest)).Decode(v)
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		fail(w, http.StatusBadRequest, codeInvalid, store.EtcdTooLarge)
	case err != nil:
		fail(w, http.StatusBadRequest, codeInvalid, err.Error())
	}
	return err == nil
}

func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, store.ErrUnavailable):
		fail(w, http.StatusServiceUnavailable, codeUnavailable, store.EtcdNoLeader)
	case errors.Is(err, store.ErrTooLarge):
		fail(w, http.StatusBadRequest, codeInvalid, store.EtcdTooLarge)
	case errors.Is(err, store.ErrLeaseGone):
		fail(w, http.StatusNotFound, codeNotFound, store.EtcdLeaseNotFound)
	default: // the answer is lost with its connection
		panic(http.ErrAbortHandler)
	}
}

func fail(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(store.EtcdError{Message: message, Code: code})
}

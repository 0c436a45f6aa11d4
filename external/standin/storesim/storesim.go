// Package storesim serves a store.Store through the JSON form of etcd's v3 API. It implements the part
// of the API that store.EtcdClient and an operator with curl use. Faults are injected by the store that
// it serves, usually a store.Faulty.
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

// maxRequestBytes bounds a request body. It allows for a value of MaxValue bytes in base64.
const maxRequestBytes = 2 * store.MaxValue

// gRPC status codes in the service's error responses.
const (
	codeInvalid     = 3
	codeNotFound    = 5
	codeUnavailable = 14
)

// Handler returns a handler that serves s.
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
	a, err := h.readRange(r.Context(), q)
	respond(w, a, err)
}

func (h *handler) readRange(ctx context.Context, q store.EtcdRange) (store.EtcdRangeResponse, error) {
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
	read, err := list(ctx, prefixOf(q.Key))
	if err != nil {
		return a, err
	}
	a.Header.Revision = read.Pages.Oldest()
	for _, kv := range read.KVs {
		a.KVs = append(a.KVs, wireKV(kv))
	}
	return a, nil
}

// prefixOf returns the prefix that the start of a range stands for. A zero byte stands for all keys.
func prefixOf(key []byte) string {
	if string(key) == "\x00" {
		return ""
	}
	return string(key)
}

// txn serves the only supported form of transaction: one comparison of a key's revision, one put or
// delete of the same key, and a read of the key if the comparison fails.
func (h *handler) txn(w http.ResponseWriter, r *http.Request) {
	var t store.EtcdTxn
	if !decode(w, r, &t) {
		return
	}
	if len(t.Compare) != 1 || len(t.Success) != 1 || t.Compare[0].Target != store.EtcdTargetMod {
		respondError(w, http.StatusBadRequest, codeInvalid, "storesim: only one compare of MOD with one operation")
		return
	}
	a, err := h.apply(r.Context(), t.Compare[0], t.Success[0])
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound) {
		a, err = h.compareFailed(r.Context(), t.Compare[0].Key)
	}
	respond(w, a, err)
}

func (h *handler) apply(ctx context.Context, c store.EtcdCompare, op store.EtcdOp) (store.EtcdTxnResponse, error) {
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

func (h *handler) compareFailed(ctx context.Context, key []byte) (store.EtcdTxnResponse, error) {
	found, err := h.readRange(ctx, store.EtcdRange{Key: key})
	return store.EtcdTxnResponse{Responses: []store.EtcdOpResponse{{Range: &found}}}, err
}

func (h *handler) grant(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdLease
	if !decode(w, r, &q) {
		return
	}
	id, err := h.store.Grant(r.Context(), time.Duration(q.TTL)*time.Second)
	respond(w, store.EtcdLease{ID: int64(id), TTL: q.TTL}, err)
}

func (h *handler) revoke(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdLease
	if decode(w, r, &q) {
		respond(w, struct{}{}, h.store.Revoke(r.Context(), store.LeaseID(q.ID)))
	}
}

func (h *handler) keepAlive(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdLease
	if !decode(w, r, &q) {
		return
	}
	left, err := h.store.KeepAlive(r.Context(), store.LeaseID(q.ID))
	if errors.Is(err, store.ErrLeaseGone) { // the real service responds with a zero TTL
		left, err = 0, nil
	}
	result := store.EtcdLease{ID: q.ID, TTL: int64(left / time.Second)}
	respond(w, store.EtcdStreamMessage[store.EtcdLease]{Result: &result}, err)
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	var q store.EtcdWatch
	if !decode(w, r, &q) {
		return
	}
	from := max(q.Create.StartRevision-1, 0)
	watcher, err := h.store.Watch(r.Context(), prefixOf(q.Create.Key), from)
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		respond(w, nil, err)
		return
	}
	s := &watchStream{enc: json.NewEncoder(w), flush: http.NewResponseController(w)}
	if !s.send(store.EtcdWatchResponse{Created: true}) {
		return
	}
	if err != nil {
		s.send(compactedResponse(from))
		return
	}
	defer watcher.Close()
	s.relay(r.Context(), watcher, from)
}

func compactedResponse(from int64) store.EtcdWatchResponse {
	return store.EtcdWatchResponse{Canceled: true, CompactRevision: from + 1}
}

// watchStream writes the messages of one watch to the response.
type watchStream struct {
	enc   *json.Encoder
	flush *http.ResponseController
}

func (s *watchStream) send(a store.EtcdWatchResponse) bool {
	err := s.enc.Encode(store.EtcdStreamMessage[store.EtcdWatchResponse]{Result: &a})
	return err == nil && s.flush.Flush() == nil
}

func (s *watchStream) relay(ctx context.Context, watcher store.Watcher, from int64) {
	for {
		events, err := watcher.Next(ctx)
		if errors.Is(err, store.ErrCompacted) {
			s.send(compactedResponse(from))
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
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v)
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		respondError(w, http.StatusBadRequest, codeInvalid, store.EtcdTooLarge)
	case err != nil:
		respondError(w, http.StatusBadRequest, codeInvalid, err.Error())
	}
	return err == nil
}

func respond(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, store.ErrUnavailable):
		respondError(w, http.StatusServiceUnavailable, codeUnavailable, store.EtcdNoLeader)
	case errors.Is(err, store.ErrTooLarge):
		respondError(w, http.StatusBadRequest, codeInvalid, store.EtcdTooLarge)
	case errors.Is(err, store.ErrLeaseGone):
		respondError(w, http.StatusNotFound, codeNotFound, store.EtcdLeaseNotFound)
	default: // closes the connection without a response
		panic(http.ErrAbortHandler)
	}
}

func respondError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(store.EtcdError{Message: message, Code: code})
}

package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

const (
	// readTimeout bounds a read on one endpoint while there is another to ask, so
	// that a silent one leaves time for it. The last one asked has slowTimeout or
	// what the caller gives, if that is less: a service that is merely slow must
	// stay readable, and a watch that is opened anew must not hang for ever.
	readTimeout = 2 * time.Second
	slowTimeout = 30 * time.Second
	// maxAnswer bounds an answer, in bytes: a list of the largest values that
	// this system keeps under one prefix, in base64.
	maxAnswer = 64 << 20
)

// EtcdClient speaks the JSON-over-HTTP form of etcd's v3 API to one of several
// endpoints. It stays with an endpoint while that answers.
type EtcdClient struct {
	endpoints []string
	calls     *http.Client
	streams   *http.Client
	current   atomic.Int64 // index of the endpoint that last answered
	watchIdle time.Duration
}

var _ Store = (*EtcdClient)(nil)

// NewEtcdClient returns a client of the service at endpoints (http://ip:port).
// A nil client means its own transports. A client given must count what it
// writes (its transport from sent.NewTransport).
func NewEtcdClient(endpoints []string, hc *http.Client) (*EtcdClient, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("store: no endpoint")
	}
	c := &EtcdClient{calls: hc, streams: hc, watchIdle: defaultWatchIdle}
	for _, e := range endpoints {
		c.endpoints = append(c.endpoints, strings.TrimSuffix(e, "/"))
	}
	if hc == nil {
		c.calls = &http.Client{Transport: sent.NewTransport(false), CheckRedirect: sent.NoRedirect}
		c.streams = &http.Client{Transport: sent.NewTransport(true), CheckRedirect: sent.NoRedirect}
	}
	return c, nil
}

// Get implements Store.
func (c *EtcdClient) Get(ctx context.Context, key string) (KV, error) {
	var a EtcdRangeResponse
	if err := c.read(ctx, PathRange, EtcdRange{Key: []byte(key)}, &a); err != nil {
		return KV{}, err
	}
	if len(a.KVs) == 0 {
		return KV{}, errors.Wrap(ErrNotFound, key)
	}
	return a.KVs[0].kv(), nil
}

// List implements Store.
func (c *EtcdClient) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	return c.list(ctx, prefixRange(prefix))
}

// ListStale implements Store.
func (c *EtcdClient) ListStale(ctx context.Context, prefix string) ([]KV, int64, error) {
	q := prefixRange(prefix)
	q.Serializable = true
	return c.list(ctx, q)
}

func (c *EtcdClient) list(ctx context.Context, q EtcdRange) ([]KV, int64, error) {
	var a EtcdRangeResponse
	if err := c.read(ctx, PathRange, q, &a); err != nil {
		return nil, 0, err
	}
	list := make([]KV, 0, len(a.KVs))
	for _, kv := range a.KVs {
		list = append(list, kv.kv())
	}
	slices.SortFunc(list, func(x, y KV) int { return strings.Compare(x.Key, y.Key) })
	return list, a.Header.Revision, nil
}

// prefixRange is the range of all keys under prefix. The service takes an
// empty key as a mistake; a zero byte stands for the first key of all.
func prefixRange(prefix string) EtcdRange {
	r := EtcdRange{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if prefix == "" {
		r.Key = []byte{0}
	}
	return r
}

// CompareAndSwap implements Store.
func (c *EtcdClient) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease LeaseID) (int64, error) {
	if len(value) > MaxValue {
		return 0, errors.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	put := EtcdOp{Put: &EtcdPut{Key: []byte(key), Value: value, Lease: int64(lease)}}
	a, err := c.txn(ctx, key, version, put)
	if err != nil {
		return 0, err
	}
	if !a.Succeeded {
		return 0, errors.Wrapf(ErrConflict, "%s is at %d, expected %d", key, a.found(), version)
	}
	return a.Header.Revision, nil
}

// Delete implements Store. A key that does not exist gives ErrNotFound.
func (c *EtcdClient) Delete(ctx context.Context, key string, version int64) error {
	a, err := c.txn(ctx, key, version, EtcdOp{Delete: &EtcdRange{Key: []byte(key)}})
	switch {
	case err != nil:
		return err
	case a.Succeeded && version != 0:
		return nil
	case a.Succeeded || a.found() == 0:
		return errors.Wrap(ErrNotFound, key)
	}
	return errors.Wrapf(ErrConflict, "%s is at %d, expected %d", key, a.found(), version)
}

// txn does op if key stands at version, and else reads the key.
func (c *EtcdClient) txn(ctx context.Context, key string, version int64, op EtcdOp) (EtcdTxnResponse, error) {
	compare := EtcdCompare{Key: []byte(key), Target: EtcdTargetMod, Result: EtcdResultEqual, ModRevision: version}
	txn := EtcdTxn{
		Compare: []EtcdCompare{compare},
		Success: []EtcdOp{op},
		Failure: []EtcdOp{{Range: &EtcdRange{Key: []byte(key)}}},
	}
	var a EtcdTxnResponse
	return a, c.write(ctx, PathTxn, txn, &a)
}

// found is the version that a failed compare met, 0 if there was no key.
func (a EtcdTxnResponse) found() int64 {
	for _, r := range a.Responses {
		if r.Range != nil && len(r.Range.KVs) > 0 {
			return r.Range.KVs[0].ModRevision
		}
	}
	return 0
}

// Grant implements Store. The service counts in whole seconds; ttl is rounded up.
func (c *EtcdClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var a EtcdLease
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.write(ctx, PathGrant, EtcdLease{TTL: max(seconds, 1)}, &a)
	return LeaseID(a.ID), err
}

// KeepAlive implements Store.
func (c *EtcdClient) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	var a EtcdStreamMessage[EtcdLease]
	if err := c.write(ctx, PathKeepAlive, EtcdLease{ID: int64(id)}, &a); err != nil {
		return 0, err
	}
	if a.Result == nil || a.Result.TTL <= 0 {
		return 0, errors.Wrapf(ErrLeaseGone, "%d", id)
	}
	return time.Duration(a.Result.TTL) * time.Second, nil
}

// Revoke implements Store.
func (c *EtcdClient) Revoke(ctx context.Context, id LeaseID) error {
	return c.write(ctx, PathRevoke, EtcdLease{ID: int64(id)}, &struct{}{})
}

// read asks the endpoints in turn until one answers.
func (c *EtcdClient) read(ctx context.Context, path string, in, out any) error {
	return c.each(ctx, func(endpoint string, last bool) (bool, error) {
		ctx, cancel := readContext(ctx, last)
		defer cancel()
		err := c.call(ctx, endpoint, path, in, out)
		if errors.Is(err, ErrUnknown) { // a read has no effect to be unsure of
			err = errors.Wrapf(ErrUnavailable, "%v", err)
		}
		return errors.Is(err, ErrUnavailable), err
	})
}

// write goes on to the next endpoint only while nothing was sent or the
// service said that it did not write: a write sent twice could undo a later one.
func (c *EtcdClient) write(ctx context.Context, path string, in, out any) error {
	return c.each(ctx, func(endpoint string, _ bool) (bool, error) {
		err := c.call(ctx, endpoint, path, in, out)
		return errors.Is(err, ErrUnavailable), err
	})
}

func readContext(ctx context.Context, last bool) (context.Context, context.CancelFunc) {
	if last {
		return context.WithTimeout(ctx, slowTimeout)
	}
	return context.WithTimeout(ctx, readTimeout)
}

// each tries the endpoints from the current one on while try says so, and
// remembers one that answered. One that left an outcome unknown is not the
// first to be asked next time.
func (c *EtcdClient) each(ctx context.Context, try func(endpoint string, last bool) (bool, error)) error {
	first, n := c.current.Load(), int64(len(c.endpoints))
	var err error
	for i := range n {
		if ctx.Err() != nil && err != nil {
			return err
		}
		at := (first + i) % n
		var again bool
		if again, err = try(c.endpoints[at], i == n-1); again {
			continue
		}
		if errors.Is(err, ErrUnknown) {
			at = (at + 1) % n
		}
		c.current.Store(at)
		return err
	}
	return err
}

// call makes one call to one endpoint.
func (c *EtcdClient) call(ctx context.Context, endpoint, path string, in, out any) error {
	resp, err := c.post(ctx, c.calls, endpoint+path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		c.calls.CloseIdleConnections()
		return errors.Wrapf(ErrUnknown, "read answer: %v", err)
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(out); err != nil {
		return errors.Wrapf(ErrUnknown, "decode answer: %v", err)
	}
	return nil
}

// post sends one request and turns every failure into its fact: ErrUnavailable
// when nothing was sent or the service said so, ErrUnknown otherwise.
func (c *EtcdClient) post(ctx context.Context, hc *http.Client, url string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	ctx, probe := sent.WithProbe(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	sent.SetBody(req, body)
	req.Header.Set("Content-Type", "application/json")
	resp, err := hc.Do(req)
	if err != nil {
		c.calls.CloseIdleConnections()
		if probe.NothingSent() {
			return nil, errors.Wrapf(ErrUnavailable, "%v", err)
		}
		return nil, errors.Wrapf(ErrUnknown, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, etcdError(resp)
	}
	return resp, nil
}

// etcdError reads the service's own words. Only the messages known to mean
// that the request was not proposed are ErrUnavailable: a "request timed out"
// carries the same status and may have taken effect.
func etcdError(resp *http.Response) error {
	var e EtcdError
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&e)
	return e.fact(resp.Status)
}

func (e EtcdError) fact(status string) error {
	switch e.Message {
	case EtcdNoLeader, EtcdTooManyRequests:
		return errors.Wrap(ErrUnavailable, e.Message)
	case EtcdTooLarge:
		return errors.Wrap(ErrTooLarge, e.Message)
	case EtcdLeaseNotFound:
		return errors.Wrap(ErrLeaseGone, e.Message)
	case EtcdCompacted:
		return errors.Wrap(ErrCompacted, e.Message)
	}
	return errors.Wrapf(ErrUnknown, "answer %s: %s", status, e.Message)
}

func (kv EtcdKV) kv() KV {
	return KV{Key: string(kv.Key), Value: kv.Value, Version: kv.ModRevision, Lease: LeaseID(kv.Lease)}
}

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
	// readTimeout bounds a read from one endpoint while another endpoint remains, so that an
	// unresponsive endpoint leaves time to try the next one. A read from the last endpoint is bounded
	// by lastReadTimeout or the caller's deadline, whichever is earlier: a slow service must stay
	// readable, and reopening a watch must not block forever.
	readTimeout     = 2 * time.Second
	lastReadTimeout = 30 * time.Second
	// maxResponseBytes bounds a response. The largest is a list of all values under one prefix, in
	// base64.
	maxResponseBytes = 64 << 20
)

// EtcdClient calls one of several endpoints through the JSON gateway of etcd's v3 API. It keeps using
// an endpoint as long as that endpoint responds.
type EtcdClient struct {
	endpoints        []string
	calls            *http.Client
	streams          *http.Client
	current          atomic.Int64 // index of the endpoint to try first
	watchIdleTimeout time.Duration
}

var _ Store = (*EtcdClient)(nil)

// NewEtcdClient returns a client of the service at endpoints (http://ip:port).
// If hc is nil, the client uses transports of its own. Any other client needs a transport that counts
// the bytes written, from package sent.
func NewEtcdClient(endpoints []string, hc *http.Client) (*EtcdClient, error) {
	if len(endpoints) == 0 {
		return nil, errors.New("store: no endpoint")
	}
	c := &EtcdClient{calls: hc, streams: hc, watchIdleTimeout: defaultWatchIdleTimeout}
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
	return a.KVs[0].toKV(), nil
}

// List implements Store.
func (c *EtcdClient) List(ctx context.Context, prefix string) (Listing, error) {
	return c.list(ctx, prefixRange(prefix))
}

// ListStale implements Store.
func (c *EtcdClient) ListStale(ctx context.Context, prefix string) (Listing, error) {
	q := prefixRange(prefix)
	q.Serializable = true
	return c.list(ctx, q)
}

func (c *EtcdClient) list(ctx context.Context, q EtcdRange) (Listing, error) {
	var a EtcdRangeResponse
	if err := c.read(ctx, PathRange, q, &a); err != nil {
		return Listing{}, err
	}
	list := make([]KV, 0, len(a.KVs))
	for _, kv := range a.KVs {
		list = append(list, kv.toKV())
	}
	slices.SortFunc(list, func(x, y KV) int { return strings.Compare(x.Key, y.Key) })
	return NewListing(list, a.Header.Revision), nil
}

// prefixRange returns the range of all keys under prefix. The service rejects an empty key; a zero
// byte stands for the first key.
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
		return 0, errors.Wrapf(ErrConflict, "%s is at %d, expected %d", key, a.foundVersion(), version)
	}
	return a.Header.Revision, nil
}

// Delete implements Store. It returns ErrNotFound if the key does not exist.
func (c *EtcdClient) Delete(ctx context.Context, key string, version int64) error {
	a, err := c.txn(ctx, key, version, EtcdOp{Delete: &EtcdRange{Key: []byte(key)}})
	switch {
	case err != nil:
		return err
	case a.Succeeded && version != 0:
		return nil
	case a.Succeeded || a.foundVersion() == 0:
		return errors.Wrap(ErrNotFound, key)
	}
	return errors.Wrapf(ErrConflict, "%s is at %d, expected %d", key, a.foundVersion(), version)
}

// txn applies op if key is at version, and otherwise reads the key.
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

// foundVersion returns the version of the key that a failed compare found, or 0 if the key does not
// exist.
func (a EtcdTxnResponse) foundVersion() int64 {
	for _, r := range a.Responses {
		if r.Range != nil && len(r.Range.KVs) > 0 {
			return r.Range.KVs[0].ModRevision
		}
	}
	return 0
}

// Grant implements Store. The service uses whole seconds, so ttl is rounded up.
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

// read sends a read to the endpoints in turn until one responds.
func (c *EtcdClient) read(ctx context.Context, path string, in, out any) error {
	return c.tryEndpoints(ctx, func(endpoint string, last bool) (bool, error) {
		ctx, cancel := readContext(ctx, last)
		defer cancel()
		err := c.call(ctx, endpoint, path, in, out)
		if errors.Is(err, ErrUnknown) { // a read has no effect, so its outcome cannot be unknown
			err = errors.Wrapf(ErrUnavailable, "%v", err)
		}
		return errors.Is(err, ErrUnavailable), err
	})
}

// write tries the next endpoint only if nothing was sent or the service reported that it did not
// write. A write that is sent twice could undo a later write.
func (c *EtcdClient) write(ctx context.Context, path string, in, out any) error {
	return c.tryEndpoints(ctx, func(endpoint string, _ bool) (bool, error) {
		err := c.call(ctx, endpoint, path, in, out)
		return errors.Is(err, ErrUnavailable), err
	})
}

func readContext(ctx context.Context, last bool) (context.Context, context.CancelFunc) {
	if last {
		return context.WithTimeout(ctx, lastReadTimeout)
	}
	return context.WithTimeout(ctx, readTimeout)
}

// tryEndpoints calls try for the endpoints in turn, starting with the current one, until try reports
// that no further endpoint should be tried. That endpoint becomes the current one, or the endpoint
// after it if the outcome is unknown.
func (c *EtcdClient) tryEndpoints(ctx context.Context, try func(endpoint string, last bool) (bool, error)) error {
	first, n := c.current.Load(), int64(len(c.endpoints))
	var err error
	for i := range n {
		if ctx.Err() != nil && err != nil {
			return err
		}
		at := (first + i) % n
		var next bool
		if next, err = try(c.endpoints[at], i == n-1); next {
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

// call makes one call to one endpoint and decodes the response into out.
func (c *EtcdClient) call(ctx context.Context, endpoint, path string, in, out any) error {
	resp, err := c.post(ctx, c.calls, endpoint+path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		c.calls.CloseIdleConnections()
		return errors.Wrapf(ErrUnknown, "read response: %v", err)
	}
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(out); err != nil {
		return errors.Wrapf(ErrUnknown, "decode response: %v", err)
	}
	return nil
}

// post sends one request and maps every failure to one of the package's errors. A transport failure
// is ErrUnavailable if nothing was sent and ErrUnknown otherwise.
func (c *EtcdClient) post(ctx context.Context, hc *http.Client, url string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
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

// etcdError decodes the error in a response of the service. Only messages that mean that the request
// was not proposed map to ErrUnavailable: "request timed out" has the same status, but such a request
// may have taken effect.
func etcdError(resp *http.Response) error {
	var e EtcdError
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&e)
	return e.toError(resp.Status)
}

func (e EtcdError) toError(status string) error {
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
	return errors.Wrapf(ErrUnknown, "status %s: %s", status, e.Message)
}

func (kv EtcdKV) toKV() KV {
	return KV{Key: string(kv.Key), Value: kv.Value, Version: kv.ModRevision, Lease: LeaseID(kv.Lease)}
}

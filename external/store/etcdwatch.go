package store

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// defaultWatchIdleTimeout is the time without a message after which a watch is reopened. A connection
// can stall permanently while new connections work, and a watch on it would wait forever. The new
// watch starts after the last revision seen, so no event is lost. With one minute, 390 daemons cause
// 6.5 calls per second on the service.
const defaultWatchIdleTimeout = time.Minute

// etcdWatcher reads from one watch connection at a time. When the connection breaks or is idle for too
// long, it opens another that starts after the last revision seen.
type etcdWatcher struct {
	client       *EtcdClient
	prefix       string
	lastRevision int64
	ctx          context.Context // canceled by Close
	cancel       context.CancelFunc
	conn         *watchConn
}

// watchConn is one open watch connection.
type watchConn struct {
	messages chan watchMessage
	cancel   context.CancelFunc
}

type watchMessage struct {
	response EtcdWatchResponse
	err      error
}

// Watch implements Store. It returns once the service has confirmed the watch.
func (c *EtcdClient) Watch(ctx context.Context, prefix string, from int64) (Watcher, error) {
	connCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := &etcdWatcher{client: c, prefix: prefix, lastRevision: from, ctx: connCtx, cancel: cancel}
	if err := w.open(ctx); err != nil {
		cancel()
		return nil, err
	}
	return w, nil
}

// open tries the endpoints in turn and opens a watch that starts after the last revision seen.
func (w *etcdWatcher) open(ctx context.Context) error {
	return w.client.tryEndpoints(ctx, func(endpoint string, last bool) (bool, error) {
		ctx, cancel := readContext(ctx, last)
		defer cancel()
		conn, err := w.connect(ctx, endpoint)
		if errors.Is(err, ErrUnknown) { // a watch has no effect, so its outcome cannot be unknown
			err = errors.Wrapf(ErrUnavailable, "%v", err)
		}
		if err == nil {
			w.conn = conn
		}
		return errors.Is(err, ErrUnavailable), err
	})
}

func (w *etcdWatcher) connect(ctx context.Context, endpoint string) (*watchConn, error) {
	connCtx, cancel := context.WithCancel(w.ctx)
	stop := context.AfterFunc(ctx, cancel)
	r := prefixRange(w.prefix)
	create := EtcdWatchCreate{Key: r.Key, RangeEnd: r.RangeEnd, StartRevision: w.lastRevision + 1}
	resp, err := w.client.post(connCtx, w.client.streams, endpoint+PathWatch, EtcdWatch{Create: create})
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	conn := &watchConn{messages: make(chan watchMessage), cancel: cancel}
	go conn.read(connCtx, resp)
	select {
	case m := <-conn.messages:
		if stop() && m.err == nil && m.response.Created {
			return conn, nil
		}
		cancel()
		if m.err == nil && !m.response.Created {
			m.err = errors.Wrap(ErrUnknown, "watch was not confirmed")
		}
		if m.err == nil {
			m.err = errors.Wrapf(ErrUnavailable, "%v", ctx.Err())
		}
		return nil, m.err
	case <-connCtx.Done():
		cancel()
		return nil, errors.Wrapf(ErrUnavailable, "%v", ctx.Err())
	}
}

func (c *watchConn) read(ctx context.Context, resp *http.Response) {
	defer resp.Body.Close()
	d := json.NewDecoder(resp.Body)
	for {
		m := decodeWatchMessage(d)
		select {
		case c.messages <- m:
		case <-ctx.Done():
			return
		}
		if m.err != nil {
			return
		}
	}
}

func decodeWatchMessage(d *json.Decoder) watchMessage {
	var s EtcdStreamMessage[EtcdWatchResponse]
	err := d.Decode(&s)
	switch {
	case err == io.EOF:
		return watchMessage{err: errors.Wrap(ErrUnavailable, "watch ended")}
	case err != nil:
		return watchMessage{err: errors.Wrapf(ErrUnavailable, "read watch message: %v", err)}
	case s.Error != nil:
		return watchMessage{err: s.Error.toError("in the stream")}
	case s.Result == nil:
		return watchMessage{err: errors.Wrap(ErrUnavailable, "empty watch message")}
	case s.Result.CompactRevision > 0:
		return watchMessage{err: errors.Wrapf(ErrCompacted, "up to %d", s.Result.CompactRevision)}
	case s.Result.Canceled:
		return watchMessage{err: errors.Wrap(ErrUnavailable, "watch cancelled")}
	}
	return watchMessage{response: *s.Result}
}

// Next implements Watcher. It replaces a broken or idle connection and fails only if no endpoint
// accepts a new one or the service reports another error.
func (w *etcdWatcher) Next(ctx context.Context) ([]Event, error) {
	for {
		idle := time.NewTimer(jitter(w.client.watchIdleTimeout))
		m, err := w.nextMessage(ctx, idle.C)
		idle.Stop()
		if err != nil {
			return nil, err
		}
		if m == nil || errors.Is(m.err, ErrUnavailable) {
			if err := w.reopen(ctx); err != nil {
				return nil, err
			}
			continue
		}
		if m.err != nil {
			return nil, m.err
		}
		if events := w.advance(m.response); len(events) > 0 {
			return events, nil
		}
	}
}

// nextMessage returns the next message, or nil if idle fires first.
func (w *etcdWatcher) nextMessage(ctx context.Context, idle <-chan time.Time) (*watchMessage, error) {
	select {
	case m := <-w.conn.messages:
		return &m, nil
	case <-idle:
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.ctx.Done():
		return nil, errors.Wrap(ErrUnavailable, "watch closed")
	}
}

func (w *etcdWatcher) reopen(ctx context.Context) error {
	w.conn.cancel()
	return w.open(ctx)
}

// advance returns the events of r after the last revision seen and moves that revision forward. A
// revision can contain several events, which the service sends in one message.
func (w *etcdWatcher) advance(r EtcdWatchResponse) []Event {
	var events []Event
	last := w.lastRevision
	for _, e := range r.Events {
		if e.KV.ModRevision <= w.lastRevision {
			continue
		}
		last = max(last, e.KV.ModRevision)
		events = append(events, e.toEvent())
	}
	w.lastRevision = last
	return events
}

func (e EtcdEvent) toEvent() Event {
	if e.Type == EtcdDelete {
		return Event{Kind: Deleted, KV: KV{Key: string(e.KV.Key), Version: e.KV.ModRevision}}
	}
	return Event{Kind: Put, KV: e.KV.toKV()}
}

// Revision implements Watcher.
func (w *etcdWatcher) Revision() int64 { return w.lastRevision }

// Close implements Watcher.
func (w *etcdWatcher) Close() error {
	w.cancel()
	return nil
}

// jitter returns a random duration between 75% and 125% of d, so that watches that were opened
// together after an outage are not reopened together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

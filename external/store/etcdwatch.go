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

// defaultWatchIdle is how long a watch may say nothing before it is opened
// anew. A connection may go silent for good while new ones work, and a watch
// on one would wait for ever; a fresh watch starts after the last revision
// seen, so nothing is lost. At a minute, 390 daemons cost the service 6.5
// calls a second.
const defaultWatchIdle = time.Minute

// etcdWatcher reads one watch connection at a time, in a goroutine, and goes
// on with another after the last revision it saw when one breaks or is idle.
type etcdWatcher struct {
	client *EtcdClient
	prefix string
	seen   int64
	ctx    context.Context // ends with Close
	end    context.CancelFunc
	conn   *watchConn
}

// watchConn is one open connection.
type watchConn struct {
	messages chan watchMessage
	end      context.CancelFunc
}

type watchMessage struct {
	answer EtcdWatchResponse
	err    error
}

// Watch implements Store. It returns when the service has confirmed the watch.
func (c *EtcdClient) Watch(ctx context.Context, prefix string, from int64) (Watcher, error) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	w := &etcdWatcher{client: c, prefix: prefix, seen: from, ctx: life, end: end}
	if err := w.open(ctx); err != nil {
		end()
		return nil, err
	}
	return w, nil
}

// open tries the endpoints in turn for a watch after the last revision seen.
func (w *etcdWatcher) open(ctx context.Context) error {
	return w.client.each(ctx, func(endpoint string, last bool) (bool, error) {
		ctx, cancel := readContext(ctx, last)
		defer cancel()
		conn, err := w.connect(ctx, endpoint)
		if errors.Is(err, ErrUnknown) { // a watch has no effect to be unsure of
			err = errors.Wrapf(ErrUnavailable, "%v", err)
		}
		if err == nil {
			w.conn = conn
		}
		return errors.Is(err, ErrUnavailable), err
	})
}

func (w *etcdWatcher) connect(ctx context.Context, endpoint string) (*watchConn, error) {
	life, end := context.WithCancel(w.ctx)
	unlink := context.AfterFunc(ctx, end)
	r := prefixRange(w.prefix)
	create := EtcdWatchCreate{Key: r.Key, RangeEnd: r.RangeEnd, StartRevision: w.seen + 1}
	resp, err := w.client.post(life, w.client.streams, endpoint+PathWatch, EtcdWatch{Create: create})
	if err != nil {
		unlink()
		end()
		return nil, err
	}
	conn := &watchConn{messages: make(chan watchMessage), end: end}
	go conn.read(life, resp)
	select {
	case m := <-conn.messages:
		if unlink() && m.err == nil && m.answer.Created {
			return conn, nil
		}
		end()
		if m.err == nil && !m.answer.Created {
			m.err = errors.Wrap(ErrUnknown, "watch was not confirmed")
		}
		if m.err == nil {
			m.err = errors.Wrapf(ErrUnavailable, "%v", ctx.Err())
		}
		return nil, m.err
	case <-life.Done():
		end()
		return nil, errors.Wrapf(ErrUnavailable, "%v", ctx.Err())
	}
}

func (c *watchConn) read(ctx context.Context, resp *http.Response) {
	defer resp.Body.Close()
	d := json.NewDecoder(resp.Body)
	for {
		m := decodeWatch(d)
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

func decodeWatch(d *json.Decoder) watchMessage {
	var s EtcdStreamMessage[EtcdWatchResponse]
	err := d.Decode(&s)
	switch {
	case err == io.EOF:
		return watchMessage{err: errors.Wrap(ErrUnavailable, "watch ended")}
	case err != nil:
		return watchMessage{err: errors.Wrapf(ErrUnavailable, "watch: %v", err)}
	case s.Error != nil:
		return watchMessage{err: s.Error.fact("in the stream")}
	case s.Result == nil:
		return watchMessage{err: errors.Wrap(ErrUnavailable, "empty message")}
	case s.Result.CompactRevision > 0:
		return watchMessage{err: errors.Wrapf(ErrCompacted, "up to %d", s.Result.CompactRevision)}
	case s.Result.Canceled:
		return watchMessage{err: errors.Wrap(ErrUnavailable, "watch cancelled")}
	}
	return watchMessage{answer: *s.Result}
}

// Next implements Watcher. A broken or idle connection is replaced once by
// another; only when no endpoint gives one does the watcher end.
func (w *etcdWatcher) Next(ctx context.Context) ([]Event, error) {
	for {
		idle := time.NewTimer(jitter(w.client.watchIdle))
		m, err := w.wait(ctx, idle.C)
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
		if events := w.take(m.answer); len(events) > 0 {
			return events, nil
		}
	}
}

// wait returns the next message, or nil when the connection was idle too long.
func (w *etcdWatcher) wait(ctx context.Context, idle <-chan time.Time) (*watchMessage, error) {
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
	w.conn.end()
	return w.open(ctx)
}

// take returns the events not seen yet. A revision may hold several events,
// which the service sends in one message.
func (w *etcdWatcher) take(a EtcdWatchResponse) []Event {
	var events []Event
	last := w.seen
	for _, e := range a.Events {
		if e.KV.ModRevision <= w.seen {
			continue
		}
		last = max(last, e.KV.ModRevision)
		events = append(events, e.event())
	}
	w.seen = last
	return events
}

func (e EtcdEvent) event() Event {
	if e.Type == EtcdDelete {
		return Event{Kind: Deleted, KV: KV{Key: string(e.KV.Key), Version: e.KV.ModRevision}}
	}
	return Event{Kind: Put, KV: e.KV.kv()}
}

// Revision implements Watcher.
func (w *etcdWatcher) Revision() int64 { return w.seen }

// Close implements Watcher.
func (w *etcdWatcher) Close() error {
	w.end()
	return nil
}

// jitter spreads d by a quarter either way, so that watches opened together
// after an outage do not stay in step.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

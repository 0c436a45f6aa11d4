package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Confirmed wraps a Store so that Next of its watches returns at least once per Interval. If there is
// no event within Interval, the watch reads Key with a linearizable read. If the watch has already
// delivered the last change of Key, or if Key does not exist, Next returns an empty batch, which
// confirms that Key is unchanged. Otherwise it returns ErrBehind. Without the read, a watch on a
// stalled connection could not be distinguished from a watch without changes.
type Confirmed struct {
	Store
	Key      string
	Interval time.Duration
}

// ErrBehind means that a watch has not delivered a change that a read has returned.
var ErrBehind = errors.New("store: watch is behind")

// Watch implements Store.
func (c Confirmed) Watch(ctx context.Context, prefix string, from int64) (Watcher, error) {
	inner, err := c.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	watchCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := &confirmedWatcher{inner: inner, store: c, lastRevision: from, batches: make(chan watchBatch), cancel: cancel}
	go w.read(watchCtx)
	return w, nil
}

// watchBatch is one result of the inner watch.
type watchBatch struct {
	events   []Event
	revision int64
	err      error
}

type confirmedWatcher struct {
	inner        Watcher
	store        Confirmed
	lastRevision int64
	batches      chan watchBatch
	cancel       context.CancelFunc
}

// read forwards the batches of the inner watch until it fails or watchCtx ends.
func (w *confirmedWatcher) read(watchCtx context.Context) {
	for {
		events, err := w.inner.Next(watchCtx)
		b := watchBatch{events: events, revision: w.inner.Revision(), err: err}
		select {
		case w.batches <- b:
		case <-watchCtx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// Next implements Watcher.
func (w *confirmedWatcher) Next(ctx context.Context) ([]Event, error) {
	interval := time.NewTimer(w.store.Interval)
	defer interval.Stop()
	select {
	case b := <-w.batches:
		w.lastRevision = max(w.lastRevision, b.revision)
		return b.events, b.err
	case <-interval.C:
		return nil, w.confirm(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *confirmedWatcher) confirm(ctx context.Context) error {
	kv, err := w.store.Get(ctx, w.store.Key)
	switch {
	case errors.Is(err, ErrNotFound):
		return nil
	case err != nil:
		return err
	case kv.Version > w.lastRevision:
		return errors.Wrapf(ErrBehind, "%s is at %d, the watch at %d", w.store.Key, kv.Version, w.lastRevision)
	}
	return nil
}

// Revision implements Watcher.
func (w *confirmedWatcher) Revision() int64 { return w.lastRevision }

// Close implements Watcher.
func (w *confirmedWatcher) Close() error {
	w.cancel()
	return w.inner.Close()
}

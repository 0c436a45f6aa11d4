package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Confirmed makes watches of a Store return at least once in each Hold. A watch
// that has nothing to tell then reads Key, whose answer is linearizable: if the
// watch has delivered its last change, an empty batch says that Key is as it was
// last seen. Otherwise the watch is behind and ends.
type Confirmed struct {
	Store
	Key      string
	Interval time.Duration
}

// ErrBehind means that a watch has not delivered a change that a read shows.
var ErrBehind = errors.New("store: the watch is behind")

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

// watchBatch is what the inner watch gave.
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

// read follows the inner watch until it fails or life ends.
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
	hold := time.NewTimer(w.store.Interval)
	defer hold.Stop()
	select {
	case b := <-w.batches:
		w.lastRevision = max(w.lastRevision, b.revision)
		return b.events, b.err
	case <-hold.C:
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

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
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	w := &confirmedWatcher{inner: inner, from: c, seen: from, batches: make(chan batch), end: end}
	go w.read(life)
	return w, nil
}

// batch is what the inner watch gave.
type batch struct {
	events   []Event
	revision int64
	err      error
}

type confirmedWatcher struct {
	inner   Watcher
	from    Confirmed
	seen    int64
	batches chan batch
	end     context.CancelFunc
}

// read follows the inner watch until it fails or life ends.
func (w *confirmedWatcher) read(life context.Context) {
	for {
		events, err := w.inner.Next(life)
		b := batch{events: events, revision: w.inner.Revision(), err: err}
		select {
		case w.batches <- b:
		case <-life.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// Next implements Watcher.
func (w *confirmedWatcher) Next(ctx context.Context) ([]Event, error) {
	hold := time.NewTimer(w.from.Interval)
	defer hold.Stop()
	select {
	case b := <-w.batches:
		w.seen = max(w.seen, b.revision)
		return b.events, b.err
	case <-hold.C:
		return nil, w.confirm(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *confirmedWatcher) confirm(ctx context.Context) error {
	kv, err := w.from.Get(ctx, w.from.Key)
	switch {
	case errors.Is(err, ErrNotFound):
		return nil
	case err != nil:
		return err
	case kv.Version > w.seen:
		return errors.Wrapf(ErrBehind, "%s is at %d, the watch at %d", w.from.Key, kv.Version, w.seen)
	}
	return nil
}

// Revision implements Watcher.
func (w *confirmedWatcher) Revision() int64 { return w.seen }

// Close implements Watcher.
func (w *confirmedWatcher) Close() error {
	w.end()
	return w.inner.Close()
}

package storesim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/store"
)

// BoundedWatch wraps a Store so that its watches return an empty batch after MaxWait without events.
// The inner store must deliver each change immediately, as store.Memory does, so that an empty batch
// proves that nothing has changed.
type BoundedWatch struct {
	store.Store
	MaxWait time.Duration
}

// Watch implements store.Store.
func (c BoundedWatch) Watch(ctx context.Context, prefix string, from int64) (store.Watcher, error) {
	w, err := c.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	return boundedWatcher{Watcher: w, maxWait: c.MaxWait}, nil
}

type boundedWatcher struct {
	store.Watcher
	maxWait time.Duration
}

// Next implements store.Watcher.
func (w boundedWatcher) Next(ctx context.Context) ([]store.Event, error) {
	limited, cancel := context.WithTimeout(ctx, w.maxWait)
	defer cancel()
	events, err := w.Watcher.Next(limited)
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return nil, nil
	}
	return events, err
}

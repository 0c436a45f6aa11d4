package storesim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/store"
)

// BoundedWatch stands in for a service that holds a watch for a bounded time: a
// watch that has nothing to tell returns an empty batch after Hold. The inner
// store must deliver each change at once, as store.Memory does, so that an
// empty batch proves that nothing changed.
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
	return confirmingWatch{Watcher: w, hold: c.MaxWait}, nil
}

type confirmingWatch struct {
	store.Watcher
	hold time.Duration
}

// Next implements store.Watcher.
func (w confirmingWatch) Next(ctx context.Context) ([]store.Event, error) {
	limited, cancel := context.WithTimeout(ctx, w.hold)
	defer cancel()
	events, err := w.Watcher.Next(limited)
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return nil, nil
	}
	return events, err
}

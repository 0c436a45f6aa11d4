package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A watch without events returns an empty batch, and later delivers a change.
func TestConfirmedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		m := NewMemory()
		version, err := m.CompareAndSwap(ctx, "k", 0, []byte("1"), 0)
		must.NoError(t, err)
		c := Confirmed{Store: m, Key: "k", Interval: time.Second}
		w, err := c.Watch(ctx, "", version)
		must.NoError(t, err)
		events, err := w.Next(ctx)
		must.NoError(t, err)
		must.SliceEmpty(t, events)
		version, err = m.CompareAndSwap(ctx, "k", version, []byte("2"), 0)
		must.NoError(t, err)
		events, err = w.Next(ctx)
		must.NoError(t, err)
		must.SliceLen(t, 1, events)
		must.Eq(t, version, w.Revision())
		must.NoError(t, w.Close())
	})
}

// silentWatchStore is a store whose watches stay open and never deliver an event.
type silentWatchStore struct{ Store }

type silentWatch struct{}

func (silentWatch) Next(ctx context.Context) ([]Event, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (silentWatch) Revision() int64 { return 0 }
func (silentWatch) Close() error    { return nil }

func (silentWatchStore) Watch(context.Context, string, int64) (Watcher, error) {
	return silentWatch{}, nil
}

// The connection of a watch has stalled permanently, so a change is never delivered. The read of Key
// must detect this; otherwise the daemon would treat its outdated data as confirmed.
func TestConfirmedWatchDetectsMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory()
		version, err := m.CompareAndSwap(t.Context(), "k", 0, []byte("1"), 0)
		must.NoError(t, err)
		w, err := Confirmed{Store: silentWatchStore{m}, Key: "k", Interval: time.Second}.Watch(t.Context(), "", version)
		must.NoError(t, err)
		_, err = w.Next(t.Context())
		must.NoError(t, err)
		_, err = m.CompareAndSwap(t.Context(), "k", version, []byte("2"), 0)
		must.NoError(t, err)
		_, err = w.Next(t.Context())
		must.ErrorIs(t, err, ErrBehind)
		must.NoError(t, w.Close())
	})
}

func TestConfirmedWatchEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, err := Confirmed{Store: NewMemory(), Key: "k", Interval: time.Second}.Watch(t.Context(), "", 0)
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = w.Next(ctx)
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.NoError(t, w.Close())
	})
}

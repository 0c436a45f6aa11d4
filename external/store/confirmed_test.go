package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A watch has nothing to tell for a while and then a change.
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

// deafStore is a store whose watches stay open and never deliver.
type deafStore struct{ Store }

type deafWatch struct{}

func (deafWatch) Next(ctx context.Context) ([]Event, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (deafWatch) Revision() int64 { return 0 }
func (deafWatch) Close() error    { return nil }

func (deafStore) Watch(context.Context, string, int64) (Watcher, error) { return deafWatch{}, nil }

// The connection of a watch went silent for good. A read shows the change that
// never arrives; without it the daemon would take what it knows for confirmed.
func TestConfirmedWatchThatIsDeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory()
		version, err := m.CompareAndSwap(t.Context(), "k", 0, []byte("1"), 0)
		must.NoError(t, err)
		w, err := Confirmed{Store: deafStore{m}, Key: "k", Interval: time.Second}.Watch(t.Context(), "", version)
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

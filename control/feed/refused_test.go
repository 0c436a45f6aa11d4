package feed

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

func TestRefusedRequestsAreInTheView(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	tab.put(store.KV{Key: RefusedKey("abc"), Value: []byte(`{"route":"r","servers":["s-1"]}`), Version: 1})
	tab.put(store.KV{Key: RefusedKey("def"), Value: []byte("no object"), Version: 2})
	refused := tab.view().Refused
	must.MapLen(t, 2, refused)
	must.Eq(t, []string{"s-1"}, refused["abc"].Servers)
	must.Eq(t, "def", refused["def"].Digest) // what cannot be read refuses all the same
	tab.remove(time.Second, RefusedKey("abc"), 3)
	must.MapNotContainsKey(t, tab.view().Refused, "abc")
}

func TestRefusalIsWrittenOnceAndReachesAll(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.startRegistered()
		time.Sleep(3 * time.Second)
		for _, m := range f.feeds[:2] {
			must.NoError(t, m.AddRefused(f.ctx, RefusedRequest{Digest: "abc", Route: "r"}))
		}
		time.Sleep(2 * time.Second)
		for _, m := range f.feeds {
			must.Eq(t, "0", m.View().Refused["abc"].By)
		}
	})
}

func TestRefusalIsListedAndLifted(t *testing.T) {
	s := store.NewMemory()
	for _, digest := range []string{"b", "a"} {
		_, err := s.CompareAndSwap(t.Context(), RefusedKey(digest), 0, []byte(`{"account":"mill","route":"r","servers":["s-1"]}`), 0)
		must.NoError(t, err)
	}
	list, err := ListRefused(t.Context(), s)
	must.NoError(t, err)
	must.Eq(t, []RefusedRequest{
		{Digest: "a", Account: "mill", Route: "r", Servers: []string{"s-1"}},
		{Digest: "b", Account: "mill", Route: "r", Servers: []string{"s-1"}},
	}, list)
	must.NoError(t, DeleteRefused(t.Context(), s, "a"))
	must.ErrorIs(t, DeleteRefused(t.Context(), s, "a"), store.ErrNotFound)
}

package feed

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/external/store"
)

// watchFault is how each call of a watch fails: with an error, some time after it was made.
type watchFault struct {
	after time.Duration
	err   error
}

// failingWatches is a store whose watches fail while a fault is set. It serves all other calls.
type failingWatches struct {
	store.Store
	fault atomic.Pointer[watchFault]
}

func (s *failingWatches) Watch(ctx context.Context, prefix string, from int64) (store.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, from)
	return failingWatcher{w, s}, err
}

type failingWatcher struct {
	store.Watcher
	store *failingWatches
}

func (w failingWatcher) Next(ctx context.Context) ([]store.Event, error) {
	fault := w.store.fault.Load()
	if fault == nil {
		return w.Watcher.Next(ctx)
	}
	pause.For(ctx, fault.after)
	return nil, fault.err
}

// failWatches lets the watches of daemon n fail while a fault is set. The daemon must not be started yet.
func (f *fleet) failWatches(n int) *failingWatches {
	s := &failingWatches{Store: f.feeds[n].opts.Store}
	f.feeds[n].opts.Store = s
	return s
}

// Guards against a watch that fails each time being repeated as it is, while servers leave unnoticed.
func TestDepartureIsSeenAlthoughTheWatchFails(t *testing.T) {
	for name, c := range map[string]struct {
		fault  watchFault
		within time.Duration
		// listEvery is the least time from one list of the whole store to the next.
		listEvery time.Duration
	}{
		"malformed": {watchFault{0, errors.New("malformed response")}, 2 * time.Second, 500 * time.Millisecond},
		"cut":       {watchFault{100 * time.Millisecond, store.ErrUnavailable}, 2500 * time.Millisecond, 800 * time.Millisecond},
		"silent":    {watchFault{2200 * time.Millisecond, store.ErrUnavailable}, 6500 * time.Millisecond, 4400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 1, func(f *fleet) {
				f.put("server/1", "a:1")
				watches := f.failWatches(0)
				f.start(0)
				time.Sleep(3 * time.Second)
				watches.fault.Store(&c.fault)
				time.Sleep(c.within)
				before := f.faultyStores[0].Counts()
				const changes = 6
				for n := range changes / 2 {
					f.remove("server/1")
					time.Sleep(c.within)
					must.Eq(f.t, "", f.serversIn(0), must.Sprint(n))
					f.put("server/1", fmt.Sprintf("a:%d", n+2))
					time.Sleep(c.within)
					must.Eq(f.t, "1", f.serversIn(0), must.Sprint(n))
				}
				after := f.faultyStores[0].Counts()
				f.t.Logf("%d lists and %d reads in %s", after.List-before.List, after.Reads()-before.Reads(), changes*c.within)
				must.LessEq(f.t, int64(changes*c.within/c.listEvery)+1, after.List-before.List)

				watches.fault.Store(nil)
				time.Sleep(3 * time.Second)
				before = f.faultyStores[0].Counts()
				time.Sleep(10 * time.Second)
				must.Eq(f.t, before.List, f.faultyStores[0].Counts().List)
			})
		})
	}
}

// Guards against daemons that all read the whole store again after an outage of the store.
func TestOutageLeadsToNoNewList(t *testing.T) {
	const size = 8
	for _, outage := range []time.Duration{700 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			inFleet(t, size, func(f *fleet) {
				f.startRegistered()
				time.Sleep(5 * time.Second)
				before := f.faultyStores[0].Counts()
				for _, s := range f.faultyStores {
					s.SetDown(true)
				}
				time.Sleep(outage)
				for _, s := range f.faultyStores {
					s.SetDown(false)
				}
				time.Sleep(3 * time.Second)
				for _, s := range f.faultyStores {
					must.Eq(f.t, before.List, s.Counts().List)
				}
			})
		})
	}
}

// Guards against a daemon that counts as up to date by its configuration alone, asks no peer, and hears of no departure.
func TestDaemonWhoseWatchFailsHearsOfDeparturesFromPeer(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.put("server/1", "a:1")
		watches := f.failWatches(1)
		f.startRegistered()
		time.Sleep(3 * time.Second)
		watches.fault.Store(&watchFault{2200 * time.Millisecond, store.ErrUnavailable})
		time.Sleep(6 * time.Second)
		const within = 2 * time.Second
		for n := range 5 {
			f.remove("server/1")
			time.Sleep(within)
			must.Eq(f.t, "", f.serversIn(1), must.Sprint(n))
			f.put("server/1", fmt.Sprintf("a:%d", n+2))
			time.Sleep(within)
			must.Eq(f.t, "1", f.serversIn(1), must.Sprint(n))
		}
	})
}

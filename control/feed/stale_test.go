package feed

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// twoPages is a list whose second page, from server/5 on, is newer than its first one.
func twoPages(kvs ...store.KV) store.Listing {
	return store.Listing{KVs: kvs, Pages: store.Pages{{LastKey: "server/4", Revision: 100}, {Revision: 200}}}
}

// Guards against a watch from the oldest page of a list that undoes what newer pages have shown: the
// server would vanish, or be used again after it left, until a later batch arrives.
func TestChangesOlderThanPageAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		change store.Event
		want   string
	}{
		"removal before the key was written again": {deleteEvent("server/7", 130), "1 7"},
		"earlier value, as leaving":                {putEvent("server/7", "leaving g:1", 120), "1 7"},
		"key that was removed later":               {putEvent("server/8", "h:1", 150), "1 7"},
		"key of the older page":                    {putEvent("server/2", "b:1", 150), "1 2 7"},
		"removal from the older page":              {deleteEvent("server/1", 150), "7"},
		"key written after the newer page":         {putEvent("server/8", "h:1", 201), "1 7 8"},
		"removal after the newer page":             {deleteEvent("server/7", 201), "1"},
	} {
		tab := newTable(textSchema{}, event.Discard())
		tab.replaceAll(0, twoPages(testEntry("server/1", "a:1", 50), testEntry("server/7", "g:1", 140)))
		tab.entries.setComplete(100)
		tab.applyEvents(0, []store.Event{c.change})
		must.Eq(t, c.want, serverIDs(tab), must.Sprint(name))
		must.False(t, tab.view().HasDeparted("7") != (name == "removal after the newer page"), must.Sprint(name))
	}
}

// Guards against a reread that takes the absence of a key from an older page for the removal of a newer
// entry.
func TestAbsenceFromOlderPageKeepsNewerEntry(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.applyEvents(0, []store.Event{putEvent("server/1", "a:1", 90), putEvent("server/2", "b:1", 150), putEvent("server/7", "g:1", 150)})
	tab.replaceAll(0, twoPages())
	must.Eq(t, "2", serverIDs(tab))
}

// lateListStore is a store in which a configuration is written between a read of it and a list.
type lateListStore struct {
	store.Store
	write func()
}

func (s lateListStore) ListStale(ctx context.Context, prefix string) (store.Listing, error) {
	time.Sleep(time.Second)
	s.write()
	return s.Store.ListStale(ctx, prefix)
}

// Guards against a daemon that never knows the configuration, because it was written after the read of it
// had found none and before the list was made, from which the watch continues.
func TestConfigurationWrittenBeforeListIsKnown(t *testing.T) {
	for name, earlier := range map[string]string{"none before": "", "another before": "v"} {
		inFleet(t, 1, func(f *fleet) {
			f.remove("config")
			if earlier != "" {
				f.put("config", earlier)
			}
			f.feeds[0].opts.Store = lateListStore{f.feeds[0].opts.Store, func() { f.put("config", "vvv") }}
			must.NoError(t, f.feeds[0].readInitial(f.ctx))
			must.Eq(t, 3, f.version(0), must.Sprint(name))
		})
	}
}

// Guards against an entry VM that was removed and stays registered for good, because the second read of
// the registrations is older than what the daemon knows.
func TestOlderReadOfRegistrationsAddsNoRemovedVM(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		var age time.Duration
		f.store.ServeStale(store.StaleReads{PageItems: 100, Age: func(string) time.Duration { return age }})
		f.put(vmPrefix+"1", `{"id":"1","address":"a:1"}`)
		time.Sleep(time.Second)
		f.remove(vmPrefix + "1")
		time.AfterFunc(registrationSettleTime/2, func() { age = time.Second }) // of the second read
		f.start(0)
		time.Sleep(3 * time.Second) // until its watch has told what the stale reads lack
		must.True(t, f.feeds[0].IsReady())
		must.SliceEmpty(t, f.feeds[0].View().VMs)
	})
}

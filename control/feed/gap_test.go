package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// silentWatchStore is a store whose watches answer nothing while silent is set, and are cut when it
// is reset.
type silentWatchStore struct {
	store.Store
	silent *atomic.Bool
}

func (s silentWatchStore) Watch(ctx context.Context, prefix string, from int64) (store.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, from)
	return silentWatcher{w, s.silent}, err
}

type silentWatcher struct {
	store.Watcher
	silent *atomic.Bool
}

func (w silentWatcher) Next(ctx context.Context) ([]store.Event, error) {
	if !w.silent.Load() {
		return w.Watcher.Next(ctx)
	}
	for w.silent.Load() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return nil, store.ErrUnavailable
}

// The store's watches answer nothing for almost two seconds, then its history is dropped and they are
// cut. Only the daemons that watch may read everything again: if all did, each would take seconds
// for it, and a release or a roll-out ordered meanwhile would be known seconds late.
func TestOnlyWatchersReadAgainAfterGap(t *testing.T) {
	const size = 61
	inFleet(t, size, func(f *fleet) {
		var silent atomic.Bool
		for _, m := range f.feeds {
			m.opts.Store = silentWatchStore{m.opts.Store, &silent}
		}
		f.startRegistered()
		time.Sleep(10 * time.Second)
		lists := func() (n int64) {
			for _, faulty := range f.faultyStores {
				n += faulty.Counts().List
			}
			return n
		}
		before := lists()
		silent.Store(true)
		for n := range 9 {
			time.Sleep(200 * time.Millisecond)
			f.put("server/"+fmt.Sprint(n), fmt.Sprint("a:", n))
		}
		f.put("config", "vv")
		list, err := f.store.List(f.t.Context(), "")
		must.NoError(t, err)
		f.store.Compact(list.Pages.Oldest())
		silent.Store(false)
		time.Sleep(1200 * time.Millisecond)
		for n, m := range f.feeds {
			must.Eq(t, int64(2), f.version(n), must.Sprint(n))
			must.Eq(t, 9, m.View().Servers["s"].Len(), must.Sprint(n))
		}
		must.LessEq(t, watchplan.MaxWatchers, int(lists()-before))
	})
}

// pagedState returns a Manager that holds a state of so many servers.
func pagedState(t *testing.T, servers int) *Manager {
	source := New(Options{Store: store.NewMemory(), Schema: textSchema{}, Clock: func() time.Duration { return time.Hour }, Log: event.Discard(), Self: "source"})
	items := []store.KV{testEntry("config", "v", 1)}
	random := rand.New(rand.NewPCG(1, 1))
	for n := range servers {
		value := fmt.Sprintf("10.%d.%d.%d:%d with a description of usual length in plain text, which %d", n>>16, n>>8&255, n&255, n+1, random.Uint64())
		items = append(items, testEntry(fmt.Sprintf("server/i-%010x", random.Uint64()>>24), value, int64(n+2)))
	}
	source.apply(basis{confirmedAt: time.Hour, completeAt: time.Hour, revision: int64(servers + 1)}, func() {
		source.table.replaceAll(0, store.NewListing(items, 1))
	})
	return source
}

// A daemon that starts asks a peer for everything. At 10,000 servers that is megabytes, which a
// small VM's link does not carry before the question times out, least of all for twenty daemons at
// once: the state must come in replies of bounded size, each of which is progress.
func TestWholeStateArrivesInBoundedReplies(t *testing.T) {
	const servers, maxReplyBytes = 10_000, 64 << 10
	synctest.Test(t, func(t *testing.T) {
		source := pagedState(t, servers)
		sink := newTable(textSchema{}, event.Discard())
		have, replies := int64(0), 0
		for {
			reply, err := feedService{source}.Snapshot(t.Context(), &peerpb.SnapshotRequest{Have: have})
			must.NoError(t, err)
			must.LessEq(t, maxReplyBytes, proto.Size(reply))
			replies++
			reply, err = unpack(reply)
			must.NoError(t, err)
			must.Greater(t, have, reply.GetRevision())
			have = reply.GetRevision()
			sink.applyPage(0, have, !reply.GetPartial(), replyEvents(reply, reply.GetRemoved()))
			if !reply.GetPartial() {
				break
			}
		}
		t.Logf("%d replies", replies)
		must.Eq(t, servers, sink.view().Servers["s"].Len())
		must.Eq(t, source.revision.Load(), have)
		must.LessEq(t, maxCachedPages, len(source.pages))
	})
}

// Servers change and leave between two pages. The daemon that asks must end up with exactly what the
// source holds.
func TestStateChangesBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := pagedState(t, 3000)
		sink := newTable(textSchema{}, event.Discard())
		have, version := int64(0), int64(10_000)
		for partial := true; partial; {
			reply, err := feedService{source}.Snapshot(t.Context(), &peerpb.SnapshotRequest{Have: have})
			must.NoError(t, err)
			reply, err = unpack(reply)
			must.NoError(t, err)
			have, partial = reply.GetRevision(), reply.GetPartial()
			sink.applyPage(0, have, !partial, replyEvents(reply, reply.GetRemoved()))
			if partial {
				version += 10
				source.apply(basis{revision: version}, func() {
					n := 0
					for key := range source.table.entries.kvs {
						if n++; n > 20 || key == "config" {
							break
						}
						if n%2 == 0 {
							source.table.remove(0, key, version)
						} else {
							source.table.put(testEntry(key, fmt.Sprint("leaving b:", version, n), version))
						}
					}
				})
			}
		}
		must.Eq(t, len(source.table.entries.kvs), len(sink.entries.kvs))
		for key, kv := range source.table.entries.kvs {
			must.Eq(t, kv.Version, sink.entries.kvs[key].Version, must.Sprint(key))
		}
	})
}

// All daemons start anew while the store holds thousands of servers. A daemon may hear the first pages
// from a peer before its own first read of the store, which is older. It must end up with everything,
// whichever arrives first.
func TestFirstReadBetweenPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := pagedState(t, 3000)
		m := New(Options{Store: store.NewMemory(), Schema: textSchema{}, Clock: func() time.Duration { return time.Hour }, Log: event.Discard(), Self: "sink"})
		poll := func() (partial bool) {
			have := m.toldRevision()
			reply, err := feedService{source}.Snapshot(t.Context(), &peerpb.SnapshotRequest{Have: have})
			must.NoError(t, err)
			reply, err = unpack(reply)
			must.NoError(t, err)
			m.applyReply(time.Hour, have, "source", reply)
			return reply.GetPartial()
		}
		must.True(t, poll())
		must.True(t, poll())
		_, known := m.confirmationAge()
		must.False(t, known)
		must.Zero(t, m.revision.Load())

		late, err := feedService{source}.Snapshot(t.Context(), &peerpb.SnapshotRequest{Have: m.toldRevision()})
		must.NoError(t, err)
		after := m.toldRevision()
		m.apply(basis{confirmedAt: time.Hour, revision: 100}, func() {
			m.table.replaceAll(time.Hour, store.NewListing([]store.KV{testEntry("config", "v", 1)}, 100))
		})
		late, err = unpack(late)
		must.NoError(t, err)
		m.applyReply(time.Hour, after, "source", late) // rests on what the read has replaced
		must.Eq(t, int64(100), m.revision.Load())
		must.Eq(t, int(after-100), m.View().Servers["s"].Len()) // those of revisions 101 to after
		for poll() {
		}
		must.Eq(t, source.revision.Load(), m.revision.Load())
		must.Eq(t, 2901, m.View().Servers["s"].Len()) // those of revisions 101 to 3001
	})
}

// Guards against a server that stays in use at a daemon which saw it come, after the peer that it asks
// lost the history in which the server came and went.
func TestPeerTellsOfKeysRemovedInItsGap(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		source, sink := f.feeds[0], f.feeds[1]
		must.NoError(f.t, source.readAll(f.ctx))
		f.put("server/1", "a:1")
		must.NoError(f.t, sink.readAll(f.ctx))
		must.Eq(f.t, "1", f.serversIn(1))
		f.remove("server/1")
		f.put("config", "vv")
		must.NoError(f.t, source.readAll(f.ctx))
		must.Eq(f.t, peerUsable, sink.pollPeer(f.ctx, "0:1", 0))
		must.Eq(f.t, "", f.serversIn(1))
	})
}

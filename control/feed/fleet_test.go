package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/watching"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// fleet is a few feeds before one store, each with its own way to it, in
// virtual time.
type fleet struct {
	t     *testing.T
	began time.Time
	store *store.Memory
	ways  []*store.Faulty
	feeds []*Manager
	cut   sync.Map        // of daemons that answer no other, by number
	ended sync.Map        // of daemons that are not running, by number
	mu    sync.Mutex      // guards ways and feeds where daemons start again
	ctx   context.Context // of the daemons
	done  sync.WaitGroup
}

// RoundTrip implements http.RoundTripper: daemon n has the address "n:1".
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	n, err := strconv.Atoi(r.URL.Hostname())
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	if _, cut := f.cut.Load(n); cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if _, ended := f.ended.Load(n); ended {
		return nil, errors.Errorf("connection to %d refused", n)
	}
	f.mu.Lock()
	_, h := f.feeds[n].Handler()
	f.mu.Unlock()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

func inFleet(t *testing.T, size int, test func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, store: store.NewMemory(), began: time.Now()}
		ctx, stop := context.WithCancel(t.Context())
		f.ctx = ctx
		for n := range size {
			way := store.NewFaulty(f.store)
			m := New(Options{
				Store: storesim.Confirming{Store: way, Hold: time.Second}, Schema: lineSchema{}, Log: event.Discard(),
				Clock: f.clock, Self: strconv.Itoa(n), Seeds: []string{"0:1"}, Dialer: link.NewDialerWith(f.client()),
			})
			f.ways, f.feeds = append(f.ways, way), append(f.feeds, m)
		}
		f.put("config", "v")
		test(f)
		stop()
		f.done.Wait()
	})
}

// clock is the daemons' clock, which reads an hour at the start.
func (f *fleet) clock() time.Duration { return time.Since(f.began) + time.Hour }

// client is what daemons call each other with.
func (f *fleet) client() *http.Client { return &http.Client{Transport: f} }

func (f *fleet) start(n int) {
	f.done.Go(func() { f.feeds[n].Run(f.ctx) })
}

// startRegistered starts all daemons, with their entries in the store.
func (f *fleet) startRegistered() {
	for n := range f.feeds {
		id := strconv.Itoa(n)
		f.put(vmPrefix+id, `{"id":"`+id+`","address":"`+id+`:2","peer":"`+id+`:1"}`)
		f.start(n)
	}
}

// record has daemon n, which is not started yet, write a log that is read back.
func (f *fleet) record(n int) *lines {
	out, log := recorded()
	f.feeds[n].opts.Log, f.feeds[n].table.log = log, log
	return out
}

func (f *fleet) put(key, value string) {
	f.t.Helper()
	var version int64
	if kv, err := f.store.Get(f.t.Context(), key); err == nil {
		version = kv.Version
	}
	_, err := f.store.CompareAndSwap(f.t.Context(), key, version, []byte(value), 0)
	must.NoError(f.t, err)
}

// version is the configuration in force at daemon n, 0 if none.
func (f *fleet) version(n int) int64 {
	if c := f.feeds[n].View().Config; c != nil {
		return c.Version
	}
	return 0
}

// The store refuses one daemon and serves another. A key is taken away. The
// refused daemon must neither go on with the old configuration as if it were
// confirmed, nor turn its callers away: it learns from its neighbour.
func TestRefusedDaemonLearnsFromItsNeighbour(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start(0)
		f.start(1)
		time.Sleep(2 * time.Second)
		f.ways[1].SetDown(true)
		time.Sleep(time.Second)
		f.put("config", "vv")
		f.put("server/1", "a:1")
		time.Sleep(4 * time.Second)
		must.Eq(t, int64(2), f.version(1))
		must.MapLen(t, 1, f.feeds[1].View().Servers)
		age, known := f.feeds[1].ConfigAge()
		must.True(t, known)
		must.Less(t, 3*time.Second, age)
		f.ways[1].SetDown(false)
		f.put("config", "vvv")
		time.Sleep(2 * time.Second)
		must.Eq(t, int64(3), f.version(1))
	})
}

// A server leaves while a daemon is cut off, and the neighbour that the daemon hears from
// first has started since: it never knew of the server, so it cannot name it among what was
// removed. The daemon must not go on sending requests there.
func TestRemovalBeforeTheNeighbourStarted(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.put("server/1", "a:1")
		f.put("server/2", "b:1")
		f.start(1)
		time.Sleep(2 * time.Second)
		must.SliceLen(t, 2, f.feeds[1].View().Servers["s"])
		f.ways[1].SetDown(true)
		f.cut.Store(0, true)
		time.Sleep(5 * time.Second)
		kv, err := f.store.Get(f.t.Context(), "server/1")
		must.NoError(t, err)
		must.NoError(t, f.store.Delete(f.t.Context(), "server/1", kv.Version))
		f.start(0)
		f.cut.Delete(0)
		time.Sleep(2*time.Second + doubtTime)
		must.SliceLen(t, 1, f.feeds[1].View().Servers["s"])
		must.Eq(t, "2", f.feeds[1].View().Servers["s"][0].ID)
	})
}

// A daemon starts while the store refuses it and knows nobody but the seeds.
func TestDaemonThatStartsWithoutTheStore(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start(0)
		time.Sleep(time.Second)
		f.ways[1].SetDown(true)
		f.start(1)
		time.Sleep(2 * time.Second)
		must.Eq(t, int64(1), f.version(1))
	})
}

// The store is down for everybody. Daemons ask each other, and what they hear
// is as old as what they know: the age must grow, or keys that were taken away
// meanwhile would be trusted for ever.
func TestAgeGrowsWhenNobodyReachesTheStore(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		for n := range f.feeds {
			f.start(n)
		}
		time.Sleep(2 * time.Second)
		for _, way := range f.ways {
			way.SetDown(true)
		}
		time.Sleep(10 * time.Second)
		for _, m := range f.feeds {
			age, known := m.ConfigAge()
			must.True(t, known)
			must.GreaterEq(t, 10*time.Second, age)
			must.True(t, m.IsStoreDown())
		}
		f.ways[0].SetDown(false)
		time.Sleep(3 * time.Second)
		for _, m := range f.feeds {
			must.False(t, m.IsStoreDown())
		}
	})
}

// A daemon was cut off from the store and is back. Then a server leaves by
// removing its entry, which may also be a lease that ran out meanwhile, so it
// stays in use for a moment. A change elsewhere keeps the watch busy; the server
// must be out of use in time all the same.
func TestDoubtEndsInTime(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.start(0)
		f.put("server/1", "a:1")
		time.Sleep(2 * time.Second)
		f.ways[0].SetDown(true)
		time.Sleep(3 * time.Second)
		f.ways[0].SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		f.put("server/2", "b:1") // the next question is sent a batch later
		time.Sleep(batchPause + time.Millisecond)
		kv, err := f.store.Get(f.t.Context(), "server/1")
		must.NoError(t, err)
		must.NoError(t, f.store.Delete(f.t.Context(), "server/1", kv.Version))
		time.Sleep(doubtTime - 100*time.Millisecond)
		must.SliceLen(t, 2, f.feeds[0].View().Servers["s"])
		f.put("server/3", "c:1")
		time.Sleep(200 * time.Millisecond)
		must.SliceLen(t, 2, f.feeds[0].View().Servers["s"])
		must.Eq(t, "2", f.feeds[0].View().Servers["s"][0].ID)
	})
}

// Forty daemons stand before the store, which counts each call. A few watch it
// and the others ask those; a change is in force everywhere within a second, and
// a removal too. Then all that watch are lost: the others must notice by
// themselves, well before they cease to trust keys.
func TestLargeFleetSharesFewWatches(t *testing.T) {
	const size = 40
	inFleet(t, size, func(f *fleet) {
		f.startRegistered()
		f.put("server/1", "a:1")
		time.Sleep(10 * time.Second)
		calls := func() (n int64) {
			for _, way := range f.ways {
				n += way.Counts().Reads()
			}
			return n
		}
		before := calls()
		f.put("config", "vv")
		f.put("server/2", "b:1")
		kv, err := f.store.Get(f.t.Context(), "server/1")
		must.NoError(t, err)
		must.NoError(t, f.store.Delete(f.t.Context(), "server/1", kv.Version))
		time.Sleep(time.Second)
		for n, m := range f.feeds {
			must.Eq(t, int64(2), f.version(n))
			must.SliceLen(t, 1, m.View().Servers["s"])
			must.Eq(t, "2", m.View().Servers["s"][0].ID)
		}
		time.Sleep(9 * time.Second)
		must.LessEq(t, watching.SmallFleetSize, int(calls()-before)) // no watch was opened anew
		for _, id := range f.feeds[0].View().plan.Watchers() {
			n, err := strconv.Atoi(id)
			must.NoError(t, err)
			f.ways[n].SetDown(true)
		}
		for range 10 {
			time.Sleep(500 * time.Millisecond)
			for _, m := range f.feeds {
				age, known := m.ConfigAge()
				must.True(t, known)
				must.Less(t, 4500*time.Millisecond, age)
			}
		}
	})
}

// The few daemons that watch the store for the others are lost to them: they are cut off,
// or the store refuses them alone. The operator takes a route away or adds one, and callers
// at the others must see that within two seconds: nobody must go on asking daemons that
// cannot know, until the configuration is old enough to be doubted.
func TestChangeWhileThoseThatWatchAreLost(t *testing.T) {
	const size = 40
	cases := map[string]struct {
		lose   func(f *fleet, n int)
		within time.Duration
	}{
		"cut off": {func(f *fleet, n int) { f.cut.Store(n, true) }, 1500 * time.Millisecond},
		"refused": {func(f *fleet, n int) { f.ways[n].SetDown(true) }, 1500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inFleet(t, size, func(f *fleet) {
				f.startRegistered()
				time.Sleep(10 * time.Second)
				lost := map[int]bool{}
				for _, id := range f.feeds[0].View().plan.Watchers() {
					n, err := strconv.Atoi(id)
					must.NoError(f.t, err)
					lost[n] = true
					c.lose(f, n)
				}
				time.Sleep(100 * time.Millisecond)
				f.put("config", "vv")
				time.Sleep(c.within)
				for n := range f.feeds {
					if !lost[n] {
						must.Eq(f.t, int64(2), f.version(n))
					}
				}
			})
		})
	}
}

// Hundreds of daemons are told of each change by the few that watch the store. Told
// from anywhere, two thirds of it passes between zones, which is paid for, and eight
// that watch fill their links: a change is late. Each zone has its own that watch.
func TestDaemonsAskWithinTheirZone(t *testing.T) {
	const size = 300
	view := &View{Config: &routing.Config{}}
	zone := map[string]string{}
	for n := range size {
		vm := routing.VM{ID: "vm-" + strconv.Itoa(n), Zone: string(rune('a' + n%3)), PeerAddress: strconv.Itoa(n) + ":1"}
		view.VMs = append(view.VMs, vm)
		zone[vm.PeerAddress] = vm.Zone
	}
	view.plan = planOf(view.VMs)
	asked := map[string]int{}
	for _, vm := range view.VMs {
		m := New(Options{Self: vm.ID, Log: event.Discard(), Dialer: link.NewDialerWith(nil), Clock: func() time.Duration { return time.Hour }})
		m.view.Store(view)
		m.confirmed.Store(int64(time.Hour))
		for turn := range 5 {
			m.turn.Store(uint64(turn))
			near, _ := m.sources()
			if len(near) == 0 {
				must.True(t, m.watches()) // it asks nobody
				continue
			}
			must.Eq(t, vm.Zone, zone[near[0]])
			asked[near[0]]++
		}
	}
	must.MapLen(t, size/watching.ClientsPerRelay, asked)
	for _, n := range asked {
		must.LessEq(t, 5*watching.ClientsPerRelay*3/2, n)
	}
}

// The store is down for every daemon of a large fleet. If all of them try it again
// four times a second, they make hundreds of calls a second, each of which is paid
// for, and meet it together when it returns. Few try; after its return all know
// the newest within two seconds.
func TestLargeFleetWaitsForTheStore(t *testing.T) {
	const size, outage = 40, 8 * time.Second
	inFleet(t, size, func(f *fleet) {
		f.startRegistered()
		time.Sleep(10 * time.Second)
		calls := func() (n int64) {
			for _, way := range f.ways {
				n += way.Counts().Reads()
			}
			return n
		}
		for _, way := range f.ways {
			way.SetDown(true)
		}
		time.Sleep(4 * time.Second) // until all know that it is down for all
		before := calls()
		time.Sleep(outage - 4*time.Second)
		must.Less(t, 250, int(calls()-before)) // 625 if all ask four times a second
		for _, way := range f.ways {
			way.SetDown(false)
		}
		f.put("config", "vv")
		time.Sleep(2 * time.Second)
		for n := range f.feeds {
			must.Eq(t, int64(2), f.version(n))
		}
	})
}

// A watch answers late with changes that another daemon has long told. The view
// must not go back to them.
func TestLateAnswerUndoesNothing(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		m := f.feeds[0]
		m.apply(time.Hour, 9, func() { m.table.change(0, []store.Event{put("server/1", "leaving a:1", 9)}) })
		m.apply(time.Hour, 5, func() { m.table.change(0, []store.Event{put("server/1", "a:1", 5)}) })
		must.True(t, m.View().Servers["s"][0].Draining)
	})
}

// The registration is written again when its lease has run out in an outage.
func TestRegistrationReturns(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.start(0)
		r := &Registrar{Store: f.ways[0], VM: routing.VM{ID: "vm-7", Address: "x:2", PeerAddress: "x:1"}, Log: event.Discard()}
		ctx, cancel := context.WithCancel(f.t.Context())
		f.done.Go(func() { r.Run(ctx) })
		registered := func() bool {
			var names []string
			for _, vm := range f.feeds[0].View().VMs {
				names = append(names, vm.ID)
			}
			return strings.Join(names, " ") == "vm-7"
		}
		time.Sleep(2 * time.Second)
		must.True(t, registered())
		f.ways[0].SetDown(true)
		time.Sleep(10 * time.Second)
		f.ways[0].SetDown(false)
		time.Sleep(3 * time.Second)
		must.True(t, registered())
		cancel()
		time.Sleep(2 * time.Second)
		must.False(t, registered())
	})
}

// A neighbour that read the configuration alone must not confirm an older one to who asks it.
func TestNeighbourThatKnowsTheConfigurationAloneConfirmsNoOlderOne(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.startRegistered()
		time.Sleep(3 * time.Second)
		for _, way := range f.ways {
			way.SetDown(true)
		}
		time.Sleep(3 * time.Second)
		f.put("config", "vv")
		written := time.Now()
		time.Sleep(time.Second)
		f.ways[0].SetDelay(time.Second)
		f.ways[0].SetDown(false)
		for time.Since(written) < 8*time.Second {
			time.Sleep(time.Millisecond)
			if age, known := f.feeds[1].ConfigAge(); known && f.version(1) < 2 {
				must.GreaterEq(f.t, time.Since(written), age)
			}
		}
		must.Eq(f.t, 2, f.version(1))
	})
}

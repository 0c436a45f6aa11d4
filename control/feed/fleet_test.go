package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// fleet is a number of Managers that share one store, each through its own faulty access to it, in
// virtual time.
type fleet struct {
	t            *testing.T
	startedAt    time.Time
	store        *store.Memory
	faultyStores []*store.Faulty
	feeds        []*Manager
	unresponsive sync.Map        // numbers of the daemons that answer no peer
	notRunning   sync.Map        // numbers of the daemons whose process is not running
	mu           sync.Mutex      // guards faultyStores and feeds in tests that restart daemons
	ctx          context.Context // context of the daemons
	wg           sync.WaitGroup
}

// RoundTrip implements http.RoundTripper: daemon n has the address "n:1".
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	n, err := strconv.Atoi(r.URL.Hostname())
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	if _, cut := f.unresponsive.Load(n); cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if _, ended := f.notRunning.Load(n); ended {
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
		f := &fleet{t: t, store: store.NewMemory(), startedAt: time.Now()}
		ctx, stop := context.WithCancel(t.Context())
		f.ctx = ctx
		for n := range size {
			faulty := store.NewFaulty(f.store)
			m := New(Options{
				Store: storesim.BoundedWatch{Store: faulty, MaxWait: time.Second}, Schema: textSchema{}, Log: event.Discard(),
				Clock: f.clock, Self: strconv.Itoa(n), Seeds: []string{"0:1"}, Dialer: link.NewDialerWithClient(f.client()),
			})
			f.faultyStores, f.feeds = append(f.faultyStores, faulty), append(f.feeds, m)
		}
		f.put("config", "v")
		test(f)
		stop()
		f.wg.Wait()
	})
}

// clock is the daemons' clock, which reads one hour at the start.
func (f *fleet) clock() time.Duration { return time.Since(f.startedAt) + time.Hour }

// client returns the client with which daemons call each other.
func (f *fleet) client() *http.Client { return &http.Client{Transport: f} }

func (f *fleet) start(n int) {
	f.wg.Go(func() { f.feeds[n].Run(f.ctx) })
}

// startRegistered starts all daemons, with their entries already in the store.
func (f *fleet) startRegistered() {
	for n := range f.feeds {
		id := strconv.Itoa(n)
		f.put(vmPrefix+id, `{"id":"`+id+`","address":"`+id+`:2","peer":"`+id+`:1"}`)
		f.start(n)
	}
}

// recordLog makes daemon n, which must not be started yet, log to a buffer that the test reads.
func (f *fleet) recordLog(n int) *logRecorder {
	out, log := newRecordedLog()
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

// version returns the version of the configuration in force at daemon n; 0 if there is none.
func (f *fleet) version(n int) int64 {
	if c := f.feeds[n].View().Config; c != nil {
		return c.Version
	}
	return 0
}

// The store refuses one daemon and serves another, and an account key is removed. The refused
// daemon must neither treat the old configuration as confirmed nor reject its callers: it gets the
// new one from its peer.
func TestDaemonRefusedByStoreGetsChangesFromPeer(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start(0)
		f.start(1)
		time.Sleep(2 * time.Second)
		f.faultyStores[1].SetDown(true)
		time.Sleep(time.Second)
		f.put("config", "vv")
		f.put("server/1", "a:1")
		time.Sleep(4 * time.Second)
		must.Eq(t, int64(2), f.version(1))
		must.MapLen(t, 1, f.feeds[1].View().Servers)
		age, known := f.feeds[1].ConfigAge()
		must.True(t, known)
		must.Less(t, 3*time.Second, age)
		f.faultyStores[1].SetDown(false)
		f.put("config", "vvv")
		time.Sleep(2 * time.Second)
		must.Eq(t, int64(3), f.version(1))
	})
}

// A server leaves while a daemon is partitioned, and the first peer that the daemon reaches again
// started after that. The peer never knew of the server and cannot list it among the removed keys.
// The daemon must not go on sending requests to the server.
func TestRemovalBeforePeerStarted(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.put("server/1", "a:1")
		f.put("server/2", "b:1")
		f.start(1)
		time.Sleep(2 * time.Second)
		must.Eq(t, 2, f.feeds[1].View().Servers["s"].Len())
		f.faultyStores[1].SetDown(true)
		f.unresponsive.Store(0, true)
		time.Sleep(5 * time.Second)
		kv, err := f.store.Get(f.t.Context(), "server/1")
		must.NoError(t, err)
		must.NoError(t, f.store.Delete(f.t.Context(), "server/1", kv.Version))
		f.start(0)
		f.unresponsive.Delete(0)
		time.Sleep(2*time.Second + serverGracePeriod)
		must.Eq(t, 1, f.feeds[1].View().Servers["s"].Len())
		must.Eq(t, "2", first(f.feeds[1].View()).ID)
	})
}

// A daemon starts while the store refuses it, and knows only the seeds.
func TestDaemonStartsWithoutStore(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start(0)
		time.Sleep(time.Second)
		f.faultyStores[1].SetDown(true)
		f.start(1)
		time.Sleep(2 * time.Second)
		must.Eq(t, int64(1), f.version(1))
	})
}

// The store is down for all daemons. They poll each other, but no peer has a newer confirmation.
// The age must grow; otherwise keys that were removed meanwhile would be trusted for ever.
func TestConfigAgeGrowsDuringOutage(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		for n := range f.feeds {
			f.start(n)
		}
		time.Sleep(2 * time.Second)
		for _, faulty := range f.faultyStores {
			faulty.SetDown(true)
		}
		time.Sleep(10 * time.Second)
		for _, m := range f.feeds {
			age, known := m.ConfigAge()
			must.True(t, known)
			must.GreaterEq(t, 10*time.Second, age)
			must.True(t, m.IsStoreDown())
		}
		f.faultyStores[0].SetDown(false)
		time.Sleep(3 * time.Second)
		for _, m := range f.feeds {
			must.False(t, m.IsStoreDown())
		}
	})
}

// A daemon reaches the store again after an outage. Then a server leaves by removing its entry. The
// removal may also be due to a lease that expired during the outage, so the server stays usable for
// the grace period. It must be dropped at the end of that period even while other changes keep the
// watch busy.
func TestGracePeriodEndsInTime(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.start(0)
		f.put("server/1", "a:1")
		time.Sleep(2 * time.Second)
		f.faultyStores[0].SetDown(true)
		time.Sleep(3 * time.Second)
		f.faultyStores[0].SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		f.put("server/2", "b:1") // the next watch request is sent after the batch pause
		time.Sleep(batchPause + time.Millisecond)
		kv, err := f.store.Get(f.t.Context(), "server/1")
		must.NoError(t, err)
		must.NoError(t, f.store.Delete(f.t.Context(), "server/1", kv.Version))
		time.Sleep(serverGracePeriod - 100*time.Millisecond)
		must.Eq(t, 2, f.feeds[0].View().Servers["s"].Len())
		f.put("server/3", "c:1")
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 2, f.feeds[0].View().Servers["s"].Len())
		must.Eq(t, "2", first(f.feeds[0].View()).ID)
	})
}

// The store charges each call of forty daemons. A few daemons watch it and the others poll those; a
// write or a removal is in force everywhere within a second. Then the store refuses all daemons
// that watch it: the others must notice that themselves, well before they cease to trust keys.
func TestLargeFleetSharesFewWatches(t *testing.T) {
	const size = 40
	inFleet(t, size, func(f *fleet) {
		f.startRegistered()
		f.put("server/1", "a:1")
		time.Sleep(10 * time.Second)
		calls := func() (n int64) {
			for _, faulty := range f.faultyStores {
				n += faulty.Counts().Reads()
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
			must.Eq(t, 1, m.View().Servers["s"].Len())
			must.Eq(t, "2", first(m.View()).ID)
		}
		time.Sleep(9 * time.Second)
		must.LessEq(t, watchplan.SmallFleetSize, int(calls()-before)) // no watch was reopened
		for _, id := range f.feeds[0].View().watchPlan.Watchers() {
			n, err := strconv.Atoi(id)
			must.NoError(t, err)
			f.faultyStores[n].SetDown(true)
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

// The few daemons that watch the store for the others are lost: they are partitioned, or the store
// refuses just them. The operator changes the routes, and callers of the other daemons must see
// that within two seconds. The failure is a daemon that keeps polling the lost ones until its
// configuration counts as stale.
func TestChangeArrivesWhileWatchingDaemonsAreLost(t *testing.T) {
	const size = 40
	cases := map[string]struct {
		lose   func(f *fleet, n int)
		within time.Duration
	}{
		"partitioned":          {func(f *fleet, n int) { f.unresponsive.Store(n, true) }, 1500 * time.Millisecond},
		"refused by the store": {func(f *fleet, n int) { f.faultyStores[n].SetDown(true) }, 1500 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inFleet(t, size, func(f *fleet) {
				f.startRegistered()
				time.Sleep(10 * time.Second)
				lost := map[int]bool{}
				for _, id := range f.feeds[0].View().watchPlan.Watchers() {
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

// The few daemons that watch the store pass each change on to hundreds of others. If daemons polled
// any of them, two thirds of that traffic would cross zones, which is charged for, and eight
// watching daemons would fill their links and deliver changes late. Therefore daemons poll relays
// in their own zone.
func TestDaemonsPollWithinTheirZone(t *testing.T) {
	const size = 300
	view := &View{Config: &routing.Config{}}
	zone := map[string]string{}
	for n := range size {
		vm := routing.VM{ID: "vm-" + strconv.Itoa(n), Zone: string(rune('a' + n%3)), PeerAddress: strconv.Itoa(n) + ":1"}
		view.VMs = append(view.VMs, vm)
		zone[vm.PeerAddress] = vm.Zone
	}
	view.watchPlan = newWatchPlan(view.VMs)
	polls := map[string]int{}
	for _, vm := range view.VMs {
		m := New(Options{Self: vm.ID, Log: event.Discard(), Dialer: link.NewDialerWithClient(nil), Clock: func() time.Duration { return time.Hour }})
		m.view.Store(view)
		m.confirmedAt.Store(int64(time.Hour))
		for turn := range 5 {
			m.sourceTurn.Store(uint64(turn))
			near, _ := m.sources()
			if len(near) == 0 {
				must.True(t, m.shouldWatch()) // it polls no daemon in its zone
				continue
			}
			must.Eq(t, vm.Zone, zone[near[0]])
			polls[near[0]]++
		}
	}
	must.MapLen(t, size/watchplan.ClientsPerRelay, polls)
	for _, n := range polls {
		must.LessEq(t, 5*watchplan.ClientsPerRelay*3/2, n)
	}
}

// The store is down for every daemon of a large fleet. If all of them retry four times a second,
// they make hundreds of calls a second, each of which is charged for, and call the store at once
// when it returns. Only a few may retry, and after the return all daemons must have the newest
// configuration within two seconds.
func TestLargeFleetBacksOffDuringOutage(t *testing.T) {
	const size, outage = 40, 8 * time.Second
	inFleet(t, size, func(f *fleet) {
		f.startRegistered()
		time.Sleep(10 * time.Second)
		calls := func() (n int64) {
			for _, faulty := range f.faultyStores {
				n += faulty.Counts().Reads()
			}
			return n
		}
		for _, faulty := range f.faultyStores {
			faulty.SetDown(true)
		}
		time.Sleep(4 * time.Second) // until all daemons know that it is down for all
		before := calls()
		time.Sleep(outage - 4*time.Second)
		must.Less(t, 250, int(calls()-before)) // 625 if all daemons retry four times a second
		for _, faulty := range f.faultyStores {
			faulty.SetDown(false)
		}
		f.put("config", "vv")
		time.Sleep(2 * time.Second)
		for n := range f.feeds {
			must.Eq(t, int64(2), f.version(n))
		}
	})
}

// A watch delivers changes late, after a peer has already passed on newer ones. The view must not
// go back to the older ones.
func TestLateWatchAnswerIsIgnored(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		m := f.feeds[0]
		m.apply(basis{confirmedAt: time.Hour, revision: 9}, func() { m.table.applyEvents(0, []store.Event{putEvent("server/1", "leaving a:1", 9)}) })
		m.apply(basis{confirmedAt: time.Hour, revision: 5}, func() { m.table.applyEvents(0, []store.Event{putEvent("server/1", "a:1", 5)}) })
		must.True(t, first(m.View()).Draining)
	})
}

// The entry is written again after its lease expired during an outage.
func TestRegistrationIsRestoredAfterOutage(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.start(0)
		r := &Registrar{Store: f.faultyStores[0], VM: routing.VM{ID: "vm-7", Address: "x:2", PeerAddress: "x:1"}, Log: event.Discard()}
		ctx, cancel := context.WithCancel(f.t.Context())
		f.wg.Go(func() { r.Run(ctx) })
		registered := func() bool {
			var names []string
			for _, vm := range f.feeds[0].View().VMs {
				names = append(names, vm.ID)
			}
			return strings.Join(names, " ") == "vm-7"
		}
		time.Sleep(2 * time.Second)
		must.True(t, registered())
		f.faultyStores[0].SetDown(true)
		time.Sleep(10 * time.Second)
		f.faultyStores[0].SetDown(false)
		time.Sleep(3 * time.Second)
		must.True(t, registered())
		cancel()
		time.Sleep(2 * time.Second)
		must.False(t, registered())
	})
}

// A peer that has read the new configuration on its own, but nothing else of that revision, must
// not confirm an older configuration to the daemon that polls it.
func TestPeerWithNewerConfigDoesNotConfirmOlderOne(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.startRegistered()
		time.Sleep(3 * time.Second)
		for _, faulty := range f.faultyStores {
			faulty.SetDown(true)
		}
		time.Sleep(3 * time.Second)
		f.put("config", "vv")
		written := time.Now()
		time.Sleep(time.Second)
		f.faultyStores[0].SetDelay(time.Second)
		f.faultyStores[0].SetDown(false)
		for time.Since(written) < 8*time.Second {
			time.Sleep(time.Millisecond)
			if age, known := f.feeds[1].ConfigAge(); known && f.version(1) < 2 {
				must.GreaterEq(f.t, time.Since(written), age)
			}
		}
		must.Eq(f.t, 2, f.version(1))
	})
}

// In a fleet of a thousand daemons servers register all the time. If each daemon asked again
// with every change, questions would be all that the fleet does. A change of the configuration must
// still not wait for that.
func TestLargeFleetCollectsChanges(t *testing.T) {
	const size, maxPerSecond = 1000, 2200
	var polls atomic.Int64
	inFleet(t, size, func(f *fleet) {
		f.startRegistered()
		time.Sleep(10 * time.Second)
		counted := &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			polls.Add(1)
			return f.RoundTrip(r)
		})}
		for _, m := range f.feeds {
			m.opts.Dialer.Client = counted
		}
		const seconds = 3
		for n := range 20 * seconds {
			f.put(fmt.Sprint("server/", n), fmt.Sprint("a:", n))
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("%d questions a second", polls.Load()/seconds)
		must.LessEq(t, maxPerSecond*seconds, int(polls.Load()))
		f.put("config", "vv")
		time.Sleep(700 * time.Millisecond)
		for n := range f.feeds {
			must.Eq(t, int64(2), f.version(n), must.Sprint(n))
		}
	})
}

// roundTripFunc implements http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

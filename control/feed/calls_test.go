package feed

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
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

const (
	// pageItems is how many items the platform's store lists in one call.
	pageItems = 500
	// cheapCallCost is the price, in calls, of a successful renewal and of a page that may be
	// stale.
	cheapCallCost = 0.1
)

// costMeter adds up the cost of calls by purpose, including refused calls.
type costMeter struct {
	mu   sync.Mutex
	cost map[store.Purpose]float64
}

func (m *costMeter) charge(ctx context.Context, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cost[store.PurposeOf(ctx)] += cost
}

func (m *costMeter) total() (sum float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cost := range m.cost {
		sum += cost
	}
	return sum
}

func (m *costMeter) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Trim(fmt.Sprint(rounded(m.cost)), "map[]")
}

func rounded(cost map[store.Purpose]float64) map[store.Purpose]int {
	result := make(map[store.Purpose]int, len(cost))
	for purpose, c := range cost {
		result[purpose] = int(c + 0.5)
	}
	return result
}

// meteredStore is one daemon's access to the store. It charges each call while the daemon's process
// runs.
type meteredStore struct {
	store.Store
	processCtx context.Context
	meter      *costMeter
}

func (s meteredStore) charge(ctx context.Context, cost float64) {
	if s.processCtx.Err() == nil {
		s.meter.charge(ctx, cost)
	}
}

func pageCount(items int) float64 { return float64(max(1, (items+pageItems-1)/pageItems)) }

func (s meteredStore) Get(ctx context.Context, key string) (store.KV, error) {
	s.charge(ctx, 1)
	return s.Store.Get(ctx, key)
}

func (s meteredStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	list, err := s.Store.List(ctx, prefix)
	s.charge(ctx, pageCount(len(list.KVs)))
	return list, err
}

func (s meteredStore) ListStale(ctx context.Context, prefix string) (store.Listing, error) {
	list, err := s.Store.ListStale(ctx, prefix)
	s.charge(ctx, cheapCallCost*pageCount(len(list.KVs)))
	return list, err
}

func (s meteredStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease store.LeaseID) (int64, error) {
	s.charge(ctx, 1)
	return s.Store.CompareAndSwap(ctx, key, version, value, lease)
}

func (s meteredStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.charge(ctx, 1)
	return s.Store.Grant(ctx, ttl)
}

func (s meteredStore) Revoke(ctx context.Context, id store.LeaseID) error {
	s.charge(ctx, 1)
	return s.Store.Revoke(ctx, id)
}

func (s meteredStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	left, err := s.Store.KeepAlive(ctx, id)
	cost := cheapCallCost
	if errors.Is(err, store.ErrUnavailable) { // charged as a whole call
		cost = 1
	}
	s.charge(ctx, cost)
	return left, err
}

func (s meteredStore) Watch(ctx context.Context, prefix string, from int64) (store.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	return meteredWatcher{w, s}, nil
}

type meteredWatcher struct {
	store.Watcher
	store meteredStore
}

func (w meteredWatcher) Next(ctx context.Context) ([]store.Event, error) {
	w.store.charge(ctx, 1)
	return w.Watcher.Next(ctx)
}

// restartableFleet is a fleet whose daemons register themselves, are killed and restart.
type restartableFleet struct {
	*fleet
	meter  *costMeter
	zones  int
	cancel []context.CancelFunc
}

func inRestartableFleet(t *testing.T, size, zones int, test func(*restartableFleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := &restartableFleet{
			fleet: &fleet{t: t, store: store.NewMemory(), startedAt: time.Now()}, meter: &costMeter{cost: map[store.Purpose]float64{}},
			zones: zones, cancel: make([]context.CancelFunc, size),
		}
		c.feeds, c.faultyStores = make([]*Manager, size), make([]*store.Faulty, size)
		ctx, stop := context.WithCancel(t.Context())
		c.ctx = ctx
		for n := range size {
			c.notRunning.Store(n, true)
		}
		c.startAll()
		test(c)
		for n := range c.feeds {
			c.killProcess(n)
		}
		stop()
		c.wg.Wait()
	})
}

// startAll starts all daemons within a third of a second.
func (c *restartableFleet) startAll() {
	for n := range c.feeds {
		c.startProcess(n)
		time.Sleep(300 * time.Millisecond / time.Duration(len(c.feeds)))
	}
}

// startProcess starts daemon n as a new process.
func (c *restartableFleet) startProcess(n int) {
	id := strconv.Itoa(n)
	vm := routing.VM{ID: id, Zone: fmt.Sprintf("z%d", n%c.zones), Address: id + ":2", PeerAddress: id + ":1"}
	faulty := store.NewFaulty(c.store)
	faulty.SetDelay(4 * time.Millisecond)
	processCtx, cancel := context.WithCancel(c.ctx)
	metered := meteredStore{storesim.BoundedWatch{Store: faulty, MaxWait: time.Second}, processCtx, c.meter}
	feed := New(Options{
		Store: metered, Schema: textSchema{}, Log: event.Discard(), Clock: c.clock,
		Self: id, Seeds: []string{"0:1", "1:1", "2:1"}, Dialer: link.NewDialerWithClient(c.client()),
	})
	c.mu.Lock()
	c.faultyStores[n], c.feeds[n], c.cancel[n] = faulty, feed, cancel
	c.mu.Unlock()
	c.notRunning.Delete(n)
	c.wg.Go(func() { feed.Run(processCtx) })
	c.wg.Go(func() {
		r := Registrar{Store: metered, VM: vm, Log: event.Discard(), Feed: feed}
		r.Run(processCtx)
	})
}

// killProcess kills daemon n. Calls that it still sends neither reach the store nor are charged.
func (c *restartableFleet) killProcess(n int) {
	c.notRunning.Store(n, true)
	c.faultyStores[n].SetDown(true)
	c.cancel[n]()
}

// countCurrent counts the daemons that have a recent confirmation, the given version of the
// configuration, and all VMs.
func (c *restartableFleet) countCurrent(version int64) (n int) {
	for i, m := range c.feeds {
		if m.isFresh() && c.version(i) == version && len(m.View().VMs) == len(c.feeds) {
			n++
		}
	}
	return n
}

// changeServers changes the servers of one zone after the other for a time, as zones that fail and
// return do.
func (c *restartableFleet) changeServers(during time.Duration) {
	const servers, every = 20, time.Second
	for round := 0; during > 0; round, during = round+1, during-every {
		for n := range servers {
			c.put(fmt.Sprintf("server/%d", n+servers*(round%c.zones)), fmt.Sprintf("a%d:%d", n, round+1))
		}
		time.Sleep(every)
	}
}

// A fleet of hundreds of daemons must not cost its operators a multiple of what a small one costs,
// nor call the store in a burst when all daemons start. Here all start, the first configuration is
// written, servers change for half a minute while the store refuses a third of the daemons for nine
// seconds, then all daemons lose power and restart. The cost is too high if each daemon reads and
// registers with calls of the full price, watches the store until it knows that others do, and
// watches it itself for seconds after the loss of a source.
//
// The operators set the bound: the number of calls that a fleet of 87 made before.
func TestStoreCallsOfLargeFleet(t *testing.T) {
	const size, maxCalls = 295, 4000
	inRestartableFleet(t, size, 5, func(c *restartableFleet) {
		time.Sleep(4 * time.Second)
		c.put("config", "v") // the operators write the first configuration once the fleet runs
		time.Sleep(10 * time.Second)
		must.Eq(t, size, c.countCurrent(1))
		t.Logf("calls until all daemons have started: %s", c.meter)
		c.changeServers(3 * time.Second)
		for n := 0; n < size; n += 3 {
			c.faultyStores[n].SetDown(true)
		}
		c.changeServers(9 * time.Second)
		for n := 0; n < size; n += 3 {
			c.faultyStores[n].SetDown(false)
		}
		c.changeServers(22 * time.Second)
		t.Logf("calls until all daemons are killed: %s", c.meter)
		for n := range c.feeds {
			c.killProcess(n)
		}
		time.Sleep(1600 * time.Millisecond)
		c.startAll()
		time.Sleep(3 * time.Second)
		must.Eq(t, size, c.countCurrent(1))
		t.Logf("calls until all daemons have restarted: %s", c.meter)
		time.Sleep(27 * time.Second)
		t.Logf("%.0f calls in total: %s", c.meter.total(), c.meter)
		must.LessEq(t, maxCalls, c.meter.total())
	})
}

// In a fleet of hundreds most daemons receive a change by way of two others. Those are partitioned,
// killed or refused by the store, and a moment later the operator removes a route. Callers of the
// remaining daemons must see that within two seconds, whichever daemons were lost.
func TestChangeArrivesWhileSourcesAreLost(t *testing.T) {
	const size, zones, within = 130, 3, 2 * time.Second
	groups := map[string]func(plan *watchplan.Plan) []string{
		"watching daemons": func(plan *watchplan.Plan) []string { return plan.Watchers() },
		"relays": func(plan *watchplan.Plan) (ids []string) {
			for n := range zones {
				ids = append(ids, plan.Relays(fmt.Sprintf("z%d", n))...)
			}
			return ids
		},
		"two thirds of the fleet": func(*watchplan.Plan) (ids []string) {
			for n := range size {
				if n%3 != 0 {
					ids = append(ids, strconv.Itoa(n))
				}
			}
			return ids
		},
	}
	failures := map[string]func(c *restartableFleet, n int){
		"partitioned":          func(c *restartableFleet, n int) { c.unresponsive.Store(n, true) },
		"killed":               func(c *restartableFleet, n int) { c.killProcess(n) },
		"refused by the store": func(c *restartableFleet, n int) { c.faultyStores[n].SetDown(true) },
	}
	for name, ids := range groups {
		for failure, fail := range failures {
			t.Run(name+" "+failure, func(t *testing.T) {
				inRestartableFleet(t, size, zones, func(c *restartableFleet) {
					c.put("config", "v")
					time.Sleep(10 * time.Second)
					must.Eq(t, size, c.countCurrent(1))
					failed := map[int]bool{}
					for _, id := range ids(c.feeds[0].View().watchPlan) {
						n, err := strconv.Atoi(id)
						must.NoError(t, err)
						failed[n] = true
						fail(c, n)
					}
					time.Sleep(100 * time.Millisecond)
					c.put("config", "vv")
					time.Sleep(within)
					for n := range c.feeds {
						if !failed[n] {
							must.Eq(t, int64(2), c.version(n))
						}
					}
				})
			})
		}
	}
}

// The store refuses every daemon of a large fleet for half a minute and charges for each call,
// including refused ones. Each daemon on its own would try to renew its lease and to read every two
// seconds. Instead, a few daemons detect the return of the store. After it, all daemons have the
// newest configuration within two seconds and are registered again within three.
func TestStoreCallsDuringLongOutage(t *testing.T) {
	const size, outage = 295, 30 * time.Second
	inRestartableFleet(t, size, 5, func(c *restartableFleet) {
		c.put("config", "v")
		time.Sleep(10 * time.Second)
		for _, faulty := range c.faultyStores {
			faulty.SetDown(true)
		}
		time.Sleep(6 * time.Second) // until all daemons know that no daemon reaches the store
		before := c.meter.total()
		time.Sleep(outage - 6*time.Second)
		calls := c.meter.total() - before
		t.Logf("%.0f calls within %s of the outage", calls, outage-6*time.Second)
		must.Less(t, 25*(outage-6*time.Second).Seconds(), calls)
		for _, faulty := range c.faultyStores {
			faulty.SetDown(false)
		}
		c.put("config", "vv")
		time.Sleep(2 * time.Second)
		for n := range c.feeds {
			must.Eq(t, int64(2), c.version(n))
		}
		time.Sleep(time.Second)
		list, err := c.store.List(t.Context(), vmPrefix)
		must.NoError(t, err)
		must.SliceLen(t, size, list.KVs)
	})
}

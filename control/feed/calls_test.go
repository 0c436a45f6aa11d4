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
	"mallowwind.dev/decision/watching"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

const (
	// pageItems is how many items the platform's store lists in one call.
	pageItems = 500
	// cheapCall is the price of a renewal that succeeds and of a page that may be old, in
	// calls.
	cheapCall = 0.1
)

// meter adds up what calls cost by why they are made, refused ones too.
type meter struct {
	mu   sync.Mutex
	cost map[store.Purpose]float64
}

func (m *meter) charge(ctx context.Context, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cost[store.PurposeOf(ctx)] += cost
}

func (m *meter) total() (sum float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cost := range m.cost {
		sum += cost
	}
	return sum
}

func (m *meter) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Trim(fmt.Sprint(rounded(m.cost)), "map[]")
}

func rounded(cost map[store.Purpose]float64) map[store.Purpose]int {
	whole := make(map[store.Purpose]int, len(cost))
	for purpose, c := range cost {
		whole[purpose] = int(c + 0.5)
	}
	return whole
}

// metered is a daemon's way to the store, on which each call is charged while it lives.
type metered struct {
	store.Store
	life  context.Context
	meter *meter
}

func (s metered) charge(ctx context.Context, cost float64) {
	if s.life.Err() == nil {
		s.meter.charge(ctx, cost)
	}
}

func pages(items int) float64 { return float64(max(1, (items+pageItems-1)/pageItems)) }

func (s metered) Get(ctx context.Context, key string) (store.KV, error) {
	s.charge(ctx, 1)
	return s.Store.Get(ctx, key)
}

func (s metered) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	items, revision, err := s.Store.List(ctx, prefix)
	s.charge(ctx, pages(len(items)))
	return items, revision, err
}

func (s metered) ListStale(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	items, revision, err := s.Store.ListStale(ctx, prefix)
	s.charge(ctx, cheapCall*pages(len(items)))
	return items, revision, err
}

func (s metered) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease store.LeaseID) (int64, error) {
	s.charge(ctx, 1)
	return s.Store.CompareAndSwap(ctx, key, version, value, lease)
}

func (s metered) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.charge(ctx, 1)
	return s.Store.Grant(ctx, ttl)
}

func (s metered) Revoke(ctx context.Context, id store.LeaseID) error {
	s.charge(ctx, 1)
	return s.Store.Revoke(ctx, id)
}

func (s metered) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	left, err := s.Store.KeepAlive(ctx, id)
	cost := cheapCall
	if errors.Is(err, store.ErrUnavailable) { // refused: the platform takes a whole call
		cost = 1
	}
	s.charge(ctx, cost)
	return left, err
}

func (s metered) Watch(ctx context.Context, prefix string, from int64) (store.Watcher, error) {
	w, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	return meteredWatch{w, s}, nil
}

type meteredWatch struct {
	store.Watcher
	way metered
}

func (w meteredWatch) Next(ctx context.Context) ([]store.Event, error) {
	w.way.charge(ctx, 1)
	return w.Watcher.Next(ctx)
}

// town is a fleet whose daemons register themselves, are killed and start again.
type town struct {
	*fleet
	meter *meter
	zones int
	kill  []context.CancelFunc
}

func inTown(t *testing.T, size, zones int, test func(*town)) {
	synctest.Test(t, func(t *testing.T) {
		c := &town{
			fleet: &fleet{t: t, store: store.NewMemory(), began: time.Now()}, meter: &meter{cost: map[store.Purpose]float64{}},
			zones: zones, kill: make([]context.CancelFunc, size),
		}
		c.feeds, c.ways = make([]*Manager, size), make([]*store.Faulty, size)
		ctx, stop := context.WithCancel(t.Context())
		c.ctx = ctx
		for n := range size {
			c.ended.Store(n, true)
		}
		c.boot()
		test(c)
		for n := range c.feeds {
			c.end(n)
		}
		stop()
		c.done.Wait()
	})
}

// boot starts all daemons within a third of a second.
func (c *town) boot() {
	for n := range c.feeds {
		c.begin(n)
		time.Sleep(300 * time.Millisecond / time.Duration(len(c.feeds)))
	}
}

// begin starts daemon n as a new process.
func (c *town) begin(n int) {
	id := strconv.Itoa(n)
	vm := routing.VM{ID: id, Zone: fmt.Sprintf("z%d", n%c.zones), Address: id + ":2", PeerAddress: id + ":1"}
	faults := store.NewFaulty(c.store)
	faults.SetDelay(4 * time.Millisecond)
	life, kill := context.WithCancel(c.ctx)
	way := metered{storesim.Confirming{Store: faults, Hold: time.Second}, life, c.meter}
	feed := New(Options{
		Store: way, Schema: lineSchema{}, Log: event.Discard(), Clock: c.clock,
		Self: id, Seeds: []string{"0:1", "1:1", "2:1"}, Dialer: link.NewDialerWith(c.client()),
	})
	c.mu.Lock()
	c.ways[n], c.feeds[n], c.kill[n] = faults, feed, kill
	c.mu.Unlock()
	c.ended.Delete(n)
	c.done.Go(func() { feed.Run(life) })
	c.done.Go(func() {
		r := Registrar{Store: way, VM: vm, Log: event.Discard(), Feed: feed}
		r.Run(life)
	})
}

// end kills daemon n: nothing that it still sends reaches the store, nor is it charged.
func (c *town) end(n int) {
	c.ended.Store(n, true)
	c.ways[n].SetDown(true)
	c.kill[n]()
}

// known counts the daemons that have a configuration confirmed lately, all VMs and the
// newest version.
func (c *town) known(version int64) (n int) {
	for i, m := range c.feeds {
		if m.fresh() && c.version(i) == version && len(m.View().VMs) == len(c.feeds) {
			n++
		}
	}
	return n
}

// changing writes and removes the servers of one zone after the other, as zones that fail
// and return do, for a time.
func (c *town) changing(during time.Duration) {
	const servers, every = 20, time.Second
	for round := 0; during > 0; round, during = round+1, during-every {
		for n := range servers {
			c.put(fmt.Sprintf("server/%d", n+servers*(round%c.zones)), fmt.Sprintf("a%d:%d", n, round+1))
		}
		time.Sleep(every)
	}
}

// A fleet of hundreds of daemons costs its operators a multiple of what the store costs
// a small one, and a burst of calls meets the store whenever all start. Order: all start,
// the first configuration is written, servers come and go for half a minute, the store refuses a third of the daemons for
// nine seconds, all lose power and start again. Cause: each daemon reads and registers
// with calls of the full price, watches the store until it knows that others do, and
// watches it by itself for seconds once one that watches for it is lost.
//
// The bound on the calls is the operators': as many as a fleet of 87 made before.
func TestCallsOfADayOfHundredsOfDaemons(t *testing.T) {
	const size, most = 295, 4000
	inTown(t, size, 5, func(c *town) {
		time.Sleep(4 * time.Second)
		c.put("config", "v") // the operators write the first when the fleet stands
		time.Sleep(10 * time.Second)
		must.Eq(t, size, c.known(1))
		t.Logf("after the start: %s", c.meter)
		c.changing(3 * time.Second)
		for n := 0; n < size; n += 3 {
			c.ways[n].SetDown(true)
		}
		c.changing(9 * time.Second)
		for n := 0; n < size; n += 3 {
			c.ways[n].SetDown(false)
		}
		c.changing(22 * time.Second)
		t.Logf("before all are killed: %s", c.meter)
		for n := range c.feeds {
			c.end(n)
		}
		time.Sleep(1600 * time.Millisecond)
		c.boot()
		time.Sleep(3 * time.Second)
		must.Eq(t, size, c.known(1))
		t.Logf("after all started again: %s", c.meter)
		time.Sleep(27 * time.Second)
		t.Logf("in all %.0f: %s", c.meter.total(), c.meter)
		must.LessEq(t, most, c.meter.total())
	})
}

// In a fleet of hundreds most daemons hear of a change by way of two others. Those are
// lost, cut off or killed, and a moment later the operator takes a route away: callers at
// the daemons that are left must see that within two seconds, whoever was lost.
func TestChangeWhileWhoeverTellsIsLost(t *testing.T) {
	const size, zones, within = 130, 3, 2 * time.Second
	lost := map[string]func(plan *watching.Plan) []string{
		"all that watch": func(plan *watching.Plan) []string { return plan.Watchers() },
		"all that pass on": func(plan *watching.Plan) (ids []string) {
			for n := range zones {
				ids = append(ids, plan.Relays(fmt.Sprintf("z%d", n))...)
			}
			return ids
		},
		"two thirds of all": func(*watching.Plan) (ids []string) {
			for n := range size {
				if n%3 != 0 {
					ids = append(ids, strconv.Itoa(n))
				}
			}
			return ids
		},
	}
	ways := map[string]func(c *town, n int){
		"cut off": func(c *town, n int) { c.cut.Store(n, true) },
		"killed":  func(c *town, n int) { c.end(n) },
		"refused": func(c *town, n int) { c.ways[n].SetDown(true) },
	}
	for whom, ids := range lost {
		for how, lose := range ways {
			t.Run(whom+" "+how, func(t *testing.T) {
				inTown(t, size, zones, func(c *town) {
					c.put("config", "v")
					time.Sleep(10 * time.Second)
					must.Eq(t, size, c.known(1))
					gone := map[int]bool{}
					for _, id := range ids(c.feeds[0].View().plan) {
						n, err := strconv.Atoi(id)
						must.NoError(t, err)
						gone[n] = true
						lose(c, n)
					}
					time.Sleep(100 * time.Millisecond)
					c.put("config", "vv")
					time.Sleep(within)
					for n := range c.feeds {
						if !gone[n] {
							must.Eq(t, int64(2), c.version(n))
						}
					}
				})
			})
		}
	}
}

// The store refuses every daemon of a large fleet for half a minute, and is charged for by
// the call, refused ones too. Each daemon on its own would try to renew its lease and to
// read every two seconds. A few find the return of the store; then all are registered again
// within three seconds, and know the newest configuration within two.
func TestCallsOfALongOutage(t *testing.T) {
	const size, outage = 295, 30 * time.Second
	inTown(t, size, 5, func(c *town) {
		c.put("config", "v")
		time.Sleep(10 * time.Second)
		for _, way := range c.ways {
			way.SetDown(true)
		}
		time.Sleep(6 * time.Second) // until all know that it is out of reach for all
		before := c.meter.total()
		time.Sleep(outage - 6*time.Second)
		tries := c.meter.total() - before
		t.Logf("%.0f calls in %s of the outage", tries, outage-6*time.Second)
		must.Less(t, 25*(outage-6*time.Second).Seconds(), tries)
		for _, way := range c.ways {
			way.SetDown(false)
		}
		c.put("config", "vv")
		time.Sleep(2 * time.Second)
		for n := range c.feeds {
			must.Eq(t, int64(2), c.version(n))
		}
		time.Sleep(time.Second)
		items, _, err := c.store.List(t.Context(), vmPrefix)
		must.NoError(t, err)
		must.SliceLen(t, size, items)
	})
}

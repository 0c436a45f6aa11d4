package feed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/store"
)

const (
	// storeLinkBytes is the bandwidth of the store's link, in bytes per second.
	storeLinkBytes = 1000e6 / 8
	// listedItemBytes is the size of one entry in a list of the store.
	listedItemBytes = 350
	// serversPerEntry is how many servers of the fleet one entry of these tests stands for, which keeps
	// a thousand daemons small enough for one process.
	serversPerEntry = 25
	// maxReturnTime is the shortest time within which any operator expects the fleet to serve again after
	// all VMs were lost.
	maxReturnTime = 12 * time.Second
	returnZones   = 5
	// vmsPerLargeVM is the number of VMs of which one has the larger link.
	vmsPerLargeVM                = 20
	largeLinkMbps, smallLinkMbps = 200, 20
)

// sharedLink is a link that carries one transfer after the other.
type sharedLink struct {
	mu      sync.Mutex
	freeAt  time.Time
	carried float64 // bytes
}

// carry waits until so many bytes have passed the link after everything that was sent before.
func (l *sharedLink) carry(ctx context.Context, bytes, bytesPerSecond float64) error {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes / bytesPerSecond * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.carried += bytes
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return errors.Wrapf(store.ErrUnavailable, "%v", ctx.Err())
	}
}

// linkedStore is a store whose lists pass a link that all daemons share, page by page.
type linkedStore struct {
	store.Store
	link  *sharedLink
	lists *listCounter
}

// listCounter counts the lists of the whole store.
type listCounter struct {
	mu sync.Mutex
	n  int
}

func (s linkedStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	list, err := s.Store.List(ctx, prefix)
	return s.carry(ctx, prefix, list, err)
}

func (s linkedStore) ListStale(ctx context.Context, prefix string) (store.Listing, error) {
	list, err := s.Store.ListStale(ctx, prefix)
	return s.carry(ctx, prefix, list, err)
}

func (s linkedStore) carry(ctx context.Context, prefix string, list store.Listing, err error) (store.Listing, error) {
	if err != nil {
		return list, err
	}
	if prefix == "" {
		s.lists.mu.Lock()
		s.lists.n++
		s.lists.mu.Unlock()
	}
	for left := listedItems(list.KVs); left > 0; left -= pageItems {
		if err := s.link.carry(ctx, float64(min(left, pageItems)*listedItemBytes), storeLinkBytes); err != nil {
			return store.Listing{}, err
		}
	}
	return list, nil
}

// listedItems returns how many entries of the fleet a list stands for.
func listedItems(kvs []store.KV) (n int) {
	for _, kv := range kvs {
		n++
		if _, isServer := (textSchema{}).ServerID(kv.Key); isServer {
			n += serversPerEntry - 1
		}
	}
	return n
}

// returningFleet is a fleet whose daemons all start at once before a store that holds their entries and
// those of all servers.
type returningFleet struct {
	*fleet
	servers   int // entries, each of which stands for serversPerEntry
	storeLink *sharedLink
	lists     *listCounter
	mu        sync.Mutex
	sent      map[int]float64 // bytes to peers, by daemon
}

func inReturningFleet(t *testing.T, size int, test func(*returningFleet)) {
	inFleet(t, size, func(f *fleet) {
		r := &returningFleet{
			fleet: f, servers: 10 * size / serversPerEntry, storeLink: &sharedLink{}, lists: &listCounter{}, sent: map[int]float64{},
		}
		for n := range r.servers {
			f.put(fmt.Sprintf("server/%06d", n), fmt.Sprintf("10.%d.%d.%d:80", n>>16, n>>8&255, n&255))
		}
		client := &http.Client{Transport: roundTripFunc(r.countSent)}
		for n, m := range f.feeds {
			m.opts.Store = linkedStore{m.opts.Store, r.storeLink, r.lists}
			m.opts.Dialer.Client = client
			m.SetSeeds([]string{"0:1", "1:1", "2:1"})
			f.put(vmPrefix+strconv.Itoa(n), vmEntry(n))
		}
		test(r)
	})
}

func isLargeVM(n int) bool { return n%vmsPerLargeVM == 0 }

// linkMbps returns the bandwidth of the link of daemon n's VM, in Mbit/s.
func linkMbps(n int) int {
	if isLargeVM(n) {
		return largeLinkMbps
	}
	return smallLinkMbps
}

// vmEntry returns the entry of the VM of daemon n.
func vmEntry(n int) string {
	return fmt.Sprintf(`{"id":"%d","zone":"z%d","address":"%d:2","peer":"%d:1","link_mbps":%d}`, n, n/vmsPerLargeVM%returnZones, n, n, linkMbps(n))
}

// countSent counts the bytes of the replies to peers.
func (r *returningFleet) countSent(req *http.Request) (*http.Response, error) {
	response, err := r.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(req.URL.Hostname())
	if err != nil {
		return nil, err
	}
	scale := serversPerEntry
	if strings.HasSuffix(req.URL.Path, "/Fleet") { // it holds no servers
		scale = 1
	}
	counted := countingReader{response.Body, func(bytes int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.sent[n] += float64(bytes * scale)
	}}
	response.Body = struct {
		io.Reader
		io.Closer
	}{counted, response.Body}
	return response, nil
}

// countingReader reports the bytes that are read.
type countingReader struct {
	io.Reader
	add func(int)
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.add(n)
	return n, err
}

// startAll starts the daemons of which started is true within a third of a second.
func (r *returningFleet) startAll(started func(n int) bool) {
	for n := range r.feeds {
		if started(n) {
			r.start(n)
		} else {
			r.unresponsive.Store(n, true)
		}
		time.Sleep(300 * time.Millisecond / time.Duration(len(r.feeds)))
	}
}

// serving counts the started daemons that have a confirmed configuration and know all servers.
func (r *returningFleet) serving() (n int) {
	for _, m := range r.feeds {
		if m.IsReady() && m.isFresh() && m.View().Servers["s"].Len() == r.servers {
			n++
		}
	}
	return n
}

// awaitServing waits until nine in ten of the started daemons serve, and returns the time since all
// were started.
func (r *returningFleet) awaitServing(started int) time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < 2*maxReturnTime && r.serving() < started*9/10 {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// busiestLink returns for how long the busiest VM's link was busy with replies to peers.
func (r *returningFleet) busiestLink() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var busiest float64
	for n, bytes := range r.sent {
		busiest = max(busiest, bytes*8/(float64(linkMbps(n))*1e6))
	}
	return time.Duration(busiest * float64(time.Second))
}

// Guards against a restart of all daemons in which each reads the whole store, so that the store's link
// is busy for longer than callers may wait for the fleet to return.
func TestReturnOfAllDaemonsReadsTheStoreOnce(t *testing.T) {
	const extraLists = 3 // of daemons that ask too early
	for _, size := range []int{61, 300, 984} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inReturningFleet(t, size, func(r *returningFleet) {
				r.startAll(func(int) bool { return true })
				took := r.awaitServing(size)
				whole := float64(listedItemBytes * (size + serversPerEntry*r.servers))
				t.Logf("nine in ten serve after %v; %.0f MB from the store, %d whole lists; busiest link to peers %v",
					took, r.storeLink.carried/1e6, r.lists.n, r.busiestLink())
				must.LessEq(t, maxReturnTime, took)
				must.LessEq(t, watchplan.MaxWatchers+extraLists, r.lists.n)
				must.LessEq(t, float64(size*size*listedItemBytes)+whole*(watchplan.MaxWatchers+extraLists), r.storeLink.carried)
				must.LessEq(t, maxReturnTime/2, r.busiestLink())
			})
		})
	}
}

// Guards against callers that are told to come back while the whole fleet still starts, which uses up the
// attempts of a long request.
func TestStartTimeLeftCoversReturnOfFleet(t *testing.T) {
	const size = 984
	inReturningFleet(t, size, func(r *returningFleet) {
		r.startAll(func(int) bool { return true })
		time.Sleep(time.Second)
		var expected []time.Duration
		for _, m := range r.feeds {
			if left := m.StartTimeLeft(); !m.IsReady() && left > 0 {
				expected = append(expected, left)
			}
		}
		took := r.awaitServing(size)
		t.Logf("%d daemons expect %v to %v, nine in ten serve after %v", len(expected), slices.Min(expected), slices.Max(expected), took)
		must.SliceNotEmpty(t, expected)
		must.LessEq(t, maxReturnTime/2, slices.Max(expected))
		time.Sleep(maxReturnTime)
		must.Zero(t, r.feeds[size-1].StartTimeLeft())
	})
}

// Guards against a fleet that does not return because those whom the plan selects to read the store, or
// to pass the state on, are not there.
func TestReturnOfAllDaemonsDespiteLosses(t *testing.T) {
	const size = 984
	for name, started := range map[string]func(n int) bool{
		"half of the VMs never return":  func(n int) bool { return n%2 == 1 },
		"no large VM returns":           func(n int) bool { return !isLargeVM(n) },
		"one zone returns":              func(n int) bool { return n/vmsPerLargeVM%returnZones == 0 },
		"only a few VMs of many return": func(n int) bool { return n < watchplan.SmallFleetSize },
		"a single VM returns":           func(n int) bool { return n == 7 },
	} {
		t.Run(name, func(t *testing.T) {
			inReturningFleet(t, size, func(r *returningFleet) {
				r.startAll(started)
				count := 0
				for n := range r.feeds {
					if started(n) {
						count++
					}
				}
				took := r.awaitServing(count)
				t.Logf("nine in ten of %d serve after %v; %.0f MB from the store, %d whole lists", count, took, r.storeLink.carried/1e6, r.lists.n)
				must.LessEq(t, maxReturnTime, took)
			})
		})
	}
}

// Guards against daemons that the store refuses at their start, and that all get the whole state over the
// links of the few VMs that their settings name.
func TestReturnOfAllDaemonsRefusedByStore(t *testing.T) {
	const size = 984
	inReturningFleet(t, size, func(r *returningFleet) {
		for n, faulty := range r.faultyStores {
			faulty.SetDown(n%3 == 2)
		}
		r.startAll(func(int) bool { return true })
		took := r.awaitServing(size)
		t.Logf("nine in ten serve after %v; %.0f MB from the store, %d whole lists; busiest link to peers %v",
			took, r.storeLink.carried/1e6, r.lists.n, r.busiestLink())
		must.LessEq(t, maxReturnTime, took)
		must.LessEq(t, maxReturnTime/2, r.busiestLink())
	})
}

// Guards against daemons that all read the store themselves because it is down when they return.
func TestReturnOfAllDaemonsAfterOutage(t *testing.T) {
	const size, outage = 300, 5 * time.Second
	inReturningFleet(t, size, func(r *returningFleet) {
		for _, faulty := range r.faultyStores {
			faulty.SetDown(true)
		}
		r.startAll(func(int) bool { return true })
		time.Sleep(outage)
		for _, faulty := range r.faultyStores {
			faulty.SetDown(false)
		}
		took := r.awaitServing(size)
		t.Logf("nine in ten serve %v after the outage; %.0f MB from the store, %d whole lists", took, r.storeLink.carried/1e6, r.lists.n)
		must.LessEq(t, maxReturnTime, took)
		must.LessEq(t, size/10, r.lists.n)
	})
}

// Guards against a fleet whose leases ran out while it was away: no VM is registered, so that no daemon
// knows of any other when it starts.
func TestReturnOfAllDaemonsWithoutRegistrations(t *testing.T) {
	const size = 300
	inReturningFleet(t, size, func(r *returningFleet) {
		for n := range r.feeds {
			r.remove(vmPrefix + strconv.Itoa(n))
		}
		time.AfterFunc(registrationSettleTime, func() {
			for n := range r.feeds {
				r.put(vmPrefix+strconv.Itoa(n), vmEntry(n))
			}
		})
		r.startAll(func(int) bool { return true })
		took := r.awaitServing(size)
		t.Logf("nine in ten serve after %v; %.0f MB from the store, %d whole lists", took, r.storeLink.carried/1e6, r.lists.n)
		must.LessEq(t, maxReturnTime, took)
		must.LessEq(t, size/10, r.lists.n)
	})
}

// Guards against a daemon that reads the whole store at its restart although its peers know the state,
// which costs calls to the store at each planned restart.
func TestRestartOfOneDaemonAsksItsPeers(t *testing.T) {
	const size, last = 61, 59
	inReturningFleet(t, size, func(r *returningFleet) {
		r.startAll(func(n int) bool { return n != last })
		must.LessEq(t, maxReturnTime, r.awaitServing(size-1))
		r.unresponsive.Delete(last)
		lists := r.lists.n
		must.False(t, slices.Contains(r.feeds[0].View().watchPlan.Watchers(), strconv.Itoa(last)))
		r.start(last)
		time.Sleep(time.Second)
		must.True(t, r.feeds[last].IsReady())
		must.Eq(t, r.servers, r.feeds[last].View().Servers["s"].Len())
		must.Eq(t, lists, r.lists.n)
	})
}

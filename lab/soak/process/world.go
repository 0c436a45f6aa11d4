// Package process plays seeded random faults against the real programs: mallowwind
// daemons as separate processes on one machine, before a stand-in of the platform's
// store, model engines and plain services in this process. Faults come from outside
// the daemons: signals, proxies on every link, a store that fails. It checks what
// callers and backend servers see while that happens.
//
// A seed fixes which faults come when; when they meet a request it does not.
package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/platform/kv"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

// Bounds that the daemons are given or promise.
const (
	keyAge   = 5 * time.Second // in which a removed key ceases to work
	drainAge = 2 * time.Second // in which a server that leaves gets no more requests
	inForce  = 2 * time.Second // of a configuration
	calm     = 3 * time.Second // after a fault before bounds hold again
)

// Size of a deployment.
const (
	daemonCount = 5
	engineCount = 6
	deskCount   = 3
	accounts    = 3
	staleKeys   = 8 // one in so many requests brings a key that was removed, if there is one
	host        = "soak.example"
)

var zoneNames = []string{"a", "b", "c"}

// Options of a run.
type Options struct {
	Seed   uint64
	Binary string // the daemon's program
	Dir    string // for settings and logs
	Sort   Sort
	// Timed checks promises that have a bound in time too. On a machine that is too
	// busy to run the processes in time these do not hold.
	Timed   bool
	Length  time.Duration
	Callers int
}

// Report is what a run showed.
type Report struct {
	Broken []string       // promises
	Counts map[string]int // requests asked, served, failed
	Faults []string       // what was done, in order
}

// world is one run.
type world struct {
	opts    Options
	random  *rand.Rand
	ledger  *ledger
	memory  *store.Memory
	standIn *kv.StandIn
	storeLs []net.Listener
	network string // the first three bytes of its addresses
	uplinks []*uplink
	paths   []*proxy // on uplinks
	history []string // parts that every engine says it held
	daemons []*daemon
	fronts  map[string]string // addresses of daemons to proxies before them

	rolling sync.Mutex // held while a roll-out is under way
	mu      sync.Mutex
	servers []*server
	retired []*server // that have ended for good
	faults  []string
	version int64
	keys    [accounts]string
	removed map[string]time.Time // keys, by when that was acknowledged
	desk    string               // service of the calls
	moved   time.Time            // when the last move of them was acknowledged
	trouble time.Time            // until when bounds do not hold
	poisons int                  // requests that end their servers
	// endedUnder counts the servers that ended under each of those.
	endedUnder map[string]int
	ending     sync.WaitGroup // servers that are to start again
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	w := &world{
		opts: o, random: rand.New(rand.NewPCG(o.Seed, 7)), ledger: newLedger(), memory: store.NewMemory(),
		fronts: map[string]string{}, removed: map[string]time.Time{}, desk: "desk",
		endedUnder: map[string]int{},
	}
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	w.play(ctx)
	return &Report{Broken: w.ledger.broken, Counts: w.ledger.counts, Faults: w.faults}, nil
}

// runsStarted tells the runs of this process apart.
var runsStarted atomic.Int64

// network is a loopback network for one run: runs at the same time do not meet.
func network() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 20+pid%200, (pid/200+37*int(runsStarted.Add(1)))%250)
}

func (w *world) start() error {
	w.network = network()
	near := w.network + ".200"
	w.standIn = kv.NewStandIn(w.memory)
	if err := w.startServers(near); err != nil {
		return err
	}
	for a := range w.keys {
		w.keys[a] = fmt.Sprintf("key-%d-0", a)
	}
	w.configure()
	stores, err := w.stores(near)
	if err != nil {
		return err
	}
	for n, at := range stores {
		d, err := w.newDaemon(n, w.ip(n), near, zoneNames[n%len(zoneNames)], at)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		w.fronts[d.settings.CallerAddress] = d.callers.address()
	}
	return w.awaitReady(10 * time.Second)
}

// startServers starts and registers the servers.
func (w *world) startServers(near string) error {
	for n := range engineCount + 2*deskCount {
		service := "llm"
		if n >= engineCount {
			service = []string{"desk", "desk2"}[(n-engineCount)%2]
		}
		s, err := w.newServer(service, zoneNames[n%len(zoneNames)], near+":0", near+":0")
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		w.register(s, false)
	}
	return nil
}

// stores are the addresses of the store, for each daemon.
func (w *world) stores(near string) ([]string, error) {
	if w.opts.Sort.ownLinks() {
		return w.reachAll(near)
	}
	at, err := w.serveStore(near, w.standIn)
	return slices.Repeat([]string{at}, daemonCount), err
}

func (w *world) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(w.daemons, func(d *daemon) bool { return !d.ready() }) {
			return nil
		}
	}
	return errors.New("the daemons were not ready in time")
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.close()
	}
	for _, s := range append(w.servers, w.retired...) {
		_ = s.http.Close() // the run is over
		s.link.close()
	}
	for _, p := range w.paths {
		p.close()
	}
	for _, l := range w.storeLs {
		_ = l.Close() // the run is over
	}
}

// front is the proxy before a daemon's address.
func (w *world) front(address string) string { return w.fronts[address] }

// key is a key for a caller: mostly one that holds, at times one that was removed.
func (w *world) key(account int) (name, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name, key = fmt.Sprintf("account-%d", account), w.keys[account]
	if rand.IntN(staleKeys) == 0 {
		for old := range w.removed {
			if strings.HasPrefix(old, fmt.Sprintf("key-%d-", account)) {
				key = old
			}
		}
	}
	return name, key
}

// write puts a value into the store past all faults, as the operator and servers do.
func (w *world) write(key string, value []byte) {
	ctx := context.Background()
	for {
		var version int64
		if old, err := w.memory.Get(ctx, key); err == nil {
			version = old.Version
		}
		if _, err := w.memory.CompareAndSwap(ctx, key, version, value, 0); err == nil {
			return
		}
	}
}

func (w *world) register(s *server, leaving bool) {
	w.writeEntry(s.entry(leaving))
	if leaving {
		s.mu.Lock()
		s.leaving = time.Now()
		s.mu.Unlock()
	}
}

func (w *world) writeEntry(entry routing.Server) {
	raw, err := wire.EncodeServer(entry)
	if err != nil {
		w.ledger.violate("harness: %v", err)
		return
	}
	w.write(wire.ServerKey(entry.ID), raw)
}

// unregister removes an entry.
func (w *world) unregister(id string) {
	ctx := context.Background()
	if kv, err := w.memory.Get(ctx, wire.ServerKey(id)); err == nil {
		_ = w.memory.Delete(ctx, kv.Key, kv.Version) // gone already is as good
	}
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + int64(w.random.IntN(3))
	route := func(kind callKind, k routing.Kind, service string, attempts int) *routing.Route {
		return &routing.Route{
			Name: strings.Trim(prefixes[kind], "/"), Host: host, Prefix: prefixes[kind], Kind: k, Timeout: patience[kind],
			Objective: 200 * time.Millisecond, GapTarget: 700 * time.Millisecond, MaxAttempts: attempts,
			Resumable: kind == callReview,
			Targets:   []routing.Target{{Service: service, Weight: 1}},
		}
	}
	d := wire.DesiredConfig{
		Version: w.version, Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []*routing.Service{
			{Name: "llm", Engine: &routing.Engine{Slots: 32, CanReplicate: true, CanCopy: true, ReplicaTTL: 4 * time.Second}}, {Name: "desk"}, {Name: "desk2"},
		},
		Routes: []*routing.Route{
			route(callReview, routing.Stream, "llm", 5), route(callOnce, routing.AtMostOnce, w.desk, 1), route(callAgain, routing.Idempotent, w.desk, 2),
		},
		Keys: map[string][]string{},
	}
	for a, key := range w.keys {
		d.Keys[fmt.Sprintf("account-%d", a)] = []string{key}
	}
	raw, err := wire.EncodeConfig(d)
	if err != nil {
		w.ledger.violate("harness: %v", err)
		return
	}
	w.write(wire.ConfigKey, raw)
}

// judge checks a request that a server is about to run.
func (w *world) judge(e forward.UpstreamRequest, key, path, service string, leaving time.Time, sent sentCall) {
	now := time.Now()
	w.mu.Lock()
	removed, desk, moved, trouble := w.removed[sent.key], w.desk, w.moved, w.trouble
	w.mu.Unlock()
	l := w.ledger
	steady := w.opts.Timed && now.After(trouble)
	switch {
	case sent.at.IsZero():
		l.violate("%s runs, and no caller sent it", e.ID)
	case path != prefixes[sent.kind]+sent.name:
		l.violate("%s arrives with the path %s", e.ID, path)
	case key != "":
		l.violate("%s arrives with its caller's key", e.ID)
	case e.Account != sent.account:
		l.violate("%s of %s arrives as of %q", e.ID, sent.account, e.Account)
	case (sent.kind == callReview) != (service == "llm"):
		l.violate("%s runs at %s", e.ID, service)
	case w.opts.Timed && !removed.IsZero() && sent.at.After(removed.Add(keyAge)):
		l.violate("%s runs with a key removed %v before", e.ID, sent.at.Sub(removed))
	case sent.kind == callOnce && l.timesRun(e.ID) > 1:
		l.violate("%s runs %d times", e.ID, l.timesRun(e.ID))
	case steady && !leaving.IsZero() && now.After(leaving.Add(drainAge)):
		l.violate("%s reaches a server %v after it began to leave", e.ID, now.Sub(leaving))
	case steady && sent.kind != callReview && service != desk && sent.at.After(moved.Add(inForce)):
		l.violate("%s runs at %s %v after the route moved to %s", e.ID, service, sent.at.Sub(moved), desk)
	}
}

// refused checks the promise that a request has not run, now and at the end.
func (w *world) refused(id string) {
	if w.ledger.timesRun(id) > 0 && !w.repeatable(id) {
		w.ledger.violate("%s was refused as not run, and ran", id)
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.counts["refused"]++
}

func (w *world) repeatable(id string) bool {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	return w.ledger.sent[id].kind != callOnce
}

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
	keyRevocationDelay = 5 * time.Second // in which a removed key ceases to work
	drainPropagation   = 2 * time.Second // in which a server that leaves gets no more requests
	configPropagation  = 2 * time.Second // of a configuration
	recoveryTime       = 3 * time.Second // after a fault before bounds hold again
)

// Size of a deployment.
const (
	daemonCount            = 5
	engineCount            = 6
	plainServersPerService = 3
	accountCount           = 3
	staleKeyInterval       = 8 // one in so many requests brings a key that was removed, if there is one
	host                   = "soak.example"
)

var zoneNames = []string{"a", "b", "c"}

// Options of a run.
type Options struct {
	Seed     uint64
	Binary   string // the daemon's program
	Dir      string // for settings and logs
	Scenario Scenario
	// Timed checks promises that have a bound in time too. On a machine that is too
	// busy to run the processes in time these do not hold.
	Timed   bool
	Length  time.Duration
	Callers int
}

// Report is what a run showed.
type Report struct {
	Violations []string       // promises
	Counts     map[string]int // requests asked, served, failed
	Faults     []string       // what was done, in order
}

// harness is one run.
type harness struct {
	opts           Options
	random         *rand.Rand
	recorder       *recorder
	memory         *store.Memory
	standIn        *kv.StandIn
	storeListeners []net.Listener
	network        string // the first three bytes of its addresses
	uplinks        []*uplink
	linkProxies    []*proxy // on uplinks
	partHistory    []string // parts that every engine says it held
	daemons        []*daemon
	callerProxies  map[string]string // addresses of daemons to proxies before them

	rolloutMu            sync.Mutex // held while a roll-out is under way
	mu                   sync.Mutex
	servers              []*server
	retired              []*server // that have ended for good
	faultLog             []string
	configVersion        int64
	keys                 [accountCount]string
	removedKeys          map[string]time.Time // keys, by when that was acknowledged
	activeService        string               // service of the calls
	routeMovedAt         time.Time            // when the last move of them was acknowledged
	boundsSuspendedUntil time.Time            // until when bounds do not hold
	poisonRequests       int                  // requests that end their servers
	// crashesByRequest counts the servers that ended under each of those.
	crashesByRequest map[string]int
	restarts         sync.WaitGroup // servers that are to start again
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	h := &harness{
		opts: o, random: rand.New(rand.NewPCG(o.Seed, 7)), recorder: newRecorder(), memory: store.NewMemory(),
		callerProxies: map[string]string{}, removedKeys: map[string]time.Time{}, activeService: "desk",
		crashesByRequest: map[string]int{},
	}
	defer h.close()
	if err := h.start(); err != nil {
		return nil, err
	}
	h.runScenario(ctx)
	return &Report{Violations: h.recorder.violations, Counts: h.recorder.counts, Faults: h.faultLog}, nil
}

// runsStarted tells the runs of this process apart.
var runsStarted atomic.Int64

// network is a loopback network for one run: runs at the same time do not meet.
func network() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 20+pid%200, (pid/200+37*int(runsStarted.Add(1)))%250)
}

func (h *harness) start() error {
	h.network = network()
	listenIP := h.network + ".200"
	h.standIn = kv.NewStandIn(h.memory)
	if err := h.startServers(listenIP); err != nil {
		return err
	}
	for a := range h.keys {
		h.keys[a] = fmt.Sprintf("key-%d-0", a)
	}
	h.writeConfig()
	stores, err := h.storeAddresses(listenIP)
	if err != nil {
		return err
	}
	for n, at := range stores {
		d, err := h.newDaemon(n, h.daemonIP(n), listenIP, zoneNames[n%len(zoneNames)], at)
		if err != nil {
			return err
		}
		h.daemons = append(h.daemons, d)
		h.callerProxies[d.settings.CallerAddress] = d.callerProxy.address()
	}
	return h.awaitReady(10 * time.Second)
}

// startServers starts and registers the servers.
func (h *harness) startServers(listenIP string) error {
	for n := range engineCount + 2*plainServersPerService {
		service := "llm"
		if n >= engineCount {
			service = []string{"desk", "desk2"}[(n-engineCount)%2]
		}
		s, err := h.newServer(service, zoneNames[n%len(zoneNames)], listenIP+":0", listenIP+":0")
		if err != nil {
			return err
		}
		h.servers = append(h.servers, s)
		h.register(s, false)
	}
	return nil
}

// storeAddresses are the addresses of the store, for each daemon.
func (h *harness) storeAddresses(listenIP string) ([]string, error) {
	if h.opts.Scenario.hasDaemonLinks() {
		return h.buildLinks(listenIP)
	}
	at, err := h.serveStore(listenIP, h.standIn)
	return slices.Repeat([]string{at}, daemonCount), err
}

func (h *harness) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(h.daemons, func(d *daemon) bool { return !d.isReady() }) {
			return nil
		}
	}
	return errors.New("the daemons were not ready in time")
}

func (h *harness) close() {
	for _, d := range h.daemons {
		d.close()
	}
	for _, s := range append(h.servers, h.retired...) {
		_ = s.http.Close() // the run is over
		s.link.close()
	}
	for _, p := range h.linkProxies {
		p.close()
	}
	for _, l := range h.storeListeners {
		_ = l.Close() // the run is over
	}
}

// callerProxy is the proxy before a daemon's address.
func (h *harness) callerProxy(address string) string { return h.callerProxies[address] }

// requestKey is a key for a caller: mostly one that holds, at times one that was removed.
func (h *harness) requestKey(account int) (name, key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name, key = fmt.Sprintf("account-%d", account), h.keys[account]
	if rand.IntN(staleKeyInterval) == 0 {
		for old := range h.removedKeys {
			if strings.HasPrefix(old, fmt.Sprintf("key-%d-", account)) {
				key = old
			}
		}
	}
	return name, key
}

// write puts a value into the store past all faults, as the operator and servers do.
func (h *harness) write(key string, value []byte) {
	ctx := context.Background()
	for {
		var version int64
		if old, err := h.memory.Get(ctx, key); err == nil {
			version = old.Version
		}
		if _, err := h.memory.CompareAndSwap(ctx, key, version, value, 0); err == nil {
			return
		}
	}
}

func (h *harness) register(s *server, draining bool) {
	h.writeEntry(s.entry(draining))
	if draining {
		s.mu.Lock()
		s.drainingSince = time.Now()
		s.mu.Unlock()
	}
}

func (h *harness) writeEntry(entry routing.Server) {
	raw, err := wire.EncodeServer(entry)
	if err != nil {
		h.recorder.recordViolation("harness: %v", err)
		return
	}
	h.write(wire.ServerKey(entry.ID), raw)
}

// unregister removes an entry.
func (h *harness) unregister(id string) {
	ctx := context.Background()
	if kv, err := h.memory.Get(ctx, wire.ServerKey(id)); err == nil {
		_ = h.memory.Delete(ctx, kv.Key, kv.Version) // gone already is as good
	}
}

// writeConfig writes the next version of the configuration.
func (h *harness) writeConfig() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configVersion += 1 + int64(h.random.IntN(3))
	route := func(kind callKind, k routing.Kind, service string, attempts int) *routing.Route {
		return &routing.Route{
			Name: strings.Trim(routePrefixes[kind], "/"), Host: host, Prefix: routePrefixes[kind], Kind: k, Timeout: callTimeouts[kind],
			Objective: 200 * time.Millisecond, GapTarget: 700 * time.Millisecond, MaxAttempts: attempts,
			Resumable: kind == callResumable,
			Targets:   []routing.Target{{Service: service, Weight: 1}},
		}
	}
	d := wire.DesiredConfig{
		Version: h.configVersion, Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []*routing.Service{
			{Name: "llm", Engine: &routing.Engine{Slots: 32, CanReplicate: true, CanCopy: true, ReplicaTTL: 4 * time.Second}}, {Name: "desk"}, {Name: "desk2"},
		},
		Routes: []*routing.Route{
			route(callResumable, routing.Stream, "llm", 5), route(callAtMostOnce, routing.AtMostOnce, h.activeService, 1), route(callIdempotent, routing.Idempotent, h.activeService, 2),
		},
		Keys: map[string][]string{},
	}
	for a, key := range h.keys {
		d.Keys[fmt.Sprintf("account-%d", a)] = []string{key}
	}
	raw, err := wire.EncodeConfig(d)
	if err != nil {
		h.recorder.recordViolation("harness: %v", err)
		return
	}
	h.write(wire.ConfigKey, raw)
}

// checkRequest checks a request that a server is about to run.
func (h *harness) checkRequest(e forward.UpstreamRequest, key, path, service string, drainingSince time.Time, sent sentRequest) {
	now := time.Now()
	h.mu.Lock()
	removedAt, activeService, movedAt, suspendedUntil := h.removedKeys[sent.key], h.activeService, h.routeMovedAt, h.boundsSuspendedUntil
	h.mu.Unlock()
	rec := h.recorder
	boundsHold := h.opts.Timed && now.After(suspendedUntil)
	switch {
	case sent.sentAt.IsZero():
		rec.recordViolation("%s runs, and no caller sent it", e.ID)
	case path != routePrefixes[sent.kind]+sent.pathSuffix:
		rec.recordViolation("%s arrives with the path %s", e.ID, path)
	case key != "":
		rec.recordViolation("%s arrives with its caller's key", e.ID)
	case e.Account != sent.account:
		rec.recordViolation("%s of %s arrives as of %q", e.ID, sent.account, e.Account)
	case (sent.kind == callResumable) != (service == "llm"):
		rec.recordViolation("%s runs at %s", e.ID, service)
	case h.opts.Timed && !removedAt.IsZero() && sent.sentAt.After(removedAt.Add(keyRevocationDelay)):
		rec.recordViolation("%s runs with a key removed %v before", e.ID, sent.sentAt.Sub(removedAt))
	case sent.kind == callAtMostOnce && rec.executionCount(e.ID) > 1:
		rec.recordViolation("%s runs %d times", e.ID, rec.executionCount(e.ID))
	case boundsHold && !drainingSince.IsZero() && now.After(drainingSince.Add(drainPropagation)):
		rec.recordViolation("%s reaches a server %v after it began to leave", e.ID, now.Sub(drainingSince))
	case boundsHold && sent.kind != callResumable && service != activeService && sent.sentAt.After(movedAt.Add(configPropagation)):
		rec.recordViolation("%s runs at %s %v after the route moved to %s", e.ID, service, sent.sentAt.Sub(movedAt), activeService)
	}
}

// checkRefusal checks the promise that a request has not run, now and at the end.
func (h *harness) checkRefusal(id string) {
	if h.recorder.executionCount(id) > 0 && !h.canRetry(id) {
		h.recorder.recordViolation("%s was refused as not run, and ran", id)
	}
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	h.recorder.counts["refused"]++
}

func (h *harness) canRetry(id string) bool {
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	return h.recorder.sentRequests[id].kind != callAtMostOnce
}

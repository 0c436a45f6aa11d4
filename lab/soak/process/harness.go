// Package process injects seeded random faults into real mallowwind processes. Several daemons run
// on one machine, against a stand-in of the platform's store, model engines and plain services in
// the test process. Faults come from outside the daemons: signals, proxies on every link, and a
// store that fails. The harness checks what callers and backend servers observe meanwhile.
//
// A seed fixes which faults occur and when, but not which requests they hit.
package process

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/store"
	"mallowwind.dev/platform/kv"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

// Time bounds that the daemons are configured with or guarantee.
const (
	keyRevocationDelay = 5 * time.Second // until a removed key no longer works
	drainPropagation   = 2 * time.Second // until a draining server gets no more requests
	configPropagation  = 2 * time.Second // until a configuration is in force
	recoveryTime       = 3 * time.Second // after a fault until time bounds apply again
)

// Size of the deployment.
const (
	daemonCount            = 5
	engineCount            = 6
	plainServersPerService = 3
	accountCount           = 3
	staleKeyInterval       = 8 // one in this many requests carries a removed key, if there is one
	host                   = "soak.example"
)

const (
	// storePageItems is the number of keys in a page of the store. The keys of a run fill several.
	storePageItems = 5
	// maxStaleness bounds the age of a page of a stale list; each has one of its own.
	maxStaleness = 3 * time.Second
)

var zoneNames = []string{"a", "b", "c"}

// Options configure a run.
type Options struct {
	Seed     uint64
	Binary   string // path of the daemon's executable
	Dir      string // directory for settings and logs
	Scenario Scenario
	// Timed also checks time bounds. They do not hold on a machine that is too busy to schedule
	// the processes in time.
	Timed  bool
	Length time.Duration
	// Faults selects the faults of the scenario by their names.
	Faults  *regexp.Regexp
	Callers int
	// MemoryLimitBytes is the memory limit that the daemons' settings state; 0 states none.
	MemoryLimitBytes int64
	// BodyBytes is the largest body that callers may send; 0 stands for 1 MiB.
	BodyBytes int64
}

// Report is the result of a run.
type Report struct {
	Violations []string       // guarantees that did not hold
	Counts     map[string]int // e.g. requests asked, served, failed
	Faults     []string       // injected faults, in order
}

// harness is the state of one run.
type harness struct {
	opts           Options
	random         *rand.Rand
	recorder       *recorder
	memory         *store.Memory
	standIn        *kv.StandIn
	storeListeners []net.Listener
	network        string // first three bytes of its addresses
	uplinks        []*uplink
	linkProxies    []*proxy // proxies that pass uplinks
	partHistory    []string // prompt parts that every engine reports
	daemons        []*daemon
	callerProxies  map[string]string // proxy addresses by the daemon's caller address

	rolloutMu            sync.Mutex // held while a roll-out is in progress
	restoring            sync.Mutex // held while the store is restored from a copy
	written              writtenEntries
	mu                   sync.Mutex
	servers              []*server
	retired              []*server // ended for good
	faultLog             []string
	configVersion        int64
	keys                 [accountCount]string
	removedKeys          map[string]time.Time // when the removal of a key was acknowledged
	activeService        string               // plain service that routes target
	routeMovedAt         time.Time            // when the last change of target was acknowledged
	boundsSuspendedUntil time.Time            // time bounds are not checked before
	burstCallersStarted  int                  // number of callers of bursts so far
	poisonRequests       int                  // number of poison requests so far
	// crashesByName counts the servers that crashed on each poison request or part of prompts.
	crashesByName map[string]int
	attempts      firstAttempts
	restarts      sync.WaitGroup // servers that are about to restart
}

func newHarness(o Options) *harness {
	return &harness{
		opts: o, random: rand.New(rand.NewPCG(o.Seed, 7)), recorder: newRecorder(), memory: store.NewMemory(),
		callerProxies: map[string]string{}, removedKeys: map[string]time.Time{}, activeService: "desk",
		crashesByName: map[string]int{},
	}
}

// Run runs one scenario with one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	h := newHarness(o)
	defer h.close()
	if err := h.start(); err != nil {
		return nil, err
	}
	h.runScenario(ctx)
	return &Report{Violations: h.recorder.violations, Counts: h.recorder.counts, Faults: h.faultLog}, nil
}

// runsStarted gives each run of this process its own network.
var runsStarted atomic.Int64

// network returns the prefix of a loopback network for one run, so that concurrent runs do not
// share addresses.
func network() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 20+pid%200, (pid/200+37*int(runsStarted.Add(1)))%250)
}

func (h *harness) start() error {
	h.network = network()
	listenIP := h.network + ".200"
	h.memory.ServeStale(store.StaleReads{PageItems: storePageItems, Age: func(string) time.Duration { return rand.N(maxStaleness) }})
	h.standIn = kv.NewStandIn(h.memory)
	if err := h.startServers(listenIP); err != nil {
		return err
	}
	for a := range h.keys {
		h.keys[a] = fmt.Sprintf("key-%d-0", a)
	}
	h.writeConfig()
	if h.opts.Scenario.hasSilentServers() {
		time.Sleep(maxStaleness) // stale lists then show all servers, and every daemon has load
	}
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
		if service == "llm" {
			s.speed = h.opts.Scenario.engineSpeed(n)
		}
		h.register(s, false)
	}
	h.drawCloseNotices()
	return nil
}

// storeAddresses returns the address of the store for each daemon.
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
	return errors.New("the daemons did not become ready in time")
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

// callerProxy returns the proxy in front of a daemon's caller address.
func (h *harness) callerProxy(address string) string { return h.callerProxies[address] }

// requestKey returns a key for a request: mostly a valid one, sometimes a removed one.
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

// write writes a value to the store directly, unaffected by injected faults, on behalf of the
// operator or a server.
func (h *harness) write(key string, value []byte) {
	h.written.record(key, value)
	h.writeToStore(key, value)
}

func (h *harness) writeToStore(key string, value []byte) {
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

// unregister removes a server's entry.
func (h *harness) unregister(id string) {
	h.written.record(wire.ServerKey(id), nil)
	h.removeFromStore(wire.ServerKey(id))
}

func (h *harness) removeFromStore(key string) {
	ctx := context.Background()
	if kv, err := h.memory.Get(ctx, key); err == nil {
		_ = h.memory.Delete(ctx, kv.Key, kv.Version) // fails only if the entry has changed or is gone
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
			Objective: h.opts.Scenario.objective(kind), Priority: routePriorities[kind], GapTarget: 700 * time.Millisecond, MaxAttempts: attempts,
			Resumable: kind.isStream(),
			Targets:   []routing.Target{{Service: service, Weight: 1}},
		}
	}
	d := wire.DesiredConfig{
		Version: h.configVersion, Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: cmp.Or(h.opts.BodyBytes, 1<<20), HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Services: []*routing.Service{
			{Name: "llm", Engine: &routing.Engine{Slots: h.opts.Scenario.engineLimits().slots, CanReplicate: true, CanCopy: true, ReplicaTTL: replicaTTL}}, {Name: "desk", HealthPath: healthPath}, {Name: "desk2", HealthPath: healthPath},
		},
		Routes: []*routing.Route{
			route(callResumable, routing.Stream, "llm", 5), route(callAtMostOnce, routing.AtMostOnce, h.activeService, 1), route(callIdempotent, routing.Idempotent, h.activeService, 2),
		},
		Keys: map[string][]string{},
	}
	if h.opts.Scenario.hasPriorities() {
		d.Routes = append(d.Routes, route(callLessUrgent, routing.Stream, "llm", 5))
		d.Priorities = map[string]int{priorityAccount: accountPriority}
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

// checkRequest checks a request that arrived at a server and is about to run.
func (h *harness) checkRequest(e forward.UpstreamRequest, key, path, service string, arrivedAt, drainingSince time.Time, sent sentRequest) {
	h.mu.Lock()
	removedAt, activeService, movedAt, suspendedUntil := h.removedKeys[sent.key], h.activeService, h.routeMovedAt, h.boundsSuspendedUntil
	h.mu.Unlock()
	rec := h.recorder
	boundsHold := h.opts.Timed && arrivedAt.After(suspendedUntil)
	isFirst := rec.executionCount(e.ID) == 1 && e.LastEventID == 0
	switch {
	case sent.sentAt.IsZero():
		rec.recordViolation("%s runs, but no caller sent it", e.ID)
	case path != routePrefixes[sent.kind]+sent.pathSuffix:
		rec.recordViolation("%s arrives with the path %s", e.ID, path)
	case key != "":
		rec.recordViolation("%s arrives with its caller's key", e.ID)
	case e.Account != sent.account:
		rec.recordViolation("%s of %s arrives as a request of %q", e.ID, sent.account, e.Account)
	case sent.kind.isStream() != (service == "llm"):
		rec.recordViolation("%s runs at %s", e.ID, service)
	case h.opts.Scenario.hasPriorities() && sent.kind.isStream() && e.Priority != expectedRank(sent):
		rec.recordViolation("%s of %s arrives with priority %d, want %d", e.ID, e.Account, e.Priority, expectedRank(sent))
	case h.opts.Timed && !removedAt.IsZero() && sent.sentAt.After(removedAt.Add(keyRevocationDelay)):
		rec.recordViolation("%s runs with a key that was removed %v earlier", e.ID, sent.sentAt.Sub(removedAt))
	case boundsHold && !removedAt.IsZero() && isFirst && arrivedAt.After(removedAt.Add(configPropagation)):
		rec.recordViolation("%s reaches a server %v after its key was removed", e.ID, arrivedAt.Sub(removedAt))
	case sent.kind == callAtMostOnce && rec.executionCount(e.ID) > 1:
		rec.recordViolation("%s runs %d times", e.ID, rec.executionCount(e.ID))
	case boundsHold && !drainingSince.IsZero() && arrivedAt.After(drainingSince.Add(drainPropagation)):
		rec.recordViolation("%s reaches a server %v after it began to drain", e.ID, arrivedAt.Sub(drainingSince))
	case boundsHold && !sent.kind.isStream() && service != activeService && sent.sentAt.After(movedAt.Add(configPropagation)):
		rec.recordViolation("%s runs at %s %v after the route moved to %s", e.ID, service, sent.sentAt.Sub(movedAt), activeService)
	}
}

// checkRefusal checks that a refusal as not run says so and is true. Without priorities it need not be
// true of a request that may be retried.
func (h *harness) checkRefusal(id, body string) {
	var answer struct{ Verdict, Code string }
	if err := json.Unmarshal([]byte(body), &answer); err != nil || answer.Verdict != verdict.NotRun.String() {
		h.recorder.recordViolation("%s was refused without the verdict that it has not run: %q", id, tail(body))
	}
	h.recorder.count("refused as " + answer.Code)
	mustNotRun := !h.canRetry(id)
	if h.recorder.executionCount(id) > 0 && mustNotRun {
		h.recorder.recordViolation("%s was refused as not run, but ran", id)
	}
	h.recorder.recordRefused(id, mustNotRun)
}

func (h *harness) canRetry(id string) bool {
	h.recorder.mu.Lock()
	defer h.recorder.mu.Unlock()
	kind := h.recorder.sentRequests[id].kind
	return kind != callAtMostOnce && !(kind.isStream() && h.opts.Scenario.hasPriorities())
}

package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/entries"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

var errEngineDied = errors.New("engine died")

const (
	reportEvery   = time.Second            // load reports
	progressEvery = 250 * time.Millisecond // progress of running streams
	tickEvery     = 100 * time.Millisecond
	deathSeen     = 500 * time.Millisecond // until the death of an engine is noticed
	listLag       = 2 * time.Second        // until the platform's list shows a death
	connectFails  = time.Second            // until a caller tries its next address
)

// daemonSim is one entry VM.
type daemonSim struct {
	id     string
	zone   int
	dead   bool
	policy dispatcher
}

// world is one run: a deployment, a policy and a scenario.
type world struct {
	clock    *clock
	random   *rand.Rand
	seed     uint64
	deploy   deployment
	site     *site.Site
	policy   PolicyName
	engines  []*engineSim
	byID     map[string]*engineSim
	pools    map[string][]*engineSim
	daemons  []*daemonSim
	accounts []*account
	running  map[*request]struct{}
	deadSeen map[string]bool // engines that the list shows as gone
	reports  map[string]engine.Status
	version  uint64
	meter    *meter
	hintless bool // no cache events reach the daemons
	// returning says when refused callers come back, given what they were told;
	// nil means never.
	returning func(time.Duration) time.Duration
	plain     bool // prompts are not recognised: no affinity
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

func newWorld(d deployment, policy PolicyName, seed uint64) *world {
	w := &world{
		clock: newClock(), random: rand.New(rand.NewPCG(seed, 1)), seed: seed, deploy: d,
		site: d.text(), policy: policy, byID: map[string]*engineSim{},
		pools: map[string][]*engineSim{}, running: map[*request]struct{}{},
		deadSeen: map[string]bool{}, reports: map[string]engine.Status{},
	}
	w.meter = newMeter(w)
	w.addEngines()
	for zone, n := range d.daemons {
		for range n {
			w.daemons = append(w.daemons, &daemonSim{id: fmt.Sprintf("entry-%d", len(w.daemons)), zone: zone})
		}
	}
	for i := range w.daemons {
		w.daemons[i].policy = newDispatcher(w, policy, i)
	}
	w.addAccounts()
	w.publish()
	w.clock.every(reportEvery, w.publish)
	w.clock.every(progressEvery, w.reportProgress)
	w.clock.every(tickEvery, w.tick)
	return w
}

func (w *world) addEngines() {
	for _, pool := range []string{poolLong, poolDesk} {
		for i := range w.deploy.pools[pool] {
			e := &engineSim{
				clock: w.clock, physics: w.deploy.engines, id: fmt.Sprintf("%s-%03d", pool, i), zone: i % len(w.deploy.zones),
				slow: 1, vAt: w.clock.now, gaps: &w.meter.gaps,
			}
			e.onCache = func(prefix uint64, held bool) { w.cacheEvent(e.id, prefix, held) }
			w.engines = append(w.engines, e)
			w.byID[e.id] = e
			w.pools[pool] = append(w.pools[pool], e)
		}
	}
}

// Cache events come late, and one in ten is lost.
const (
	cacheEventDelay = 3 * time.Second
	cacheEventLoss  = 0.1
)

func (w *world) cacheEvent(id string, prefix uint64, held bool) {
	if w.hintless || w.random.Float64() < cacheEventLoss {
		return
	}
	w.clock.after(cacheEventDelay, func() {
		for _, d := range w.daemons {
			if p, ok := d.policy.(*product); ok && !d.dead {
				p.core.RecordCacheEvent(id, engine.CacheEvent{Prefix: prefix, Held: held})
			}
		}
	})
}

// publish gives every daemon the reports that were taken one period earlier.
func (w *world) publish() {
	w.version++
	snap := &backends.Snapshot{Version: w.version, Pools: map[string][]*backends.Backend{}}
	for pool, servers := range w.pools {
		for _, e := range servers {
			if !w.deadSeen[e.id] {
				snap.Pools[pool] = append(snap.Pools[pool], w.row(pool, e))
			}
		}
	}
	alive := 0
	for _, d := range w.daemons {
		if !d.dead {
			alive++
		}
	}
	for _, d := range w.daemons {
		if !d.dead {
			d.policy.update(snap, alive)
		}
	}
	for _, e := range w.engines {
		w.reports[e.id] = engine.Status{Running: e.running(), Waiting: len(e.waiting), Slots: batchMost}
	}
}

func (w *world) row(pool string, e *engineSim) *backends.Backend {
	st := w.reports[e.id]
	st.Incarnation, st.Age = "1", reportEvery
	st.Models = []engine.LoadedModel{{Ref: engine.ModelRef{Model: pool, Version: "1"}, State: engine.Ready}}
	return &backends.Backend{
		VM: vmlist.VM{
			ID: e.id, Address: e.id, Zone: zoneName(e.zone), Role: vmlist.RoleBackend,
			Pool: pool, State: vmlist.Live,
		},
		Engine: nil, Status: st, StatusAt: w.clock.now, Reachable: true,
	}
}

func (w *world) liveServers(snap *backends.Snapshot) map[string][]*engineSim {
	live := map[string][]*engineSim{}
	for pool, rows := range snap.Pools {
		for _, b := range rows {
			live[pool] = append(live[pool], w.byID[b.VM.ID])
		}
	}
	return live
}

func (w *world) tick() {
	for _, d := range w.daemons {
		if !d.dead {
			d.policy.tick()
		}
	}
}

// reportProgress tells the policies what the running streams produced.
func (w *world) reportProgress() {
	for _, r := range w.inOrder() {
		j := r.job
		if j == nil || !j.started || j.over || r.left {
			continue
		}
		n := j.server.made(j) - j.reported
		if n < 1 {
			continue
		}
		whole := int(n)
		gap := time.Duration(float64(w.clock.now.Sub(j.reportedT)) * float64(whole) / n)
		w.daemons[r.daemon].policy.progress(r, whole, gap)
		j.reported += float64(whole)
		j.reportedT = j.reportedT.Add(gap)
	}
}

// inOrder returns the running requests in the order of their ids, so that a
// run depends on nothing but its seed.
func (w *world) inOrder() []*request {
	all := make([]*request, 0, len(w.running))
	for r := range w.running {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// account is one client account with the addresses its clients keep.
type account struct {
	site    *site.Account
	hash    uint64
	demand  float64 // relative to the others
	told    []int
	toldAt  time.Time
	turn    uint64
	offered float64
	served  float64
}

func (w *world) addAccounts() {
	for i := range w.deploy.accounts {
		name := fmt.Sprintf("account-%02d", i)
		w.accounts = append(w.accounts, &account{
			site: w.site.Accounts[name], hash: xxhash.Sum64String(name), demand: 1,
		})
	}
}

// entry is the daemon that a request of a goes to, and the time lost on
// addresses that no longer answer.
func (w *world) entry(a *account) (int, time.Duration) {
	if a.told == nil || w.clock.now.Sub(a.toldAt) >= w.site.Limits.EntriesTTL {
		a.told, a.toldAt = w.entriesFor(a), w.clock.now
	}
	a.turn++
	lost := time.Duration(0)
	for k := range a.told {
		i := a.told[(int(a.turn)+k)%len(a.told)]
		if !w.daemons[i].dead {
			return i, lost
		}
		lost += connectFails
	}
	a.told = nil
	return w.anyEntry(), lost
}

// entriesFor is the product's answer; baselines tell everybody all VMs.
func (w *world) entriesFor(a *account) []int {
	vms := make([]entries.VM, len(w.daemons))
	for i, d := range w.daemons {
		vms[i] = entries.VM{ID: d.id, Hash: xxhash.Sum64String(d.id), Zone: zoneName(d.zone), Usable: !d.dead}
	}
	shares := make([]entries.AccountLoad, len(w.accounts))
	for i, x := range w.accounts {
		shares[i] = entries.AccountLoad{Name: x.site.Name, Hash: x.hash, Weight: x.demand}
	}
	part, before := entries.LoadPosition(shares, a.site.Name)
	q := entries.Query{LoadShare: part, ShareBefore: before}
	if w.policy != Product {
		q.LoadShare = 1
	}
	return entries.Select(vms, q).VMs
}

func (w *world) anyEntry() int {
	for {
		i := w.random.IntN(len(w.daemons))
		if !w.daemons[i].dead {
			return i
		}
	}
}

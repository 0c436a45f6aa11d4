package load

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/serve/flow"
)

// dispatcher is what runs on one entry VM: the product's or a baseline.
type dispatcher interface {
	// submit decides about an attempt; it calls w.dispatch, or w.refused on
	// its request, at once or later.
	submit(r *request)
	// leave says that the caller of a waiting request has gone.
	leave(r *request)
	// ended says that a dispatched attempt is over.
	ended(r *request, failed, cancelled bool)
	// progress reports the tokens of a running attempt.
	progress(r *request, n int, gap time.Duration)
	tick()
	update(snap *backends.Snapshot, daemons int)
	// notices says whether waiting work is dropped when its caller leaves.
	notices() bool
	prioritises() bool
}

// PolicyName names a policy in reports.
type PolicyName string

// The policies compared in every run.
const (
	Product    PolicyName = "mallowwind"
	Random     PolicyName = "random"
	RoundRobin PolicyName = "round_robin"
	FIFO       PolicyName = "fifo"
)

// Policies is the order of the reports.
var Policies = []PolicyName{Product, Random, RoundRobin, FIFO}

func newDispatcher(w *world, name PolicyName, vm int) dispatcher {
	switch name {
	case Product:
		place := flow.Location{VM: w.daemons[vm].id, Zone: zoneName(w.daemons[vm].zone)}
		return &product{world: w, place: place, core: flow.NewCore(place, nil, nil, w.seed+uint64(vm))}
	case FIFO:
		return &fifo{world: w}
	default:
		return &direct{world: w, random: rand.New(rand.NewPCG(w.seed, uint64(vm))), robin: name == RoundRobin, next: vm}
	}
}

// product runs flow.Core, exactly as a daemon does.
type product struct {
	world *world
	place flow.Location
	core  *flow.Core
}

type productSink struct {
	p *product
	r *request
}

// Granted implements flow.Sink.
func (s productSink) Granted(_ time.Time, l *flow.Lease) {
	s.r.lease = l
	s.p.world.dispatch(s.r, s.p.world.byID[l.Backend().ID])
}

// Refused implements flow.Sink.
func (s productSink) Refused(_ time.Time, err *verdict.Error) {
	s.p.world.refused(s.r, err.RetryAfter)
}

func (p *product) submit(r *request) {
	ask := flow.Request{
		Account: r.account.site, Service: r.kind.service, CostTokens: r.expected(),
		PrefixHash: r.prefix, Deadline: r.patienceEnd, Resume: r.produced() > 0, Exclude: r.exclude,
	}
	if p.world.plain {
		ask.PrefixHash = 0
	}
	r.waiter = p.core.Submit(p.world.clock.now, ask, productSink{p, r})
}

func (p *product) leave(r *request) {
	if r.waiter != nil {
		p.core.Cancel(r.waiter)
	}
}

func (p *product) ended(r *request, failed, cancelled bool) {
	o := flow.Outcome{Cancelled: cancelled, FirstToken: r.firstToken()}
	if failed {
		o.Err = errEngineDied
	}
	l := r.lease
	r.lease = nil
	l.Done(p.world.clock.now, o)
}

func (p *product) progress(r *request, n int, gap time.Duration) {
	r.lease.Progress(p.world.clock.now, n, gap)
}

func (p *product) tick() { p.core.Tick(p.world.clock.now) }

func (p *product) update(snap *backends.Snapshot, daemons int) {
	fleet := flow.Fleet{AliveCount: daemons}
	for _, d := range p.world.daemons {
		if !d.dead && zoneName(d.zone) == p.place.Zone {
			fleet.ZoneHashes = append(fleet.ZoneHashes, xxhash.Sum64String(d.id))
		}
	}
	p.core.Update(p.world.clock.now, p.world.site, snap, fleet)
}

func (p *product) notices() bool     { return true }
func (p *product) prioritises() bool { return true }

// direct sends each request at once to a random server or the next in turn,
// and leaves all waiting to the engines.
type direct struct {
	world  *world
	random *rand.Rand
	robin  bool
	next   int
	live   map[string][]*engineSim
}

func (d *direct) submit(r *request) {
	servers := d.live[r.kind.service.Pool]
	if len(servers) == 0 {
		d.world.refused(r, time.Second)
		return
	}
	i := d.random.IntN(len(servers))
	if d.robin {
		d.next++
		i = d.next % len(servers)
	}
	d.world.dispatch(r, servers[i])
}

func (d *direct) leave(*request)                        {}
func (d *direct) ended(*request, bool, bool)            {}
func (d *direct) progress(*request, int, time.Duration) {}
func (d *direct) tick()                                 {}
func (d *direct) notices() bool                         { return false }
func (d *direct) prioritises() bool                     { return false }
func (d *direct) update(snap *backends.Snapshot, _ int) { d.live = d.world.liveServers(snap) }

// fifo keeps one unbounded queue per pool and gives each server its slots,
// the least loaded first by its own count. It knows no class, no account and
// no deadline.
type fifo struct {
	world    *world
	live     map[string][]*engineSim
	inFlight map[*engineSim]int
	queue    map[string][]*request
	daemons  int
}

func (f *fifo) submit(r *request) {
	if f.queue == nil {
		f.queue = map[string][]*request{}
		f.inFlight = map[*engineSim]int{}
	}
	pool := r.kind.service.Pool
	f.queue[pool] = append(f.queue[pool], r)
	f.drain(pool)
}

func (f *fifo) drain(pool string) {
	for len(f.queue[pool]) > 0 {
		var best *engineSim
		for _, e := range f.live[pool] {
			if f.inFlight[e] < f.share() && (best == nil || f.inFlight[e] < f.inFlight[best]) {
				best = e
			}
		}
		if best == nil {
			return
		}
		r := f.queue[pool][0]
		f.queue[pool] = f.queue[pool][1:]
		f.inFlight[best]++
		f.world.dispatch(r, best)
	}
}

func (f *fifo) share() int { return (f.world.deploy.slots + f.daemons - 1) / max(f.daemons, 1) }

func (f *fifo) ended(r *request, _, _ bool) {
	f.inFlight[r.job.server]--
	f.drain(r.kind.service.Pool)
}

func (f *fifo) leave(*request)                        {}
func (f *fifo) progress(*request, int, time.Duration) {}
func (f *fifo) tick()                                 {}
func (f *fifo) notices() bool                         { return false }
func (f *fifo) prioritises() bool                     { return false }
func (f *fifo) update(snap *backends.Snapshot, daemons int) {
	f.live, f.daemons = f.world.liveServers(snap), daemons
	if f.queue != nil {
		for pool := range f.queue {
			f.drain(pool)
		}
	}
}

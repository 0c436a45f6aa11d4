package flow

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/admit"
	"mallowwind.dev/decision/budget"
	"mallowwind.dev/decision/entries"
	"mallowwind.dev/decision/health"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/telemetry/event"
)

// Core is the state machine behind a Dispatcher: every decision from admission
// to the chosen backend server, with time as an argument and no goroutine, so
// that a simulation in virtual time drives exactly what the daemon runs. It is
// not safe for concurrent use; Manager adds the lock.
type Core struct {
	place    Location
	observe  *observer
	random   *rand.Rand
	site     *site.Site
	fleet    Fleet
	shares   []entries.AccountLoad // of the accounts of site, built when first needed
	snapshot *backends.Snapshot    // of the last Update, nil before
	servers  map[string]*server
	hints    hints
	groups   map[groupKey]*group
	ordered  []*group // as created, so that runs of one seed are alike
	accounts map[string]*accountBucket
	// fleetVersion grows with every Update, so that shares are worked out anew.
	fleetVersion uint64
	budgets      map[string]*budget.Budget // by service
	nextEval     time.Time
}

// Location is where this daemon stands.
type Location struct {
	VM     string
	Zone   string
	Region string
}

// Sink receives what becomes of a submitted request: exactly one call, in the
// goroutine and under the lock of whoever made the core move.
type Sink interface {
	Granted(now time.Time, g *Lease)
	Refused(now time.Time, err *verdict.Error)
}

// Waiter is a submitted request.
type Waiter struct {
	item    admit.Item
	ask     Request
	sink    Sink
	group   *group
	arrived time.Time
}

// groupKey names a set of backend servers that can run the same work.
type groupKey struct {
	pool string
	ref  engine.ModelRef
}

// group is the queue and the candidates of one key.
type group struct {
	key     groupKey
	queue   *admit.Queue
	table   *route.Table
	servers []*server // in the order of the table
	peers   []*health.Server
	eval    health.Evaluator
	slots   int
	// loading is the shortest time until a server that loads the model is
	// ready; loadingSlots is what those servers will add.
	loading      time.Time
	loadingSlots int
	waiters      map[*admit.Item]*Waiter
}

// defaultDeadline holds where neither request nor service has one.
const defaultDeadline = 30 * time.Second

// defaultSlots holds for pools without a bound: plain services mostly.
const defaultSlots = 64

// noServerRetry is what callers are told when no backend server is known and
// none loads the model: a returning one is seen within a poll or two.
const noServerRetry = 5 * time.Second

// NewCore returns a core without backend servers; Update gives it some.
// log and registerer may be nil.
func NewCore(place Location, log *event.Log, registerer prometheus.Registerer, seed uint64) *Core {
	return &Core{
		place: place, observe: newObserver(log, registerer),
		random:   rand.New(rand.NewPCG(seed, route.Mix(seed))),
		servers:  map[string]*server{},
		groups:   map[groupKey]*group{},
		accounts: map[string]*accountBucket{},
		budgets:  map[string]*budget.Budget{},
	}
}

func keyOf(s *site.Service) groupKey {
	return groupKey{
		pool: s.Pool,
		ref:  engine.ModelRef{Model: s.Model, Adapter: s.Adapter, Version: s.Version},
	}
}

func classOf(ask *Request) admit.Class {
	if ask.Resume {
		return admit.Resumed
	}
	switch ask.Service.Class {
	case site.ClassUrgent:
		return admit.Urgent
	case site.ClassLong:
		return admit.Long
	default:
		return admit.Normal
	}
}

// Submit decides about a request. The sink is called before Submit returns
// unless the request waits; then the Waiter can be given to Cancel.
func (c *Core) Submit(now time.Time, ask Request, sink Sink) *Waiter {
	w := c.waiter(now, ask, sink)
	if err := c.precheck(now, w); err != nil {
		c.refuse(now, w, err)
		return w
	}
	if w.ask.Reattach {
		c.reattach(now, w)
		return w
	}
	d := c.offer(now, w)
	switch d.Action {
	case admit.Start:
		if c.start(now, w) {
			w.group.queue.RecordStart(&w.item)
			return w
		}
		w.group.queue.Enqueue(&w.item)
		fallthrough
	case admit.Wait:
		w.group.waiters[&w.item] = w
		c.observe.queued(w, d)
	case admit.Refuse:
		c.refuse(now, w, refusal(d))
	}
	return w
}

func (c *Core) waiter(now time.Time, ask Request, sink Sink) *Waiter {
	if ask.Deadline.IsZero() {
		wait := ask.Service.Deadline
		if wait <= 0 {
			wait = defaultDeadline
		}
		ask.Deadline = now.Add(wait)
	}
	w := &Waiter{ask: ask, sink: sink, group: c.asked(now, keyOf(ask.Service)), arrived: now}
	w.item = admit.Item{
		Weight: 1, Class: classOf(&ask), Cost: float64(max(ask.CostTokens, 1)), Deadline: ask.Deadline,
	}
	if ask.Account != nil {
		w.item.Account = ask.Account.Name
		w.item.Weight = ask.Account.Share
	}
	return w
}

// offer asks the queue, and lets the request wait for a model that is loading
// when nothing else can run it.
func (c *Core) offer(now time.Time, w *Waiter) admit.Decision {
	g := w.group
	if g.slots == 0 && g.loadingSlots > 0 && now.Before(w.item.Deadline) {
		return c.offerLoading(now, w)
	}
	return g.queue.Offer(now, &w.item, g.slots)
}

// start picks a backend server and hands out the lease; false when none has room.
func (c *Core) start(now time.Time, w *Waiter) bool {
	q := route.Query{
		Prefix: w.ask.PrefixHash, Cached: c.hints.holder(w.ask.PrefixHash), Prefer: w.ask.Prefer, Exclude: w.ask.Exclude,
		Random: c.random.Uint64(), Urgent: w.item.Class <= admit.Urgent, Overshoot: w.ask.Resume, AllZones: w.ask.Resume,
	}
	if w.group.table == nil {
		return false
	}
	r := w.group.table.Pick(&q)
	if r.Index < 0 {
		return false
	}
	c.grant(now, w, w.group.servers[r.Index], r.Reason)
	return true
}

func (c *Core) grant(now time.Time, w *Waiter, s *server, why route.Reason) {
	s.load.InFlight++
	l := &Lease{
		core: c, group: w.group, server: s, item: &w.item, service: w.ask.Service,
		reason: why, started: now,
	}
	c.observe.dispatched(now, w, l)
	w.sink.Granted(now, l)
}

// reattach hands out the preferred backend server whatever its load, since the
// work runs there already.
func (c *Core) reattach(now time.Time, w *Waiter) {
	for _, s := range w.group.servers {
		if s.backend.ID == w.ask.Prefer {
			c.grant(now, w, s, route.ReasonPreferred)
			w.group.queue.RecordStart(&w.item)
			return
		}
	}
	c.refuse(now, w, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "the backend server is not in the pool any more"))
}

func (c *Core) refuse(now time.Time, w *Waiter, err *verdict.Error) {
	c.observe.refused(now, w, err)
	w.sink.Refused(now, err)
}

// Cancel takes a waiting request out; false when it was already decided.
func (c *Core) Cancel(w *Waiter) bool {
	if !w.item.IsWaiting() {
		return false
	}
	w.group.queue.Remove(&w.item)
	delete(w.group.waiters, &w.item)
	return true
}

// Expire refuses a waiting request whose deadline has come.
func (c *Core) Expire(now time.Time, w *Waiter) bool {
	if !c.Cancel(w) {
		return false
	}
	c.refuse(now, w, refusal(w.group.queue.RefusalFor(now, &w.item, w.group.expected())))
	return true
}

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

// Core is the state machine behind a Dispatcher. It makes every decision from
// admission to the choice of a backend server. It takes the time as an argument
// and starts no goroutines, so that a simulation in virtual time runs the same
// code as the daemon. It is not safe for concurrent use; Manager adds the lock.
type Core struct {
	location      Location
	observer      *observer
	random        *rand.Rand
	site          *site.Site
	fleet         Fleet
	accountLoads  []entries.AccountLoad // of the accounts of site, built on first use
	snapshot      *backends.Snapshot    // of the last Update, nil before
	servers       map[string]*server
	hints         hints
	groups        map[groupKey]*group
	orderedGroups []*group // in order of creation, so that runs with one seed are reproducible
	accounts      map[string]*accountBucket
	// fleetVersion is incremented by every Update, which invalidates the cached
	// shares of the account limits.
	fleetVersion   uint64
	budgets        map[string]*budget.Budget // by service
	nextEvaluation time.Time
}

// Location identifies the VM, zone and region in which this daemon runs.
type Location struct {
	VM     string
	Zone   string
	Region string
}

// Sink receives the decision about a submitted request. The Core calls one of
// the methods once, unless the request is cancelled first, in the goroutine and
// under the lock of the caller whose call led to the decision.
type Sink interface {
	Granted(now time.Time, g *Lease)
	Refused(now time.Time, err *verdict.Error)
}

// Waiter is a submitted request, waiting or decided.
type Waiter struct {
	item    admit.Item
	request Request
	sink    Sink
	group   *group
	arrived time.Time
}

// groupKey identifies a set of backend servers that can run the same work.
type groupKey struct {
	pool string
	ref  engine.ModelRef
}

// group holds the queue and the candidates of one groupKey.
type group struct {
	key       groupKey
	queue     *admit.Queue
	table     *route.Table
	servers   []*server // in the order of the table
	peers     []*health.Server
	evaluator health.Evaluator
	slots     int
	// firstLoadEnd is the earliest time at which a server that is loading the
	// model becomes ready; loadingSlots is the number of slots that all such
	// servers will add.
	firstLoadEnd time.Time
	loadingSlots int
	waiters      map[*admit.Item]*Waiter
}

// defaultDeadline applies if neither the request nor the service has a deadline.
const defaultDeadline = 30 * time.Second

// defaultSlots applies to pools without a configured bound, mostly those of
// plain services.
const defaultSlots = 64

// noServerRetryAfter is the Retry-After of a refusal if no backend server is
// known and none is loading the model. A server that returns is seen within one
// or two status polls.
const noServerRetryAfter = 5 * time.Second

// NewCore returns a Core without backend servers; Update adds them. log and
// registerer may be nil.
func NewCore(location Location, log *event.Log, registerer prometheus.Registerer, seed uint64) *Core {
	return &Core{
		location: location, observer: newObserver(log, registerer),
		random:   rand.New(rand.NewPCG(seed, route.Mix(seed))),
		servers:  map[string]*server{},
		groups:   map[groupKey]*group{},
		accounts: map[string]*accountBucket{},
		budgets:  map[string]*budget.Budget{},
	}
}

func groupKeyOf(s *site.Service) groupKey {
	return groupKey{
		pool: s.Pool,
		ref:  engine.ModelRef{Model: s.Model, Adapter: s.Adapter, Version: s.Version},
	}
}

func classOf(request *Request) admit.Class {
	if request.Resume {
		return admit.Resumed
	}
	switch request.Service.Class {
	case site.ClassUrgent:
		return admit.Urgent
	case site.ClassLong:
		return admit.Long
	default:
		return admit.Normal
	}
}

// Submit decides whether a request starts, waits or is refused. The sink is
// called before Submit returns unless the request waits; a waiting request can
// be passed to Cancel or Expire.
func (c *Core) Submit(now time.Time, request Request, sink Sink) *Waiter {
	w := c.newWaiter(now, request, sink)
	if err := c.precheck(now, w); err != nil {
		c.refuse(now, w, err)
		return w
	}
	if w.request.Reattach {
		c.reattach(now, w)
		return w
	}
	d := c.offer(now, w)
	switch d.Action {
	case admit.Start:
		if c.tryStart(now, w) {
			w.group.queue.RecordStart(&w.item)
			return w
		}
		w.group.queue.Enqueue(&w.item)
		fallthrough
	case admit.Wait:
		w.group.waiters[&w.item] = w
		c.observer.recordQueued(w, d)
	case admit.Refuse:
		c.refuse(now, w, refusalError(d))
	}
	return w
}

func (c *Core) newWaiter(now time.Time, request Request, sink Sink) *Waiter {
	if request.Deadline.IsZero() {
		wait := request.Service.Deadline
		if wait <= 0 {
			wait = defaultDeadline
		}
		request.Deadline = now.Add(wait)
	}
	w := &Waiter{request: request, sink: sink, group: c.groupForRequest(now, groupKeyOf(request.Service)), arrived: now}
	w.item = admit.Item{
		Weight: 1, Class: classOf(&request), Cost: float64(max(request.CostTokens, 1)), Deadline: request.Deadline,
	}
	if request.Account != nil {
		w.item.Account = request.Account.Name
		w.item.Weight = request.Account.Share
	}
	return w
}

// offer offers the request to the queue. If no server has the model ready but one
// is loading it, offerWhileLoading decides instead.
func (c *Core) offer(now time.Time, w *Waiter) admit.Decision {
	g := w.group
	if g.slots == 0 && g.loadingSlots > 0 && now.Before(w.item.Deadline) {
		return c.offerWhileLoading(now, w)
	}
	return g.queue.Offer(now, &w.item, g.slots)
}

// tryStart picks a backend server and grants the lease. It returns false if no
// backend server has capacity.
func (c *Core) tryStart(now time.Time, w *Waiter) bool {
	q := route.Query{
		Prefix: w.request.PrefixHash, Cached: c.hints.holder(w.request.PrefixHash), Prefer: w.request.Prefer, Exclude: w.request.Exclude,
		Random: c.random.Uint64(), Urgent: w.item.Class <= admit.Urgent, Overshoot: w.request.Resume, AllZones: w.request.Resume,
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

func (c *Core) grant(now time.Time, w *Waiter, s *server, reason route.Reason) {
	s.load.InFlight++
	l := &Lease{
		core: c, group: w.group, server: s, item: &w.item, service: w.request.Service,
		reason: reason, started: now,
	}
	c.observer.recordDispatch(now, w, l)
	w.sink.Granted(now, l)
}

// reattach grants the preferred backend server regardless of its load, because
// the work already runs there.
func (c *Core) reattach(now time.Time, w *Waiter) {
	for _, s := range w.group.servers {
		if s.backend.ID == w.request.Prefer {
			c.grant(now, w, s, route.ReasonPreferred)
			w.group.queue.RecordStart(&w.item)
			return
		}
	}
	c.refuse(now, w, verdict.New(verdict.NotRun, verdict.CodeNoBackend, "the backend server is not in the pool any more"))
}

func (c *Core) refuse(now time.Time, w *Waiter, err *verdict.Error) {
	c.observer.recordRefusal(now, w, err)
	w.sink.Refused(now, err)
}

// Cancel removes a waiting request from its queue without calling the sink. It
// returns false if the request is no longer waiting.
func (c *Core) Cancel(w *Waiter) bool {
	if !w.item.IsWaiting() {
		return false
	}
	w.group.queue.Remove(&w.item)
	delete(w.group.waiters, &w.item)
	return true
}

// Expire refuses a waiting request whose deadline has passed. It returns false
// if the request is no longer waiting.
func (c *Core) Expire(now time.Time, w *Waiter) bool {
	if !c.Cancel(w) {
		return false
	}
	c.refuse(now, w, refusalError(w.group.queue.RefusalFor(now, &w.item, w.group.expectedSlots())))
	return true
}

// Package once runs calls to plain services that may not be repeated at most
// once, whichever entry VMs a caller sends them to and whatever fails.
//
// Every idempotency key belongs to a slot, and every slot to an owner and a
// witness (packages decision/slot and control/roster). The entry VM that a call
// reaches sends it to the owner. The owner records the key, has the witness
// record it, and only then dispatches the call. A copy of a known key waits for
// the outcome or is given it. Neither the store nor a lease is on this path, so
// calls go on in an outage of the store.
//
// When one of a pair is lost the other, or whoever takes over, first seals the
// slot at one of the old pair. That ends the old term without a clock: a paused
// owner can't get a new key bound, and the keys it had bound are known to the
// next owner, which never dispatches them.
package once

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/roster"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	pb "mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

// Deps are what a Service needs. All but VMs are required.
type Deps struct {
	Members  membership.Source
	Roster   *roster.Manager
	Site     site.Source
	Flow     flow.Dispatcher
	Caller   plain.Caller
	Dialer   *link.Dialer
	Log      *event.Log
	Registry prometheus.Registerer
	// VMs is the platform's list. It proves that a VM is gone for good; without
	// it only a restart of the same VM does.
	VMs vmlist.Source
}

// Request is one call of a caller to a plain service.
type Request struct {
	Account *site.Account
	Service *site.Service
	Key     string // the caller's idempotency key; may be empty for repeatable services
	Call    plain.Call
}

// Service is the entry side, the owner side and the witness side of one
// daemon. It is safe for concurrent use.
type Service struct {
	Deps
	self      slot.Member
	tables    [slot.Count]table
	seen      [slot.Count]atomic.Uint64 // newest refusal number heard of, by slot
	metrics   *metrics
	work      sync.WaitGroup // calls being worked on and reports on their way
	working   atomic.Int64
	leaving   atomic.Bool
	deaths    deaths
	silent    silent
	history   history
	postponed postponed
	refusals  refusals
	// The rest belongs to Run.
	idle   situation
	swept  int
	counts [slot.Count]int
}

// NewService returns a Service. Mount Handler on the listener for other
// daemons and call Run.
func NewService(d Deps) *Service {
	self := d.Members.Current().Self
	s := &Service{
		Deps:    d,
		self:    slot.Member{ID: self.ID, Incarnation: self.Incarnation, Zone: self.Zone, PeerAddr: self.PeerAddr},
		metrics: newMetrics(d.Registry),
	}
	for i := range s.tables {
		s.tables[i].records = make(map[slot.Key]*record)
	}
	d.Roster.OnViolation(func(subject, detail string) { s.violated("one_owner_per_term", subject, detail) })
	return s
}

// Handler returns the twirp handler for other daemons and its path prefix.
func (s *Service) Handler() (prefix string, h http.Handler) {
	server := pb.NewOnceServer(&peer{s})
	return server.PathPrefix(), server
}

// Handle runs one call and returns its answer. Errors are *verdict.Error:
// not_run when nothing was and nothing will be sent for the copies of the call
// seen so far, ran when the answer is no longer kept, else may_have_run.
func (s *Service) Handle(ctx context.Context, req Request) (plain.Response, error) {
	if req.Service.Idempotent {
		return s.repeatable(ctx, req)
	}
	if err := CheckKey(req.Key); err != nil {
		return plain.Response{}, err
	}
	e := newExecution(req)
	e.seen = s.seen[e.slot].Load()
	ctx, cancel := context.WithTimeout(ctx, callDeadline(req.Service))
	defer cancel()
	out := s.route(ctx, e)
	s.metrics.count(out)
	if out.err != nil {
		s.logFailure(e, out.err)
		return plain.Response{}, out.err
	}
	return *out.answer, nil
}

func (s *Service) logFailure(e execution, err *verdict.Error) {
	if err.Verdict == verdict.MayHaveRun {
		s.Log.Emit(event.CallUndecided, e.slot, e.account, e.service, err.Message)
	}
}

// execution is one copy of a call on its way to the owner of its slot.
type execution struct {
	slot    int
	key     slot.Key
	digest  digest
	account string
	service string
	call    plain.Call
	// seen is the newest refusal number known when the copy arrived here.
	seen uint64
}

func newExecution(req Request) execution {
	key := slot.KeyOf(req.Account.Name, req.Service.Name, req.Key)
	return execution{
		slot: slot.ForKey(key), key: key, digest: digestOf(req.Call),
		account: req.Account.Name, service: req.Service.Name, call: req.Call,
	}
}

func digestOf(c plain.Call) digest {
	h := sha256.New()
	h.Write([]byte(c.Method + " " + c.Path + "\n"))
	h.Write(c.Body)
	return digest(h.Sum(nil)[:len(digest{})])
}

// defaultDeadline applies where the site text gives a service none.
const defaultDeadline = 30 * time.Second

func callDeadline(service *site.Service) time.Duration {
	if service.Deadline > 0 {
		return service.Deadline
	}
	return defaultDeadline
}

func (s *Service) limits() site.Limits {
	if current := s.Site.Current(); current != nil {
		return current.Limits
	}
	return site.DefaultLimits()
}

// violated reports that an invariant does not hold.
func (s *Service) violated(invariant, subject, detail string) {
	s.metrics.violations.Inc()
	s.Log.Emit(event.InvariantViolated, invariant, subject, detail)
}

// background runs f and lets Leave wait for it.
func (s *Service) background(f func()) {
	s.working.Add(1)
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		defer s.working.Add(-1)
		f()
	}()
}

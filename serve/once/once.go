// Package once runs each call that may not be repeated at most once, whichever entry VMs the
// caller sends it to and whatever fails. Such calls go to plain services.
//
// Without it, a call runs several times if its caller retries after a timeout or sends copies
// to several entry VMs. Binding each key by a write to the store instead would exceed the
// store's write rate and stop these calls during an outage of the store.
//
// Every idempotency key belongs to a slot, and every slot has a pair of members: an owner and a
// witness (packages decision/slot and control/roster). The entry VM that a call reaches sends
// it to the owner. The owner records the key, has the witness record it, and only then
// dispatches the call. A copy of a known key waits for the outcome or receives it immediately.
// Neither the store nor a lease is on this path, so calls continue during an outage of the
// store.
//
// When one of the pair is lost, the other one or whichever member takes over first seals the
// slot at a member of the old pair. That ends the old term without relying on a clock: a paused
// owner can't get a new key bound, and the keys that it had bound are known to the next owner,
// which never dispatches them.
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

// Deps are the dependencies of a Service. All but VMs are required.
type Deps struct {
	Members  membership.Source
	Roster   *roster.Manager
	Site     site.Source
	Flow     flow.Dispatcher
	Caller   plain.Caller
	Dialer   *link.Dialer
	Log      *event.Log
	Registry prometheus.Registerer
	// VMs is the platform's list of VMs. It proves that a VM is permanently gone. Without it,
	// only a restart of the daemon on the same VM proves that its predecessor is dead.
	VMs vmlist.Source
}

// Request is a caller's call to a plain service.
type Request struct {
	Account *site.Account
	Service *site.Service
	Key     string // the caller's idempotency key; may be empty for repeatable services
	Call    plain.Call
}

// Service acts as entry VM, owner and witness for one daemon. It is safe for concurrent use.
type Service struct {
	Deps
	self          slot.Member
	tables        [slot.Count]table
	knownSeqs     [slot.Count]atomic.Uint64 // newest known sequence number, by slot
	metrics       *metrics
	inFlight      sync.WaitGroup // calls in progress and reports in flight
	inFlightCount atomic.Int64
	leaving       atomic.Bool
	deathProofs   deathProofs
	unresponsive  unresponsiveSet
	history       slotHistory
	backoff       moveBackoff
	refusedSlots  slotSet
	// The remaining fields belong to Run.
	idleInputs planInputs
	nextSweep  int
	keyCounts  [slot.Count]int
}

// NewService returns a Service. Mount Handler on the listener for other daemons and call Run.
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
	d.Roster.OnViolation(func(subject, detail string) { s.reportViolation("one_owner_per_term", subject, detail) })
	return s
}

// Handler returns the twirp handler for other daemons and its path prefix.
func (s *Service) Handler() (prefix string, h http.Handler) {
	server := pb.NewOnceServer(&peerServer{s})
	return server.PathPrefix(), server
}

// Handle runs one call and returns its answer. Errors are *verdict.Error: not_run if nothing
// was and nothing will be sent for the copies of the call seen so far, ran if the answer is no
// longer kept, else may_have_run.
func (s *Service) Handle(ctx context.Context, req Request) (plain.Response, error) {
	if req.Service.Idempotent {
		return s.handleRepeatable(ctx, req)
	}
	if err := CheckKey(req.Key); err != nil {
		return plain.Response{}, err
	}
	e := newExecuteRequest(req)
	e.knownSeq = s.knownSeqs[e.slot].Load()
	ctx, cancel := context.WithTimeout(ctx, callDeadline(req.Service))
	defer cancel()
	out := s.route(ctx, e)
	s.metrics.countCall(out)
	if out.err != nil {
		s.logFailure(e, out.err)
		return plain.Response{}, out.err
	}
	return *out.answer, nil
}

func (s *Service) logFailure(e executeRequest, err *verdict.Error) {
	if err.Verdict == verdict.MayHaveRun {
		s.Log.Emit(event.CallUndecided, e.slot, e.account, e.service, err.Message)
	}
}

// executeRequest is one copy of a call, addressed to the owner of its slot.
type executeRequest struct {
	slot    int
	key     slot.Key
	digest  digest
	account string
	service string
	call    plain.Call
	// knownSeq is the newest sequence number of the slot that the entry VM knew when the copy
	// arrived there.
	knownSeq uint64
}

func newExecuteRequest(req Request) executeRequest {
	key := slot.KeyOf(req.Account.Name, req.Service.Name, req.Key)
	return executeRequest{
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

// defaultDeadline applies to services for which the site text sets none.
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

// reportViolation reports that an invariant does not hold.
func (s *Service) reportViolation(invariant, subject, detail string) {
	s.metrics.violations.Inc()
	s.Log.Emit(event.InvariantViolated, invariant, subject, detail)
}

// background runs f in a goroutine for which Leave waits.
func (s *Service) background(f func()) {
	s.inFlightCount.Add(1)
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		defer s.inFlightCount.Add(-1)
		f()
	}()
}

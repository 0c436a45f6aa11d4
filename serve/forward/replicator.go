package forward

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

const (
	// replicaCheckInterval is how often a run checks whether its replica still exists. It is a
	// fraction of the seconds between the losses of two zones.
	replicaCheckInterval = 250 * time.Millisecond
	// replicaRefreshInterval is how often a replica made on demand is refreshed: a run that resumes
	// from it repeats at most one second's tokens, in 20 ms.
	replicaRefreshInterval = time.Second
	// copyTimeout bounds one copy operation: the KV cache of a prompt of 8,000 tokens takes about
	// 30 ms between zones, queued behind those of other runs.
	copyTimeout = 500 * time.Millisecond
	// dropTimeout bounds the call that frees a replica.
	dropTimeout = 500 * time.Millisecond
)

// replica is a standby copy of a run's KV cache at another engine.
type replica struct {
	at   choice // no server if there is no replica
	name string // identifies the replica at that engine
	// onDemand says that the replica was made on demand. A replica that grows with its run is sent
	// again to an engine that restarts; one made on demand is lost with the engine's incarnation.
	onDemand bool
}

// replicaName returns the name of a replica. For a replica that grows with its run, it consists of
// the address of the engine that keeps it and the request id; for one made on demand, of the
// address of the engine that ran the request and the handle.
func replicaName(s routing.Server, id string) string { return s.Address + "/" + id }

// replicator makes another replica of a run that has lost its first one.
//
// It guards against a double failure: the engine with the replica dies before the one that runs the
// request. Nobody notices until the second engine dies as well; then the prefill is repeated, which
// takes a second, and the caller's pause is too long. With engines lost every three seconds, half
// of all replicas were lost this way.
type replicator struct {
	r      *relay
	l      segment
	mover  RunCopier
	failed []routing.Incarnation // engines at which the request has failed before

	// The fields below are used by run alone.
	target     choice    // engine with the replica; initially the first one's
	onDemand   bool      // the replica at target was made on demand and needs refreshing
	nextCopyAt time.Time // time of the next copy, or of the next search for a target
	timeouts   int       // consecutive copies that timed out

	firstUsed atomic.Bool // the first replica was consumed by a resume
	remade    atomic.Pointer[replica]
	handle    atomic.Pointer[string] // frees the replica; nil if there is none
}

// newReplicator returns nil if the engines cannot copy a run on demand.
func (r *relay) newReplicator(l segment) *replicator {
	mover, ok := r.h.opts.Codec.(RunCopier)
	engine := r.h.opts.Feed.View().Config.Engine(r.service)
	if !ok || engine == nil || !engine.CanCopy || !r.in.route.Resumable {
		return nil
	}
	return &replicator{r: r, l: l, mover: mover, failed: slices.Clone(r.excluded), target: l.copyTo}
}

// run maintains the replica until the leg ends.
func (s *replicator) run(ctx context.Context) {
	tick := time.NewTicker(replicaCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.check(ctx, time.Now())
		}
	}
}

// check makes a replica if there is none and refreshes one made on demand.
func (s *replicator) check(ctx context.Context, now time.Time) {
	healthy := s.r.h.pool.isHealthy(now, s.r.h.opts.Feed.View(), s.target) && (s.onDemand || !s.firstUsed.Load())
	if healthy && !s.onDemand {
		return // the engine that runs the request maintains that replica
	}
	if !healthy {
		s.remade.Store(nil)
	}
	if now.Before(s.nextCopyAt) {
		return
	}
	s.nextCopyAt = now.Add(s.refreshInterval())
	if !healthy {
		target, ok := s.r.chooseReplicaEngine(ctx, s.l.target.server, s.failed)
		if !ok {
			return
		}
		s.target, s.onDemand = target, true
	}
	s.copyRun(ctx)
}

// refreshInterval returns the time between two copies: well before an engine frees an unused
// replica.
func (s *replicator) refreshInterval() time.Duration {
	engine := s.r.h.opts.Feed.View().Config.Engine(s.r.service)
	if engine == nil || engine.ReplicaTTL <= 0 {
		return replicaRefreshInterval
	}
	return min(replicaRefreshInterval, engine.ReplicaTTL/3)
}

// copyRun has the run's KV cache copied to the target.
func (s *replicator) copyRun(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	handle, err := s.requestCopy(ctx, s.target.server)
	if err != nil {
		s.recordCopyFailure(ctx, err)
		return
	}
	s.timeouts = 0
	if s.remade.Load() == nil {
		s.r.h.metrics.copiesRemade.Inc()
		s.r.h.opts.Log.Emit(event.CopyMade, s.r.in.call.ID, s.l.target.server.ID, s.target.server.ID)
	}
	s.handle.Store(&handle)
	s.remade.Store(&replica{at: s.target, name: replicaName(s.l.target.server, handle), onDemand: true})
}

// recordCopyFailure handles a failed copy. The previous replica still exists. One timeout may be
// due to this VM's link; after a second one in a row another target is chosen.
func (s *replicator) recordCopyFailure(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the leg has ended
	}
	s.r.h.opts.Log.Emit(event.CopyFailed, s.r.in.call.ID, s.l.target.server.ID, s.target.server.ID, err)
	if sent.IsTimeout(err) {
		if s.timeouts++; s.timeouts < maxFailedProbes {
			return
		}
	}
	s.target, s.timeouts = choice{}, 0 // chooses another target next time
}

func (s *replicator) requestCopy(ctx context.Context, target routing.Server) (string, error) {
	path, body, err := s.mover.CopyRequest(s.r.in.call.ID, target.Address)
	if err != nil {
		return "", err
	}
	answer, err := s.r.h.callServer(ctx, http.MethodPost, s.l.target.server, path, body)
	if err != nil {
		return "", err
	}
	return s.mover.ParseCopyReply(answer)
}

// free frees the replica of a finished run, which occupies a slot in the batch of its engine until
// then. If the engine that ran the request has restarted, the handle is unknown there or names
// another replica.
func (s *replicator) free() {
	handle := s.handle.Load()
	_, same := s.r.h.pool.findServer(s.r.h.opts.Feed.View(), s.r.service, s.l.target.server.Incarnation())
	if handle == nil || !same {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		_, err := s.r.h.callServer(ctx, http.MethodDelete, s.l.target.server, s.mover.DropPath(*handle), nil)
		if err != nil {
			// The engine frees the replica by itself some seconds later.
			s.r.h.opts.Log.Emit(event.CopyFailed, s.r.in.call.ID, s.l.target.server.ID, "", errors.Wrap(err, "drop"))
		}
	}()
}

// chooseReplicaEngine chooses an engine for a replica of a run executed at another engine. The
// engine must answer a probe, since the entry of a dead engine remains for seconds, and must have
// room: a replica takes as much memory as the run, and an engine that runs out of memory evicts
// runs. Under three times the usual load a replica is not worth that.
func (r *relay) chooseReplicaEngine(ctx context.Context, server routing.Server, failed []routing.Incarnation) (choice, bool) {
	full, excluded := r.enginesWithoutRoom(server.Incarnation()), slices.Clone(failed)
	for _, e := range full {
		excluded = append(excluded, e.incarnation)
	}
	round := r.h.newProbeRound()
	defer round.suspectSilent()
	for probed := range maxCopyProbes {
		c, ok := r.h.pool.chooseReplicaEngine(time.Now(), r.h.opts.Feed.View(), server, excluded)
		if !ok {
			if probed == 0 {
				r.recordNoEngine(full)
			}
			return choice{}, false
		}
		if !r.h.limits.isPaused(c.server) {
			report, err := round.probe(ctx, c.server, fastProbeTimeout)
			if err == nil && r.keepsCopy(c.server, r.h.loadOf(c.server, report)) {
				return c, true
			}
		}
		excluded = append(excluded, c.server.Incarnation())
	}
	return choice{}, false
}

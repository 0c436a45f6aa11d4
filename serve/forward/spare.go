package forward

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/telemetry/event"
)

const (
	// spareEvery is how often a run looks whether its copy still lies somewhere. It
	// is a fraction of the seconds between the losses of two zones.
	spareEvery = 250 * time.Millisecond
	// spareRefresh is how often a copy made on demand is brought up to date: going
	// on from it reads at most a second's tokens again, in 20 ms.
	spareRefresh = time.Second
	// spareTimeout bounds one copying: the memory of a prompt of 8,000 tokens takes
	// some 30 ms between zones, behind those of other runs.
	spareTimeout = 500 * time.Millisecond
	// dropTimeout bounds the call that frees a copy.
	dropTimeout = 500 * time.Millisecond
)

// replica is a copy of a run's memory.
type replica struct {
	at   choice // its server is zero if there is none
	name string // by which the engine there finds it
	// onDemand says that it was made on demand. Unlike one that grows with its run it is
	// not sent again to an engine that starts anew: it is lost with the life it lies at.
	onDemand bool
}

// replicaName is the name of a copy: of one that grows with its run the engine that
// keeps it and the request, of one made on demand the engine that ran the request
// and the handle.
func replicaName(s routing.Server, id string) string { return s.Address + "/" + id }

// replicator makes another copy of a run whose first copy is lost.
//
// The failure it answers: the engine that keeps the copy dies before the one that
// runs the request. Nothing is seen of it until the second dies too; then the
// prompt is read anew, for a second, and the caller's pause is too long. With a
// loss of some engines every three seconds half of all copies were lost so.
type replicator struct {
	r      *relay
	l      segment
	mover  RunCopier
	failed []routing.Incarnation // engines that the run's request failed at before

	// Used by run alone.
	target     choice    // where the copy lies, the first one to begin with
	madeHere   bool      // that copy was made here and is to be brought up to date
	nextCopyAt time.Time // of the next copying, or of the next search for a place
	timeouts   int       // copyings in a row that had no answer in time

	firstUsed atomic.Bool // the first copy was asked for
	remade    atomic.Pointer[replica]
	handle    atomic.Pointer[string] // frees the copy; nil if there is none
}

// newReplicator returns nil where engines cannot copy a run on demand.
func (r *relay) newReplicator(l segment) *replicator {
	mover, ok := r.h.opts.Codec.(RunCopier)
	engine := r.h.opts.Feed.View().Config.Engine(r.service)
	if !ok || engine == nil || !engine.CanCopy || !r.in.route.Resumable {
		return nil
	}
	return &replicator{r: r, l: l, mover: mover, failed: slices.Clone(r.excluded), target: l.copyTo}
}

// run looks after the copy until the leg ends.
func (s *replicator) run(ctx context.Context) {
	tick := time.NewTicker(spareEvery)
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

// check makes another copy where there is none, and brings one made here up to date.
func (s *replicator) check(ctx context.Context, now time.Time) {
	lives := s.r.h.pool.isHealthy(now, s.r.h.opts.Feed.View(), s.target) && (s.madeHere || !s.firstUsed.Load())
	if lives && !s.madeHere {
		return // the engine that runs the request keeps that copy itself
	}
	if !lives {
		s.remade.Store(nil)
	}
	if now.Before(s.nextCopyAt) {
		return
	}
	s.nextCopyAt = now.Add(s.refresh())
	if !lives {
		place, ok := s.r.chooseReplicaEngine(ctx, s.l.target.server, s.failed)
		if !ok {
			return
		}
		s.target, s.madeHere = place, true
	}
	s.copyRun(ctx)
}

// refresh is the time between two copyings: well before an unused copy is freed.
func (s *replicator) refresh() time.Duration {
	engine := s.r.h.opts.Feed.View().Config.Engine(s.r.service)
	if engine == nil || engine.ReplicaTTL <= 0 {
		return spareRefresh
	}
	return min(spareRefresh, engine.ReplicaTTL/3)
}

// copyRun has the run's memory copied to its place.
func (s *replicator) copyRun(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, spareTimeout)
	defer cancel()
	handle, err := s.move(ctx, s.target.server)
	if err != nil {
		s.notCopied(ctx, err)
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

// notCopied judges a copying that failed. The copy before still lies there; one call without
// an answer in time may be due to the link from here, a second one is due to an engine.
func (s *replicator) notCopied(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the leg has ended
	}
	s.r.h.opts.Log.Emit(event.CopyFailed, s.r.in.call.ID, s.l.target.server.ID, s.target.server.ID, err)
	if isTimeout(err) {
		if s.timeouts++; s.timeouts < maxFailedProbes {
			return
		}
	}
	s.target, s.timeouts = choice{}, 0 // another place next time
}

func (s *replicator) move(ctx context.Context, target routing.Server) (string, error) {
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

// free frees the copy of a run that has ended: it holds a place in the batch of
// its engine until then. An engine that has started anew since knows nothing of the
// handle, or another copy by it.
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
			// The engine frees it by itself some seconds later.
			s.r.h.opts.Log.Emit(event.CopyFailed, s.r.in.call.ID, s.l.target.server.ID, "", errors.Wrap(err, "drop"))
		}
	}()
}

// chooseReplicaEngine chooses an engine for a copy of a run at another, one that gives a
// sign of life, since the entry of an engine that died stays for seconds, and has
// room: a copy takes as much memory as the run, and where memory runs out an engine
// throws out runs. Under a load of three times the usual no copy is worth that.
func (r *relay) chooseReplicaEngine(ctx context.Context, at routing.Server, failed []routing.Incarnation) (choice, bool) {
	excluded := slices.Clone(failed)
	asked := r.h.newProbeRound()
	defer asked.suspectSilent()
	for range maxCopyProbes {
		c, ok := r.h.pool.chooseReplicaEngine(time.Now(), r.h.opts.Feed.View(), at, excluded)
		if !ok {
			return choice{}, false
		}
		report, err := asked.probe(ctx, c.server, fastProbeTimeout)
		if err == nil && report.loadReport().HasCapacity(r.in.call.PromptTokens) {
			return c, true
		}
		excluded = append(excluded, c.server.Incarnation())
	}
	return choice{}, false
}

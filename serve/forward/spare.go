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

// kept is a copy of a run's memory.
type kept struct {
	at   choice // its server is zero if there is none
	name string // by which the engine there finds it
}

// copyName is the name of the copy that an engine keeps while a run grows.
func copyName(s routing.Server, id string) string { return s.Address + "/" + id }

// spare makes another copy of a run whose first copy is lost.
//
// The failure it answers: the engine that keeps the copy dies before the one that
// runs the request. Nothing is seen of it until the second dies too; then the
// prompt is read anew, for a second, and the caller's pause is too long. With a
// loss of some engines every three seconds half of all copies were lost so.
type spare struct {
	r      *relay
	l      leg
	mover  Mover
	failed []string // engines that the run's request failed at before
	copied atomic.Pointer[kept]
	// handle frees the copy; "" if there is none.
	handle atomic.Pointer[string]
}

// newSpare returns nil where engines cannot copy a run on demand.
func (r *relay) newSpare(l leg) *spare {
	mover, ok := r.h.opts.Codec.(Mover)
	s := r.h.opts.Feed.View().Config.Service(r.service)
	if !ok || s == nil || s.Engine == nil || !s.Engine.Moves || !r.in.route.Resumable {
		return nil
	}
	return &spare{r: r, l: l, mover: mover, failed: slices.Clone(r.failed)}
}

// run looks after the copy until the leg ends.
func (s *spare) run(ctx context.Context) {
	tick := time.NewTicker(spareEvery)
	defer tick.Stop()
	place := s.l.copyTo
	var due time.Time   // of the next copying; zero while the first copy lies where it was
	var again time.Time // when another place is looked for, if there was none
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		lost := !s.r.h.pool.lives(now, s.r.h.opts.Feed.View(), place)
		if !lost && (due.IsZero() || now.Before(due)) {
			continue
		}
		if lost {
			s.copied.Store(nil)
			if now.Before(again) {
				continue
			}
			again = now.Add(spareRefresh)
			var ok bool
			if place, ok = s.r.copyPlace(ctx, s.l.at.server, s.failed); !ok {
				continue
			}
		}
		if s.copy(ctx, place) {
			due = now.Add(s.refresh())
		}
	}
}

// refresh is the time between two copyings: well before an unused copy is freed.
func (s *spare) refresh() time.Duration {
	service := s.r.h.opts.Feed.View().Config.Service(s.r.service)
	if service == nil || service.Engine == nil || service.Engine.CopyKept <= 0 {
		return spareRefresh
	}
	return min(spareRefresh, service.Engine.CopyKept/3)
}

// copy has the run's memory copied to place.
func (s *spare) copy(ctx context.Context, place choice) bool {
	ctx, cancel := context.WithTimeout(ctx, spareTimeout)
	defer cancel()
	handle, err := s.move(ctx, place.server)
	if err != nil {
		if ctx.Err() == nil {
			s.r.h.opts.Log.Emit(event.CopyFailed, s.r.in.call.ID, s.l.at.server.ID, place.server.ID, err)
		}
		return false
	}
	if s.copied.Load() == nil {
		s.r.h.metrics.remade.Inc()
		s.r.h.opts.Log.Emit(event.CopyMade, s.r.in.call.ID, s.l.at.server.ID, place.server.ID)
	}
	s.handle.Store(&handle)
	s.copied.Store(&kept{at: place, name: s.l.at.server.Address + "/" + handle})
	return true
}

func (s *spare) move(ctx context.Context, target routing.Server) (string, error) {
	path, body, err := s.mover.Move(s.r.in.call.ID, target.Address)
	if err != nil {
		return "", err
	}
	answer, err := s.r.h.command(ctx, http.MethodPost, s.l.at.server, path, body)
	if err != nil {
		return "", err
	}
	return s.mover.Moved(answer)
}

// drop frees the copy of a run that has ended: it holds a place in the batch of
// its engine until then.
func (s *spare) drop() {
	handle := s.handle.Load()
	if handle == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		_, err := s.r.h.command(ctx, http.MethodDelete, s.l.at.server, s.mover.Drop(*handle), nil)
		if err != nil {
			// The engine frees it by itself some seconds later.
			s.r.h.opts.Log.Emit(event.CopyFailed, s.r.in.call.ID, s.l.at.server.ID, "", errors.Wrap(err, "drop"))
		}
	}()
}

// copyPlace chooses an engine for a copy of a run at another, one that gives a
// sign of life, since the entry of an engine that died stays for seconds, and has
// room: a copy takes as much memory as the run, and where memory runs out an engine
// throws out runs. Under a load of three times the usual no copy is worth that.
func (r *relay) copyPlace(ctx context.Context, at routing.Server, failed []string) (choice, bool) {
	excluded := slices.Clone(failed)
	for range copyTries {
		c, ok := r.h.pool.copyPlace(time.Now(), r.h.opts.Feed.View(), at, excluded)
		if !ok {
			return choice{}, false
		}
		report, err := r.h.probe(ctx, c.server, copyProbe)
		if err == nil && report.load().Fits(r.in.call.PromptTokens) {
			return c, true
		}
		if err != nil {
			r.h.pool.failed(time.Now(), c.server.ID)
		}
		excluded = append(excluded, c.server.ID)
	}
	return choice{}, false
}

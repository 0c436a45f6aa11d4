package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/telemetry/event"
)

// drainPollInterval is the time between two checks whether a draining daemon's work has ended.
const drainPollInterval = 50 * time.Millisecond

// drainer performs a graceful shutdown, so that a planned stop does not cut off requests. Callers
// cache answers of /v1/entries for EntriesTTL and connect to the daemons in them. The daemon
// therefore first removes itself from new answers, goes on serving until all cached ones have
// expired, and only then refuses requests.
type drainer struct {
	d     *Daemon
	stage atomic.Int32
}

// The stages of a drain, in order.
const (
	stageServing int32 = iota
	stageLeaving       // removed from the answers of /v1/entries, still serving all requests
	stageRefusing
)

func (r *drainer) isLeaving() bool  { return r.stage.Load() >= stageLeaving }
func (r *drainer) isRefusing() bool { return r.stage.Load() >= stageRefusing }

// run drains until all work has ended, DrainLimit has passed or hard ends, and then hands over the
// generations that are still running.
func (r *drainer) run(hard context.Context) {
	limit := r.d.opts.Settings.DrainLimit
	ctx, cancel := context.WithTimeout(hard, limit)
	defer cancel()
	ttl := r.entriesTTL()
	r.d.log.Emit(event.DaemonDraining, r.d.generations.RunningCount(), ttl)
	r.stage.Store(stageLeaving)
	r.d.members.Leave()
	r.wait(ctx, ttl)
	r.stage.Store(stageRefusing)
	r.d.calls.handOverKeys(ctx)
	for ctx.Err() == nil && r.isBusy() {
		r.wait(ctx, drainPollInterval)
	}
	r.d.generations.HandOver(ctx)
	r.d.log.Emit(event.DaemonStopped, r.d.generations.RunningCount(), r.d.calls.activeCount())
}

func (r *drainer) wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *drainer) isBusy() bool {
	return r.d.generations.RunningCount() > 0 || r.d.calls.activeCount() > 0 || r.d.api.Active() > 0
}

// entriesTTL is the longest time for which a caller may cache an answer that contains this entry VM.
func (r *drainer) entriesTTL() time.Duration {
	if s := r.d.inforce.Current(); s != nil {
		return s.Limits.EntriesTTL
	}
	return site.DefaultLimits().EntriesTTL
}

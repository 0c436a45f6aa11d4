package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/telemetry/event"
)

// drainPoll is how often a draining daemon looks whether its work has ended.
const drainPoll = 50 * time.Millisecond

// drainer carries out a graceful shutdown. The failure it guards against is a
// planned stop that cuts requests: callers keep an answer of /v1/entries for a
// while and connect here for as long, so the daemon first leaves the answers,
// serves on until the longest kept answer has run out, and only then refuses.
type drainer struct {
	d     *Daemon
	stage atomic.Int32
}

// The stages of a drain, in order.
const (
	stageServing int32 = iota
	stageLeaving       // out of the address answers, still serving all
	stageRefusing
)

func (r *drainer) leaving() bool  { return r.stage.Load() >= stageLeaving }
func (r *drainer) refusing() bool { return r.stage.Load() >= stageRefusing }

// run drains until all work has ended, the limit is reached or hard ends.
func (r *drainer) run(hard context.Context) {
	limit := r.d.opts.Settings.DrainLimit
	ctx, cancel := context.WithTimeout(hard, limit)
	defer cancel()
	kept := r.keptAnswers()
	r.d.log.Emit(event.DaemonDraining, r.d.generations.RunningCount(), kept)
	r.stage.Store(stageLeaving)
	r.d.members.Leave()
	r.wait(ctx, kept)
	r.stage.Store(stageRefusing)
	r.d.calls.leave(ctx)
	for ctx.Err() == nil && r.busy() {
		r.wait(ctx, drainPoll)
	}
	r.d.generations.HandOver(ctx)
	r.d.log.Emit(event.DaemonStopped, r.d.generations.RunningCount(), r.d.calls.running())
}

func (r *drainer) wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *drainer) busy() bool {
	return r.d.generations.RunningCount() > 0 || r.d.calls.running() > 0 || r.d.api.Active() > 0
}

// keptAnswers is the longest time for which a caller may keep an answer that
// names this entry VM.
func (r *drainer) keptAnswers() time.Duration {
	if s := r.d.inforce.Current(); s != nil {
		return s.Limits.EntriesTTL
	}
	return site.DefaultLimits().EntriesTTL
}

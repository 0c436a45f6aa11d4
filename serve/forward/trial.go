package forward

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/rollout"
)

// minTrial is how many servers of a new version are tried at least: what one of them does may be
// its own fault.
const minTrial = 4

// roomy is how many more of them there are than would carry the load of an old one each: daemons
// know less of what the others have under way there.
const roomy = 1.5

// trialOf names the layout of those servers of a new version that get the requests drawn for it.
// The layout of the service has the others.
func trialOf(service string) string { return service + "\x00trial" }

// split returns the servers that may serve any request of their service, and those that get the
// requests drawn for a new version: so many that each carries about what one of the others does.
func split(servers []routing.Server, s rollout.State) (steady, trial []routing.Server) {
	for _, one := range servers {
		switch {
		case s.ServesByDefault(one.Version):
			steady = append(steady, one)
		case one.Version == s.Target && !one.Draining:
			trial = append(trial, one)
		}
	}
	n := max(minTrial, int(math.Ceil(roomy*s.Share*float64(len(steady)))))
	return steady, spread(trial, n)
}

// spread chooses n servers, the same at every daemon and of all zones by turns.
func spread(servers []routing.Server, n int) []routing.Server {
	type ranked struct {
		server     routing.Server
		hash, turn uint64
	}
	list := make([]ranked, len(servers))
	for i, s := range servers {
		list[i] = ranked{server: s, hash: xxhash.Sum64String(s.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	turns := map[string]uint64{}
	for i := range list {
		zone := list[i].server.Zone
		list[i].turn = turns[zone]
		turns[zone]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	chosen := make([]routing.Server, 0, n)
	for _, one := range list[:min(n, len(list))] {
		chosen = append(chosen, one.server)
	}
	slices.SortFunc(chosen, func(a, b routing.Server) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// reasonNew is the reason of a choice that was drawn for a new version.
const reasonNew = "new_version"

// chooseCanary chooses a server of the new version for a call that is drawn for it; ok is false where
// it goes to the others.
func (h *Handler) chooseCanary(ctx context.Context, view *feed.View, service, route string) (choice, bool) {
	now := time.Now()
	if !h.versions.Drawn(view, service, route) {
		return choice{}, false
	}
	c, ok := h.pool.choosePlain(now, view, trialOf(service), nil)
	if !ok {
		return c, false
	}
	if h.pool.isSuspect(now, c.server.Incarnation()) || !h.limits.acquire(ctx, c.server) {
		h.pool.release(c)
		return choice{}, false
	}
	c.reason = reasonNew
	return c, true
}

// placeCanary chooses the engine of the new version for a prompt that is drawn for it, and counts
// the prompt there; ok is false where it goes to the others.
func (r *relay) placeCanary(ctx context.Context, view *feed.View) (choice, bool) {
	if r.starts > 0 || r.in.call.LastEventID > 0 || !r.h.versions.Drawn(view, r.service, r.in.routeName()) {
		return choice{}, false
	}
	list := r.h.pool.prefillCandidates(time.Now(), view, trialOf(r.service), r.in.call.PromptKey, SampleSize, nil)
	asked := r.h.newProbeRound()
	defer asked.suspectSilent()
	best, ok := r.leastLoaded(asked.sampleLoads(ctx, list, 0))
	if !ok || !best.report.CanPrefillNow(r.in.call.PromptTokens) || !r.tryAcquirePermit(ctx, best.choice) {
		return choice{}, false
	}
	if admission, _ := r.admission(best); admission != prompts.Admitted {
		return choice{}, false
	}
	best.reason = reasonNew
	r.h.pool.addLoad(best.choice, 1, 0, 0)
	return best.choice, true
}

// staysFor reports whether a server that gets no requests any more still serves for a while,
// because answers under way at its version end there.
func (p *pool) staysFor(view *feed.View, s routing.Server) bool {
	state := p.versions.Now(view).Of(s.Service)
	return state.Stage == rollout.Full && s.Version == state.Baseline &&
		slices.ContainsFunc(view.Servers[s.Service], func(there routing.Server) bool {
			return there.Incarnation() == s.Incarnation() && !there.Draining
		})
}

// runningAtOldVersions is how many requests of this daemon are under way at servers of a service that have
// another version than the target.
func (p *pool) runningAtOldVersions(service string, s rollout.State) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return 0
	}
	for _, server := range p.view.Servers[service] {
		if one := p.loads[p.currentIncarnation(server.Incarnation())]; one != nil && server.Version != s.Target {
			n += int(one.calls.InFlight) + one.prefilling + one.running
		}
	}
	return n
}

// currentIncarnation is the life that has followed one of the view, or that life. The caller holds the lock.
func (p *pool) currentIncarnation(life routing.Incarnation) routing.Incarnation {
	if next, ok := p.successors[life]; ok {
		return next
	}
	return life
}

// trialOutcome is what an exchange shows of its server; ok is false where it shows nothing.
func (o *outcome) trialOutcome(ctx context.Context) (result rollout.Outcome, ok bool) {
	switch {
	case ctx.Err() != nil && o.err != nil:
		return rollout.Unanswered, true // another server was faster, or the caller left
	case o.rejected && !o.full:
		return rollout.Succeeded, false // another process has the address
	case o.full, o.err == nil && o.status >= 500:
		return rollout.Failed, true
	case o.err != nil:
		return rollout.Disconnected, true
	}
	return rollout.Succeeded, true
}

// paceAfter is how many events of a stream show its pace.
const paceAfter = 24

// startTrial begins to watch a leg for a comparison of versions: one that makes an answer from its
// beginning.
func (a *attempt) startTrial(l segment, route string) {
	if l.resumeFrom == "" && a.r.in.call.LastEventID == 0 && a.r.lastEventID == 0 {
		a.trial = a.r.h.versions.Try(l.target.server, route, rollout.TimeToFirstEvent)
	}
}

// recordFirstEvent records the time to the first event, and begins to watch what follows.
func (a *attempt) recordFirstEvent() {
	whole := a.trial.Also(rollout.ResponseTime)
	a.trial.Done(rollout.Succeeded)
	a.trial, a.pace = whole, whole.Also(rollout.EventInterval)
}

// recordNextEvent records the pace of a stream once it has made enough events.
func (a *attempt) recordNextEvent() {
	if a.eventCount++; a.eventCount == paceAfter {
		a.pace.DoneIn(rollout.Succeeded, time.Since(a.firstEventAt)/paceAfter)
	}
}

// recordEnd records how the attempt ended.
func (a *attempt) recordEnd(end segmentEnd, failed bool) {
	switch {
	case end == segmentComplete:
		a.trial.Done(rollout.Succeeded)
	case failed, end == segmentNotRun && a.response != nil && a.response.StatusCode == http.StatusServiceUnavailable:
		a.trial.Done(rollout.Failed)
	case end == segmentBroken && a.r.replacement == nil:
		a.trial.Done(rollout.Disconnected)
	default:
		a.trial.Done(rollout.Unanswered)
	}
	a.pace.Drop()
}

// migrationRetryInterval is the time between two attempts to let an answer go on at another version.
const migrationRetryInterval = 150 * time.Millisecond

// migrate lets an answer go on from its copy, because the version of its server leaves, and reports
// whether it does. The connection is closed first: both servers would run the request otherwise.
func (r *relay) migrate(ctx context.Context, a *attempt) bool {
	if a.prefilling || !r.canResume() || r.starts >= maxStarts {
		return false
	}
	c, held, ok := r.livingHolder(ctx, a)
	view := r.h.opts.Feed.View()
	if !ok || !r.h.versions.Now(view).Of(r.service).ServesByDefault(c.server.Version) || !r.tryAcquirePermit(ctx, c) || !r.tryAcquireRetry(ctx, time.Now()) {
		return false
	}
	r.h.pool.addLoad(c, 1, 0, 0)
	l := r.withCopyTarget(ctx, segment{target: c, resumeFrom: held.name})
	r.heldCopy = replica{}
	a.cancel()
	r.replacement = r.start(ctx, l)
	return true
}

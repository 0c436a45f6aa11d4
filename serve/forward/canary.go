package forward

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/external/sent"
)

// minCanaryServers is the minimum number of servers of a new version that get canary requests: the
// failures of a single server may be its own fault.
const minCanaryServers = 4

// canaryHeadroomRatio enlarges the set of canary servers beyond the size at which each would carry
// the load of a server of the old version, since daemons know less of each other's work there.
const canaryHeadroomRatio = 1.5

// canaryKey returns the key of the server set that gets a service's canary requests. The service's
// own set holds the other servers.
func canaryKey(service string) string { return service + canarySuffix }

const canarySuffix = "\x00canary"

// splitByVersion separates the servers that may serve any request of their service from those that
// get the canary requests. There are as many of the latter as give each about the load of one of
// the others.
func splitByVersion(servers []routing.Server, s rollout.State) (steady, canaries []routing.Server) {
	for _, server := range servers {
		switch {
		case s.ServesByDefault(server.Version):
			steady = append(steady, server)
		case server.Version == s.Target && !server.Draining:
			canaries = append(canaries, server)
		}
	}
	n := max(minCanaryServers, int(math.Ceil(canaryHeadroomRatio*s.Share*float64(len(steady)))))
	return steady, spreadAcrossZones(canaries, n)
}

// spreadAcrossZones chooses up to n servers, taking the zones in turn. Every daemon chooses the
// same ones.
func spreadAcrossZones(servers []routing.Server, n int) []routing.Server {
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
	for _, s := range list[:min(n, len(list))] {
		chosen = append(chosen, s.server)
	}
	slices.SortFunc(chosen, func(a, b routing.Server) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// reasonNewVersion is the reason of a choice made for a canary request.
const reasonNewVersion = "new_version"

// chooseCanary chooses a server of the new version for a call drawn as a canary; ok is false if the
// call goes to the other servers.
func (h *Handler) chooseCanary(ctx context.Context, view *feed.View, service, route string) (choice, bool) {
	now := time.Now()
	if !h.versions.RoutesToTarget(view, service, route) {
		return choice{}, false
	}
	c, ok := h.pool.choosePlain(now, view, canaryKey(service), nil)
	if !ok {
		return c, false
	}
	if h.pool.isSuspect(now, c.server.Incarnation()) || !h.limits.acquire(ctx, c.server) {
		h.pool.release(c)
		return choice{}, false
	}
	c.reason = reasonNewVersion
	return c, true
}

// placeCanary chooses an engine of the new version for a prompt drawn as a canary, and counts the
// prompt there; ok is false if the prompt goes to the other engines.
func (r *relay) placeCanary(ctx context.Context, view *feed.View) (choice, bool) {
	if r.starts > 0 || r.in.call.LastEventID > 0 || !r.h.versions.RoutesToTarget(view, r.service, r.in.routeName()) {
		return choice{}, false
	}
	list := r.h.pool.prefillCandidates(time.Now(), view, canaryKey(r.service), r.in.call.PromptKey, SampleSize, nil)
	round := r.h.newProbeRound()
	defer round.suspectSilent()
	best, ok := r.leastLoaded(round.sampleLoads(ctx, list, 0))
	if !ok || !best.report.CanPrefillNow(r.in.call.PromptTokens) || !r.tryAcquirePermit(ctx, best.choice) {
		return choice{}, false
	}
	if admission, _ := r.admission(best); admission != prompts.Admitted {
		return choice{}, false
	}
	best.reason = reasonNewVersion
	r.h.pool.addLoad(best.choice, 1, 0, 0)
	return best.choice, true
}

// isFinishingRuns reports whether a server that gets no new requests still serves for a while,
// because answers in progress finish at its version.
func (p *pool) isFinishingRuns(view *feed.View, s routing.Server) bool {
	state := p.versions.Snapshot(view).State(s.Service)
	current, listed := view.Server(s.ID)
	return state.Stage == rollout.Full && s.Version == state.Baseline &&
		listed && current.Incarnation() == s.Incarnation() && !current.Draining
}

// runningAtOldVersions returns how many requests of this daemon are in progress at servers of other
// versions than the target.
func (p *pool) runningAtOldVersions(service string, s rollout.State) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.view == nil {
		return 0
	}
	for server := range p.view.Servers[service].All() {
		if load := p.loads[p.currentIncarnation(server.Incarnation())]; load != nil && server.Version != s.Target {
			n += int(load.calls.InFlight) + load.prefilling + load.running
		}
	}
	return n
}

// currentIncarnation returns the successor of an incarnation listed in the view, or that
// incarnation itself. The caller holds the lock.
func (p *pool) currentIncarnation(incarnation routing.Incarnation) routing.Incarnation {
	if next, ok := p.successors[incarnation]; ok {
		return next
	}
	return incarnation
}

// maxCheckedServers is how many servers are asked for a connection to tell whether any server of a
// version is left.
const maxCheckedServers = 3

// acceptsAny reports whether one of a few servers, chosen at random, accepts a connection.
func (h *Handler) acceptsAny(servers []routing.Server) bool {
	chosen := rand.Perm(len(servers))
	chosen = chosen[:min(maxCheckedServers, len(chosen))]
	states := make(chan sent.ServerState, len(chosen))
	for _, i := range chosen {
		go func() { states <- h.serverStateAt(servers[i].Address) }()
	}
	for range chosen {
		if <-states == sent.ServerRuns {
			return true
		}
	}
	return false
}

// trialOutcome returns what an exchange shows of its server's version; ok is false if it shows
// nothing.
func (o *outcome) trialOutcome(ctx context.Context) (result rollout.Outcome, ok bool) {
	switch {
	case ctx.Err() != nil && o.err != nil:
		return rollout.Unanswered, true // another server was faster, or the caller left
	case o.rejected && !o.full:
		return rollout.Succeeded, false // another process has the address
	case o.err != nil && o.notRun && sent.IsTimeout(o.err):
		return rollout.Succeeded, false // a sound server may be silent, and this one was sent nothing
	case o.reply.RetryAfter != "":
		return rollout.Succeeded, false // what a server can carry now says nothing of its version
	case o.full, o.err == nil && o.status >= 500:
		return rollout.Failed, true
	case o.err != nil:
		return rollout.Disconnected, true
	}
	return rollout.Succeeded, true
}

// paceEventCount is the number of events after which the pace of a stream is recorded.
const paceEventCount = 24

// startTrial starts a comparison sample for a leg that produces an answer from its beginning.
func (a *attempt) startTrial(l segment, route string) {
	if l.resumeFrom == "" && a.r.in.call.LastEventID == 0 && a.r.lastEventID == 0 {
		a.trial = a.r.h.versions.StartTrial(l.target.server, route, rollout.TimeToFirstEvent)
	}
}

// recordFirstEvent records the time to the first event and starts the samples for the rest of the
// answer.
func (a *attempt) recordFirstEvent() {
	whole := a.trial.ForKind(rollout.ResponseTime)
	a.trial.Done(rollout.Succeeded)
	a.trial, a.pace = whole, whole.ForPace(paceEventCount)
}

// recordNextEvent records the pace of a stream after enough events.
func (a *attempt) recordNextEvent() {
	if a.eventCount++; a.eventCount == paceEventCount {
		a.pace.Done(rollout.Succeeded)
	}
}

// recordEnd records how the attempt ended.
func (a *attempt) recordEnd(end segmentEnd, failed bool) {
	switch {
	case end == segmentComplete:
		a.trial.Done(rollout.Succeeded)
	case end == segmentNotRun && a.reply.RetryAfter != "":
		a.trial.Discard()
	case failed, end == segmentNotRun && a.response != nil && a.response.StatusCode == http.StatusServiceUnavailable:
		a.trial.Done(rollout.Failed)
	case end == segmentBroken && a.r.replacement == nil:
		a.trial.Done(rollout.Disconnected)
	default:
		a.trial.Done(rollout.Unanswered)
	}
	a.pace.Discard()
}

// migrationRetryInterval is the time between two attempts to migrate an answer to another version.
const migrationRetryInterval = 150 * time.Millisecond

// migrate resumes an answer from its replica because the version of its server leaves, and reports
// whether it does. It closes the old connection first, so that the request does not run at both
// servers.
func (r *relay) migrate(ctx context.Context, a *attempt) bool {
	if a.prefilling || !r.canResume() || r.starts >= maxStarts {
		return false
	}
	c, held, ok := r.liveReplica(ctx, a)
	view := r.h.opts.Feed.View()
	if !ok || !r.h.versions.Snapshot(view).State(r.service).ServesByDefault(c.server.Version) || !r.tryAcquirePermit(ctx, c) || !r.tryAcquireRetry(ctx, time.Now()) {
		return false
	}
	r.h.pool.addLoad(c, 1, 0, 0)
	l := r.withCopyTarget(ctx, segment{target: c, resumeFrom: held.name})
	l, stays := r.stopBeforeResume(ctx, a, l)
	if stays {
		r.releaseLeg(l)
		r.retryTaken = true
		return false
	}
	r.heldCopy = replica{}
	a.cancel()
	r.replacement = r.start(ctx, l)
	return true
}

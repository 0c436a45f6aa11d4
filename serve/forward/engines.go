package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
)

func (p *pool) engineStates(now time.Time, l *serverSet, exclude []routing.Incarnation) []prompts.Engine {
	engines := make([]prompts.Engine, len(l.servers))
	for i, s := range l.servers {
		load := l.loads[i]
		engines[i] = prompts.Engine{
			Zone: s.Zone, Preferred: l.preferred[i], Prefilling: load.prefilling, Running: load.running, Copies: load.replicas,
			Suspect: load.isSuspect(now), Excluded: slices.Contains(exclude, s.Incarnation()),
		}
	}
	if p.paces != nil {
		p.paces.rate(now, l, engines)
	}
	return engines
}

// prefillCandidates returns up to n engines that may prefill a prompt, the best first. part
// identifies the portion of the prompt that no other request shares; "" stands for any prompt.
func (p *pool) prefillCandidates(now time.Time, view *feed.View, service, part string, n int, exclude []routing.Incarnation) []choice {
	var list []choice
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		engines := p.engineStates(now, l, exclude)
		for i, preferred := range l.preferredFor(part) {
			engines[i].Preferred = preferred
		}
		for _, c := range p.rankPermitted(now, l, engines, n, false) {
			candidate, _ := l.choiceAt(c.Index, string(c.Reason))
			list = append(list, candidate)
		}
		return choice{}, false
	})
	return list
}

// reservePrefill chooses the best engine to prefill a prompt, given the work of all other daemons
// in others, and also returns how many prefills are known there. It counts the prompt at that
// engine at once, so that a peer that asks in the next moment learns of it. If onlyOthers is set,
// only the engines in others are known, and the choice is limited to them.
func (p *pool) reservePrefill(now time.Time, view *feed.View, service string, others workloads, onlyOthers bool, exclude []routing.Incarnation) (c choice, unread int, ok bool) {
	c, ok = p.choose(view, service, func(l *serverSet) (choice, bool) {
		engines := p.engineStates(now, l, exclude)
		for i, s := range l.servers {
			theirs, known := others[s.Incarnation()]
			engines[i].Prefilling += theirs.prefilling
			engines[i].Running += theirs.running
			engines[i].Excluded = engines[i].Excluded || onlyOthers && !known
		}
		for _, best := range p.rankPermitted(now, l, engines, 1, true) {
			unread = engines[best.Index].Prefilling
			l.loads[best.Index].prefilling++
			return l.choiceAt(best.Index, string(best.Reason))
		}
		return choice{}, false
	})
	if ok {
		p.onWorkChanged(c.server)
	}
	return c, unread, ok
}

// rankPermitted returns up to n engines that may prefill a prompt, the best first. It leaves out
// engines for which no permit may be requested yet because of their rate limit, and brittle ones of
// which this daemon's part is in use.
func (p *pool) rankPermitted(now time.Time, l *serverSet, engines []prompts.Engine, n int, known bool) []prompts.Choice {
	for {
		list := prompts.ChoosePrefillEngines(engines, n, known, rand.Uint64())
		limited := false
		for _, c := range list {
			if !p.limits.acceptsNow(now, l.servers[c.Index]) || !p.hasRoom(now, l, c.Index) {
				engines[c.Index].Excluded, limited = true, true
			}
		}
		if !limited {
			return list
		}
	}
}

// placementWindow returns the engines among which a prompt is placed; a random window if its part
// is unknown.
func (p *pool) placementWindow(view *feed.View, service, part string) (servers []routing.Server) {
	prompt := rand.Uint64()
	if part != "" {
		prompt = xxhash.Sum64String(part)
	}
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		servers = l.serversAt(prompts.PlacementCandidates(prompt, l.seats))
		return choice{}, false
	})
	return servers
}

// workReport returns this daemon's work at one server and for how long it suspects the server.
func (p *pool) workReport(now time.Time, incarnation routing.Incarnation) prompts.DaemonLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.loads[incarnation]
	if load == nil {
		return prompts.DaemonLoad{}
	}
	return prompts.DaemonLoad{Prefilling: load.prefilling, Running: load.running, SuspectFor: max(0, load.suspectUntil.Sub(now))}
}

// localWork returns this daemon's work at the engines of a service.
func (p *pool) localWork(view *feed.View, service string) workloads {
	work := workloads{}
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		for i, s := range l.servers {
			if load := l.loads[i]; load.prefilling > 0 || load.running > 0 {
				work[s.Incarnation()] = workload{prefilling: load.prefilling, running: load.running}
			}
		}
		return choice{}, false
	})
	return work
}

// prefillCount returns how many of this daemon's prompts a server is prefilling.
func (p *pool) prefillCount(c choice) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.load.prefilling
}

// chooseReplicaEngine chooses the engine that keeps the replica of a run executed at another
// engine.
func (p *pool) chooseReplicaEngine(now time.Time, view *feed.View, server routing.Server, exclude []routing.Incarnation) (choice, bool) {
	return p.choose(view, server.Service, func(l *serverSet) (choice, bool) {
		engines := p.engineStates(now, l, append(slices.Clone(exclude), server.Incarnation()))
		return l.choiceAt(prompts.ChooseCopyEngine(engines, server.Zone, rand.Uint64()), "")
	})
}

// serverAt returns the server that currently has an address.
func (p *pool) serverAt(view *feed.View, service, address string) (choice, bool) {
	return p.choose(view, service, func(l *serverSet) (choice, bool) {
		i := slices.IndexFunc(l.servers, func(s routing.Server) bool { return s.Address == address })
		return l.choiceAt(i, "holds_copy")
	})
}

// cacheScanTargets returns the engines to scan for a prompt; windowed is false if it may be cached
// at any engine of the service.
func (p *pool) cacheScanTargets(view *feed.View, service, part string) (servers []routing.Server, windowed bool) {
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		if windowed = usesWindows(len(l.servers)); !windowed {
			return choice{}, false
		}
		servers = l.serversAt(prompts.LookupCandidates(xxhash.Sum64String(part), l.seats))
		return choice{}, false
	})
	return servers, windowed
}

// findServer returns the server with an incarnation, if that is still the current one.
func (p *pool) findServer(view *feed.View, service string, incarnation routing.Incarnation) (choice, bool) {
	return p.choose(view, service, func(l *serverSet) (choice, bool) {
		return l.choiceAt(l.indexOf(incarnation), "holds_prompt")
	})
}

// isHealthy reports whether a server may still be used: it is the same incarnation, is neither
// leaving nor gone, and is not suspect. A zero choice is not healthy.
func (p *pool) isHealthy(now time.Time, view *feed.View, c choice) bool {
	if c.load == nil || p.isSuspect(now, c.server.Incarnation()) {
		return false
	}
	_, ok := p.findServer(view, c.server.Service, c.server.Incarnation())
	return ok || p.isFinishingRuns(view, c.server)
}

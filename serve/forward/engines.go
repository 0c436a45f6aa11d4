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
		one := l.loads[i]
		engines[i] = prompts.Engine{
			Zone: s.Zone, Preferred: l.home[i], Prefilling: one.prefilling, Running: one.running, Copies: one.replicas,
			Suspect: one.isSuspect(now), Excluded: slices.Contains(exclude, s.Incarnation()),
		}
	}
	return engines
}

// prefillCandidates returns the engines that may read a prompt, the best first and n at most. part
// is the prompt's own part; "" stands for any prompt.
func (p *pool) prefillCandidates(now time.Time, view *feed.View, service, part string, n int, exclude []routing.Incarnation) []choice {
	var list []choice
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		engines := p.engineStates(now, l, exclude)
		for i, home := range l.homesOf(part) {
			engines[i].Preferred = home
		}
		for _, c := range p.readOpen(now, l, engines, n, false) {
			one, _ := l.choiceAt(c.Index, string(c.Reason))
			list = append(list, one)
		}
		return choice{}, false
	})
	return list
}

// reservePrefill returns the engine that is the first to read a prompt where others is what all
// other daemons have under way, with the prompts known to be read there, and counts the
// prompt there at once: a daemon that asks in the next moment must know of it. among is
// true where only the engines in others are known, and chosen from.
func (p *pool) reservePrefill(now time.Time, view *feed.View, service string, others workloads, among bool, exclude []routing.Incarnation) (c choice, unread int, ok bool) {
	c, ok = p.choose(view, service, func(l *serverSet) (choice, bool) {
		engines := p.engineStates(now, l, exclude)
		for i, s := range l.servers {
			theirs, known := others[s.Incarnation()]
			engines[i].Prefilling += theirs.prefilling
			engines[i].Running += theirs.running
			engines[i].Excluded = engines[i].Excluded || among && !known
		}
		for _, best := range p.readOpen(now, l, engines, 1, true) {
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

// readOpen returns the engines that may read a prompt, the best first and n at most, without
// those that may not be sent to now by the limits that they name.
func (p *pool) readOpen(now time.Time, l *serverSet, engines []prompts.Engine, n int, known bool) []prompts.Choice {
	for {
		list := prompts.ChoosePrefillEngines(engines, n, known, rand.Uint64())
		closed := false
		for _, c := range list {
			if !p.limits.canRequestPermit(now, l.servers[c.Index]) {
				engines[c.Index].Excluded, closed = true, true
			}
		}
		if !closed {
			return list
		}
	}
}

// window returns the engines among which a prompt is placed; any for one of no known part.
func (p *pool) window(view *feed.View, service, part string) (servers []routing.Server) {
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

// workReport is what this daemon has under way at one server, and for how long it suspects it.
func (p *pool) workReport(now time.Time, life routing.Incarnation) prompts.DaemonLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.loads[life]
	if one == nil {
		return prompts.DaemonLoad{}
	}
	return prompts.DaemonLoad{Prefilling: one.prefilling, Running: one.running, SuspectFor: max(0, one.suspectUntil.Sub(now))}
}

// localWork is what this daemon has under way at the engines of a service.
func (p *pool) localWork(view *feed.View, service string) workloads {
	at := workloads{}
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		for i, s := range l.servers {
			if one := l.loads[i]; one.prefilling > 0 || one.running > 0 {
				at[s.Incarnation()] = workload{prefilling: one.prefilling, running: one.running}
			}
		}
		return choice{}, false
	})
	return at
}

// prefillCount is how many prompts of this daemon a server reads.
func (p *pool) prefillCount(c choice) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.load.prefilling
}

// chooseReplicaEngine chooses the engine that keeps a copy of a run at another.
func (p *pool) chooseReplicaEngine(now time.Time, view *feed.View, at routing.Server, exclude []routing.Incarnation) (choice, bool) {
	return p.choose(view, at.Service, func(l *serverSet) (choice, bool) {
		engines := p.engineStates(now, l, append(slices.Clone(exclude), at.Incarnation()))
		return l.choiceAt(prompts.ChooseCopyEngine(engines, at.Zone, rand.Uint64()), "")
	})
}

// serverAt returns the server that has an address now.
func (p *pool) serverAt(view *feed.View, service, address string) (choice, bool) {
	return p.choose(view, service, func(l *serverSet) (choice, bool) {
		i := slices.IndexFunc(l.servers, func(s routing.Server) bool { return s.Address == address })
		return l.choiceAt(i, "holds_copy")
	})
}

// mayHold returns the engines of which one holds a prompt, if any does; few is false
// where that may be any engine of the service.
func (p *pool) mayHold(view *feed.View, service, part string) (servers []routing.Server, few bool) {
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		if few = windowed(len(l.servers)); !few {
			return choice{}, false
		}
		servers = l.serversAt(prompts.LookupCandidates(xxhash.Sum64String(part), l.seats))
		return choice{}, false
	})
	return servers, few
}

// findServer returns a server whose life has not ended.
func (p *pool) findServer(view *feed.View, service string, life routing.Incarnation) (choice, bool) {
	return p.choose(view, service, func(l *serverSet) (choice, bool) {
		return l.choiceAt(l.indexOf(life), "holds_prompt")
	})
}

// isHealthy reports whether a server is still the one it was: neither leaving or gone
// nor started anew or replaced at its address, and not suspect. A zero choice does
// not live.
func (p *pool) isHealthy(now time.Time, view *feed.View, c choice) bool {
	if c.load == nil || p.isSuspect(now, c.server.Incarnation()) {
		return false
	}
	_, ok := p.findServer(view, c.server.Service, c.server.Incarnation())
	return ok || p.staysFor(view, c.server)
}

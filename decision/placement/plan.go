package placement

// Plan returns the next step by the rules in the package comment.
func Plan(in Input) Step {
	z := newZoneState(in)
	firstWait := Step{}
	for _, s := range z.services {
		step := z.addReplica(s)
		switch step.Kind {
		case Load, Unload:
			return step
		case Wait:
			if firstWait.Kind == None {
				firstWait = step
			}
		}
	}
	for i := len(z.services) - 1; i >= 0; i-- {
		if step := z.removeReplica(z.services[i]); step.Kind == Unload {
			return step
		}
	}
	if firstWait.Kind == Wait {
		return firstWait
	}
	if step := z.removeUnwanted(); step.Kind == Unload {
		return step
	}
	return Step{Kind: None, Reason: ReasonConverged}
}

// addReplica returns the step towards one more replica of s, Wait with the reason if none is
// possible now, or None if all replicas are ready.
func (z *zoneState) addReplica(s *Service) Step {
	c := z.counts[s.Name]
	if c.missing(s) <= 0 {
		if c.pending > 0 && c.ready < s.Replicas {
			return waitStep(s, ReasonReplicaPending)
		}
		return Step{}
	}
	if !z.dependenciesServe(s) {
		return waitStep(s, ReasonDependency)
	}
	best, rank := z.chooseEngine(s)
	switch {
	case best == nil:
		return z.freeCapacity(s)
	case rank == rankUnloading:
		return loadStep(s, best, ReasonUnloadCancelled)
	case z.LoadBudget <= 0:
		return waitStep(s, ReasonBudget)
	case rank <= rankRetry:
		return loadStep(s, best, rankReasons[rank])
	case c.failed > 0:
		return waitStep(s, ReasonLoadFailed)
	case z.changeInProgress:
		return waitStep(s, ReasonChangeInProgress)
	}
	return loadStep(s, best, rankReasons[rank])
}

// The ranks of engines for one more replica, best first.
const (
	rankUnloading = iota // is unloading the same Ref; needs no new load
	rankEmpty            // holds nothing
	rankRetry            // holds only the same Ref in a failed load
	rankUnwanted         // holds only models that no service uses
	rankOutdated         // holds another version of the service
	rankShared           // holds models of other services
	rankNone             // can't load it
)

var rankReasons = [...]Reason{
	rankUnloading: ReasonUnloadCancelled, rankEmpty: ReasonSpare, rankRetry: ReasonRetry,
	rankUnwanted: ReasonBeside, rankOutdated: ReasonReplace, rankShared: ReasonBeside,
}

// chooseEngine returns the best engine for one more replica of s with its rank. Among engines of
// equal rank, the one with the fewest models, then the fewest running requests, then the smallest id
// is chosen.
func (z *zoneState) chooseEngine(s *Service) (*Backend, int) {
	var best *Backend
	rank := rankNone
	for i := range z.Backends {
		b := &z.Backends[i]
		if r := z.rank(b, s); r < rank || (r == rank && r != rankNone && lessLoaded(b, best)) {
			best, rank = b, r
		}
	}
	return best, rank
}

func lessLoaded(a, b *Backend) bool {
	if len(a.Models) != len(b.Models) {
		return len(a.Models) < len(b.Models)
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.ID < b.ID
}

func (z *zoneState) rank(b *Backend, s *Service) int {
	if b.Pool != s.Pool || !b.canTakeWork() || z.Now.Before(b.NotBefore) {
		return rankNone
	}
	state, holds := b.state(s.Ref)
	switch {
	case holds && state == Unloading:
		return rankUnloading
	case holds && state != Failed:
		return rankNone
	case len(b.Models) == 0:
		return rankEmpty
	case holds && len(b.Models) == 1:
		return rankRetry
	case b.Full && !holds:
		return rankNone
	}
	return z.rankBeside(b, s)
}

// rankBeside ranks an engine that holds other models.
func (z *zoneState) rankBeside(b *Backend, s *Service) int {
	rank := rankUnwanted
	for _, m := range b.Models {
		switch {
		case z.isOutdated(m.Ref, s):
			return rankOutdated
		case m.Ref != s.Ref && !z.isUnwanted(b, m.Ref):
			rank = rankShared
		}
	}
	return rank
}

// freeCapacity returns the unload that allows some full engine to load a replica of s.
func (z *zoneState) freeCapacity(s *Service) Step {
	if z.changeInProgress {
		return waitStep(s, ReasonChangeInProgress)
	}
	c := z.counts[s.Name]
	hasOutdated := false
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.canTakeWork() || !b.Full || z.Now.Before(b.NotBefore) {
			continue
		}
		if _, holds := b.state(s.Ref); holds {
			continue
		}
		for _, m := range b.Models {
			switch {
			case m.State == Unloading:
			case z.isUnwanted(b, m.Ref):
				return Step{Kind: Unload, Backend: b.ID, Ref: m.Ref, Reason: ReasonMakeRoomUnwanted}
			case z.isOutdated(m.Ref, s):
				hasOutdated = true
			}
		}
	}
	switch {
	case !hasOutdated:
		return waitStep(s, ReasonNoEngine)
	case c.failed > 0:
		return waitStep(s, ReasonLoadFailed)
	case c.serving-1 < s.floor():
		return waitStep(s, ReasonFloor)
	}
	return z.unloadOutdated(s)
}

// unloadOutdated unloads an older version from the least loaded full engine.
func (z *zoneState) unloadOutdated(s *Service) Step {
	var best *Backend
	var ref Ref
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.canTakeWork() || !b.Full || z.Now.Before(b.NotBefore) || b.isReady(s.Ref) {
			continue
		}
		for _, m := range b.Models {
			if m.State != Unloading && z.isOutdated(m.Ref, s) && (best == nil || lessLoaded(b, best)) {
				best, ref = b, m.Ref
			}
		}
	}
	return Step{Kind: Unload, Backend: best.ID, Service: s.Name, Ref: ref, Reason: ReasonMakeRoom, ReducesCapacity: true}
}

// removeReplica returns the unload of an outdated version that has been replaced, or of a surplus
// replica.
func (z *zoneState) removeReplica(s *Service) Step {
	if step := z.removeOutdated(s); step.Kind == Unload {
		return step
	}
	c := z.counts[s.Name]
	if c.ready <= z.wantedReplicas(s.Pool, s.Ref) || c.pending > 0 || z.changeInProgress {
		return Step{}
	}
	var best *Backend
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool == s.Pool && b.canTakeWork() && b.isReady(s.Ref) && !z.Now.Before(b.NotBefore) && (best == nil || betterToUnload(b, best)) {
			best = b
		}
	}
	if best == nil {
		return Step{}
	}
	return Step{Kind: Unload, Backend: best.ID, Service: s.Name, Ref: s.Ref, Reason: ReasonSurplus, ReducesCapacity: true}
}

// betterToUnload reports whether a holds more models than b, or else runs fewer requests.
func betterToUnload(a, b *Backend) bool {
	if len(a.Models) != len(b.Models) {
		return len(a.Models) > len(b.Models)
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.ID > b.ID
}

// removeOutdated unloads an outdated version of s if the desired version is ready on the same
// engine, or on enough other engines.
func (z *zoneState) removeOutdated(s *Service) Step {
	c := z.counts[s.Name]
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.canTakeWork() || z.Now.Before(b.NotBefore) {
			continue
		}
		for _, m := range b.Models {
			if m.State == Unloading || m.State == Loading || !z.isOutdated(m.Ref, s) {
				continue
			}
			covered := b.isReady(s.Ref) || m.State == Failed
			replaced := c.ready >= s.Replicas && !z.changeInProgress
			if covered || replaced {
				return Step{Kind: Unload, Backend: b.ID, Service: s.Name, Ref: m.Ref, Reason: ReasonOldReplaced, ReducesCapacity: !covered}
			}
		}
	}
	return Step{}
}

// removeUnwanted unloads a model that no service uses. Plan calls it once everything desired is ready.
func (z *zoneState) removeUnwanted() Step {
	for i := range z.Backends {
		b := &z.Backends[i]
		if !b.canTakeWork() || z.Now.Before(b.NotBefore) {
			continue
		}
		for _, m := range b.Models {
			if m.State != Unloading && z.isUnwanted(b, m.Ref) {
				return Step{Kind: Unload, Backend: b.ID, Ref: m.Ref, Reason: ReasonUnwanted}
			}
		}
	}
	return Step{}
}

func waitStep(s *Service, reason Reason) Step {
	return Step{Kind: Wait, Service: s.Name, Ref: s.Ref, Reason: reason}
}

func loadStep(s *Service, b *Backend, reason Reason) Step {
	return Step{Kind: Load, Backend: b.ID, Service: s.Name, Ref: s.Ref, Reason: reason}
}

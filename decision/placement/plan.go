package placement

// Plan returns the next step. See the package comment for the rules.
func Plan(in Input) Step {
	z := newZoneState(in)
	waits := Step{}
	for _, s := range z.services {
		step := z.addReplica(s)
		switch step.Kind {
		case Load, Unload:
			return step
		case Wait:
			if waits.Kind == None {
				waits = step
			}
		}
	}
	for i := len(z.services) - 1; i >= 0; i-- {
		if step := z.removeReplica(z.services[i]); step.Kind == Unload {
			return step
		}
	}
	if waits.Kind == Wait {
		return waits
	}
	if step := z.removeUnwanted(); step.Kind == Unload {
		return step
	}
	return Step{Kind: None, Reason: ReasonConverged}
}

// addReplica returns the step towards one more replica of s, Wait with the reason
// why there is none now, or None when all are ready.
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

// The ranks of engines for a further replica, best first.
const (
	rankUnloading = iota // is unloading just that; no fetch needed
	rankEmpty            // holds nothing
	rankRetry            // holds nothing but a failed load of just that
	rankUnwanted         // holds only what no service wants
	rankOutdated         // holds another version of the service
	rankShared           // holds other services
	rankNone             // cannot take it
)

var rankReasons = [...]Reason{
	rankUnloading: ReasonUnloadCancelled, rankEmpty: ReasonSpare, rankRetry: ReasonRetry,
	rankUnwanted: ReasonBeside, rankOutdated: ReasonReplace, rankShared: ReasonBeside,
}

// chooseEngine returns the best engine for a further replica of s. Among equals the
// one that holds least and runs least is taken, then the first by id.
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

// rankBeside ranks an engine that holds something else.
func (z *zoneState) rankBeside(b *Backend, s *Service) int {
	rank := rankUnwanted
	for _, h := range b.Models {
		switch {
		case z.isOutdated(h.Ref, s):
			return rankOutdated
		case h.Ref != s.Ref && !z.isUnwanted(b, h.Ref):
			rank = rankShared
		}
	}
	return rank
}

// freeCapacity returns the unload that lets some full engine take a replica of s.
func (z *zoneState) freeCapacity(s *Service) Step {
	if z.changeInProgress {
		return waitStep(s, ReasonChangeInProgress)
	}
	c := z.counts[s.Name]
	old := false
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.canTakeWork() || !b.Full || z.Now.Before(b.NotBefore) {
			continue
		}
		if _, holds := b.state(s.Ref); holds {
			continue
		}
		for _, h := range b.Models {
			switch {
			case h.State == Unloading:
			case z.isUnwanted(b, h.Ref):
				return Step{Kind: Unload, Backend: b.ID, Ref: h.Ref, Reason: ReasonMakeRoomUnwanted}
			case z.isOutdated(h.Ref, s):
				old = true
			}
		}
	}
	switch {
	case !old:
		return waitStep(s, ReasonNoEngine)
	case c.failed > 0:
		return waitStep(s, ReasonLoadFailed)
	case c.serving-1 < s.floor():
		return waitStep(s, ReasonFloor)
	}
	return z.unloadOutdated(s)
}

// unloadOutdated unloads an older version from the full engine that runs least.
func (z *zoneState) unloadOutdated(s *Service) Step {
	var best *Backend
	var ref Ref
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.canTakeWork() || !b.Full || z.Now.Before(b.NotBefore) || b.isReady(s.Ref) {
			continue
		}
		for _, h := range b.Models {
			if h.State != Unloading && z.isOutdated(h.Ref, s) && (best == nil || lessLoaded(b, best)) {
				best, ref = b, h.Ref
			}
		}
	}
	return Step{Kind: Unload, Backend: best.ID, Service: s.Name, Ref: ref, Reason: ReasonMakeRoom, ReducesCapacity: true}
}

// removeReplica returns the unload of an older version that has been replaced, or of
// a replica beyond those wanted.
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

// betterToUnload prefers to unload from the engine that holds most and runs least.
func betterToUnload(a, b *Backend) bool {
	if len(a.Models) != len(b.Models) {
		return len(a.Models) > len(b.Models)
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.ID > b.ID
}

// removeOutdated unloads an older version of s where the wanted one serves on the
// same engine, or on enough others.
func (z *zoneState) removeOutdated(s *Service) Step {
	c := z.counts[s.Name]
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.canTakeWork() || z.Now.Before(b.NotBefore) {
			continue
		}
		for _, h := range b.Models {
			if h.State == Unloading || h.State == Loading || !z.isOutdated(h.Ref, s) {
				continue
			}
			covered := b.isReady(s.Ref) || h.State == Failed
			replaced := c.ready >= s.Replicas && !z.changeInProgress
			if covered || replaced {
				return Step{Kind: Unload, Backend: b.ID, Service: s.Name, Ref: h.Ref, Reason: ReasonOldReplaced, ReducesCapacity: !covered}
			}
		}
	}
	return Step{}
}

// removeUnwanted unloads what no service wants, once everything wanted is ready.
func (z *zoneState) removeUnwanted() Step {
	for i := range z.Backends {
		b := &z.Backends[i]
		if !b.canTakeWork() || z.Now.Before(b.NotBefore) {
			continue
		}
		for _, h := range b.Models {
			if h.State != Unloading && z.isUnwanted(b, h.Ref) {
				return Step{Kind: Unload, Backend: b.ID, Ref: h.Ref, Reason: ReasonUnwanted}
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

package placement

// Plan returns the next step. See the package comment for the rules.
func Plan(in Input) Step {
	z := newZone(in)
	waits := Step{}
	for _, s := range z.services {
		step := z.add(s)
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
		if step := z.remove(z.services[i]); step.Kind == Unload {
			return step
		}
	}
	if waits.Kind == Wait {
		return waits
	}
	if step := z.tidy(); step.Kind == Unload {
		return step
	}
	return Step{Kind: None, Reason: ReasonConverged}
}

// add returns the step towards one more replica of s, Wait with the reason
// why there is none now, or None when all are ready.
func (z *zone) add(s *Service) Step {
	c := z.counts[s.Name]
	if c.missing(s) <= 0 {
		if c.coming > 0 && c.ready < s.Replicas {
			return wait(s, ReasonComing)
		}
		return Step{}
	}
	if !z.dependenciesServe(s) {
		return wait(s, ReasonDependency)
	}
	best, rank := z.choose(s)
	switch {
	case best == nil:
		return z.makeRoom(s)
	case rank == rankKeep:
		return load(s, best, ReasonKeep)
	case z.LoadBudget <= 0:
		return wait(s, ReasonBudget)
	case rank <= rankRetry:
		return load(s, best, reasons[rank])
	case c.failed > 0:
		return wait(s, ReasonLoadFailed)
	case z.progress:
		return wait(s, ReasonProgress)
	}
	return load(s, best, reasons[rank])
}

// The ranks of engines for a further replica, best first.
const (
	rankKeep     = iota // is unloading just that; no fetch needed
	rankEmpty           // holds nothing
	rankRetry           // holds nothing but a failed load of just that
	rankUnwanted        // holds only what no service wants
	rankOlder           // holds another version of the service
	rankShared          // holds other services
	rankNone            // cannot take it
)

var reasons = [...]Reason{
	rankKeep: ReasonKeep, rankEmpty: ReasonSpare, rankRetry: ReasonRetry,
	rankUnwanted: ReasonBeside, rankOlder: ReasonReplace, rankShared: ReasonBeside,
}

// choose returns the best engine for a further replica of s. Among equals the
// one that holds least and runs least is taken, then the first by id.
func (z *zone) choose(s *Service) (*Backend, int) {
	var best *Backend
	rank := rankNone
	for i := range z.Backends {
		b := &z.Backends[i]
		if r := z.rank(b, s); r < rank || (r == rank && r != rankNone && lighter(b, best)) {
			best, rank = b, r
		}
	}
	return best, rank
}

func lighter(a, b *Backend) bool {
	if len(a.Models) != len(b.Models) {
		return len(a.Models) < len(b.Models)
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.ID < b.ID
}

func (z *zone) rank(b *Backend, s *Service) int {
	if b.Pool != s.Pool || !b.usable() || z.Now.Before(b.NotBefore) {
		return rankNone
	}
	state, holds := b.state(s.Ref)
	switch {
	case holds && state == Unloading:
		return rankKeep
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
func (z *zone) rankBeside(b *Backend, s *Service) int {
	rank := rankUnwanted
	for _, h := range b.Models {
		switch {
		case z.older(h.Ref, s):
			return rankOlder
		case h.Ref != s.Ref && !z.unwanted(b, h.Ref):
			rank = rankShared
		}
	}
	return rank
}

// makeRoom returns the unload that lets some full engine take a replica of s.
func (z *zone) makeRoom(s *Service) Step {
	if z.progress {
		return wait(s, ReasonProgress)
	}
	c := z.counts[s.Name]
	old := false
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.usable() || !b.Full || z.Now.Before(b.NotBefore) {
			continue
		}
		if _, holds := b.state(s.Ref); holds {
			continue
		}
		for _, h := range b.Models {
			switch {
			case h.State == Unloading:
			case z.unwanted(b, h.Ref):
				return Step{Kind: Unload, Backend: b.ID, Ref: h.Ref, Reason: ReasonRoomOrphan}
			case z.older(h.Ref, s):
				old = true
			}
		}
	}
	switch {
	case !old:
		return wait(s, ReasonNoEngine)
	case c.failed > 0:
		return wait(s, ReasonLoadFailed)
	case c.serving-1 < s.floor():
		return wait(s, ReasonFloor)
	}
	return z.breakOld(s)
}

// breakOld unloads an older version from the full engine that runs least.
func (z *zone) breakOld(s *Service) Step {
	var best *Backend
	var ref Ref
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.usable() || !b.Full || z.Now.Before(b.NotBefore) || b.ready(s.Ref) {
			continue
		}
		for _, h := range b.Models {
			if h.State != Unloading && z.older(h.Ref, s) && (best == nil || lighter(b, best)) {
				best, ref = b, h.Ref
			}
		}
	}
	return Step{Kind: Unload, Backend: best.ID, Service: s.Name, Ref: ref, Reason: ReasonRoom, ReducesCapacity: true}
}

// remove returns the unload of an older version that has been replaced, or of
// a replica beyond those wanted.
func (z *zone) remove(s *Service) Step {
	if step := z.removeOld(s); step.Kind == Unload {
		return step
	}
	c := z.counts[s.Name]
	if c.ready <= z.wanted(s.Pool, s.Ref) || c.coming > 0 || z.progress {
		return Step{}
	}
	var best *Backend
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool == s.Pool && b.usable() && b.ready(s.Ref) && !z.Now.Before(b.NotBefore) && (best == nil || crowded(b, best)) {
			best = b
		}
	}
	if best == nil {
		return Step{}
	}
	return Step{Kind: Unload, Backend: best.ID, Service: s.Name, Ref: s.Ref, Reason: ReasonSurplus, ReducesCapacity: true}
}

// crowded prefers to unload from the engine that holds most and runs least.
func crowded(a, b *Backend) bool {
	if len(a.Models) != len(b.Models) {
		return len(a.Models) > len(b.Models)
	}
	if a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.ID > b.ID
}

// removeOld unloads an older version of s where the wanted one serves on the
// same engine, or on enough others.
func (z *zone) removeOld(s *Service) Step {
	c := z.counts[s.Name]
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || !b.usable() || z.Now.Before(b.NotBefore) {
			continue
		}
		for _, h := range b.Models {
			if h.State == Unloading || h.State == Loading || !z.older(h.Ref, s) {
				continue
			}
			covered := b.ready(s.Ref) || h.State == Failed
			replaced := c.ready >= s.Replicas && !z.progress
			if covered || replaced {
				return Step{Kind: Unload, Backend: b.ID, Service: s.Name, Ref: h.Ref, Reason: ReasonOld, ReducesCapacity: !covered}
			}
		}
	}
	return Step{}
}

// tidy unloads what no service wants, once everything wanted is ready.
func (z *zone) tidy() Step {
	for i := range z.Backends {
		b := &z.Backends[i]
		if !b.usable() || z.Now.Before(b.NotBefore) {
			continue
		}
		for _, h := range b.Models {
			if h.State != Unloading && z.unwanted(b, h.Ref) {
				return Step{Kind: Unload, Backend: b.ID, Ref: h.Ref, Reason: ReasonUnwanted}
			}
		}
	}
	return Step{}
}

func wait(s *Service, reason Reason) Step {
	return Step{Kind: Wait, Service: s.Name, Ref: s.Ref, Reason: reason}
}

func load(s *Service, b *Backend, reason Reason) Step {
	return Step{Kind: Load, Backend: b.ID, Service: s.Name, Ref: s.Ref, Reason: reason}
}

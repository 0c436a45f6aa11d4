package placement

import (
	"cmp"
	"slices"
)

// replicaCounts counts the engines of the zone by their state for one service.
type replicaCounts struct {
	ready   int // serve exactly the desired Ref
	pending int // are loading the desired Ref, or are suspect and hold it
	serving int // serve the service in any version
	failed  int // failed to load the desired Ref
}

// missing returns how many replicas are neither ready nor pending.
func (c replicaCounts) missing(s *Service) int { return s.Replicas - c.ready - c.pending }

// floor returns the number of ready replicas below which no planned change may go.
func (s *Service) floor() int { return min(s.Floor, s.Replicas) }

// canTakeWork reports whether the engine accepts new work.
func (b *Backend) canTakeWork() bool { return b.Health == Up && !b.Leaving }

// state returns the load state of ref on the engine; false if the engine doesn't hold it.
func (b *Backend) state(ref Ref) (LoadState, bool) {
	for _, m := range b.Models {
		if m.Ref == ref {
			return m.State, true
		}
	}
	return 0, false
}

func (b *Backend) isReady(ref Ref) bool {
	s, ok := b.state(ref)
	return ok && s == Ready
}

// zoneState is an Input with the values that Plan derives from it once.
type zoneState struct {
	Input
	services []*Service // dependencies before dependents
	counts   map[string]replicaCounts
	// changeInProgress says that an order is in progress for which others must wait.
	changeInProgress bool
}

func newZoneState(in Input) *zoneState {
	z := &zoneState{Input: in, services: dependencyOrder(in.Services), counts: make(map[string]replicaCounts, len(in.Services))}
	for _, s := range z.services {
		z.counts[s.Name] = z.countReplicas(s)
	}
	for i := range z.Backends {
		z.changeInProgress = z.changeInProgress || z.isChanging(&z.Backends[i])
	}
	return z
}

// isChanging reports whether an order in progress on b takes or gives capacity. An unload on an
// engine that also serves a ready model does neither: the engine only finishes the old version's
// running work, which may take minutes.
func (z *zoneState) isChanging(b *Backend) bool {
	if b.Health == Lost || b.Leaving {
		return false
	}
	unloading, ready := false, false
	for _, m := range b.Models {
		switch m.State {
		case Loading:
			return true
		case Unloading:
			unloading = true
		case Ready:
			ready = true
		}
	}
	return unloading && !ready
}

func (z *zoneState) countReplicas(s *Service) replicaCounts {
	var c replicaCounts
	for i := range z.Backends {
		b := &z.Backends[i]
		if b.Pool != s.Pool || b.Leaving || b.Health == Lost {
			continue
		}
		state, holds := b.state(s.Ref)
		switch {
		case !holds || state == Unloading:
		case state == Failed:
			c.failed++
		case state == Loading || b.Health == Suspect:
			c.pending++
		default:
			c.ready++
		}
		if b.Health == Up && z.serves(b, s) {
			c.serving++
		}
	}
	return c
}

// serves reports whether any version of s is ready on b.
func (z *zoneState) serves(b *Backend, s *Service) bool {
	if b.Pool != s.Pool {
		return false
	}
	for _, m := range b.Models {
		if m.State == Ready && (m.Ref == s.Ref || z.isOutdated(m.Ref, s)) {
			return true
		}
	}
	return false
}

// isOutdated reports whether ref is another version of what s uses that no service of the pool uses
// now. It has the same model and the same adapter, or only the same model if no other service of
// the pool uses that model.
func (z *zoneState) isOutdated(ref Ref, s *Service) bool {
	if ref == s.Ref || ref.Model != s.Ref.Model {
		return false
	}
	for i := range z.Services {
		o := &z.Services[i]
		if o.Pool != s.Pool || o.Name == s.Name {
			continue
		}
		if o.Ref == ref || (o.Ref.Model == ref.Model && ref.Adapter != s.Ref.Adapter) {
			return false
		}
	}
	return true
}

// isUnwanted reports whether ref is neither used by a service of b's pool nor outdated for one.
func (z *zoneState) isUnwanted(b *Backend, ref Ref) bool {
	for _, s := range z.services {
		if s.Pool == b.Pool && (s.Ref == ref || z.isOutdated(ref, s)) {
			return false
		}
	}
	return true
}

// wantedReplicas returns the largest number of replicas of ref that any service of the pool wants.
func (z *zoneState) wantedReplicas(pool string, ref Ref) int {
	n := 0
	for _, s := range z.services {
		if s.Pool == pool && s.Ref == ref {
			n = max(n, s.Replicas)
		}
	}
	return n
}

// dependenciesServe reports whether all services that s depends on are serving in the zone. A
// dependency with no replicas in this zone, or one that is not placed on engines, doesn't block s.
func (z *zoneState) dependenciesServe(s *Service) bool {
	for _, name := range s.DependsOn {
		for _, d := range z.services {
			if d.Name == name && z.counts[name].serving < min(d.Replicas, max(1, d.Floor)) {
				return false
			}
		}
	}
	return true
}

// dependencyOrder returns the services with dependencies before dependents, otherwise by name. The
// site configuration has no cycles; a cycle would be broken at its first service by name.
func dependencyOrder(services []Service) []*Service {
	byName := make(map[string]*Service, len(services))
	sorted := make([]*Service, len(services))
	for i := range services {
		sorted[i] = &services[i]
		byName[services[i].Name] = &services[i]
	}
	slices.SortFunc(sorted, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	out := make([]*Service, 0, len(services))
	seen := make(map[string]bool, len(services))
	var visit func(s *Service)
	visit = func(s *Service) {
		if seen[s.Name] {
			return
		}
		seen[s.Name] = true
		for _, d := range s.DependsOn {
			if dep := byName[d]; dep != nil {
				visit(dep)
			}
		}
		out = append(out, s)
	}
	for _, s := range sorted {
		visit(s)
	}
	return out
}

package placement

import (
	"cmp"
	"slices"
)

// count is how a service stands in the zone.
type count struct {
	ready   int // engines that serve exactly the wanted set
	coming  int // engines that will, or may again
	serving int // engines that serve it in any version
	failed  int // engines that failed to load the wanted set
}

// missing returns how many replicas are neither ready nor coming.
func (c count) missing(s *Service) int { return s.Replicas - c.ready - c.coming }

// floor returns the ready replicas that no planned change may go below.
func (s *Service) floor() int { return min(s.Floor, s.Replicas) }

// usable reports whether the engine takes new work.
func (b *Backend) usable() bool { return b.Health == Up && !b.Leaving }

// state is how far the engine is with ref; false where it holds nothing of it.
func (b *Backend) state(ref Ref) (LoadState, bool) {
	for _, h := range b.Models {
		if h.Ref == ref {
			return h.State, true
		}
	}
	return 0, false
}

func (b *Backend) ready(ref Ref) bool {
	s, ok := b.state(ref)
	return ok && s == Ready
}

// zone is an Input with what Plan derives from it once.
type zone struct {
	Input
	services []*Service // dependencies before dependents
	counts   map[string]count
	// progress says that an order is under way that others must wait for.
	progress bool
}

func newZone(in Input) *zone {
	z := &zone{Input: in, services: ordered(in.Services), counts: make(map[string]count, len(in.Services))}
	for _, s := range z.services {
		z.counts[s.Name] = z.count(s)
	}
	for i := range z.Backends {
		z.progress = z.progress || z.changing(&z.Backends[i])
	}
	return z
}

// changing reports whether an order is under way on b that takes or gives
// capacity. An unload beside something that serves does neither: the engine
// only finishes the old version's running work, which may take minutes.
func (z *zone) changing(b *Backend) bool {
	if b.Health == Lost || b.Leaving {
		return false
	}
	unloading, ready := false, false
	for _, h := range b.Models {
		switch h.State {
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

func (z *zone) count(s *Service) count {
	var c count
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
			c.coming++
		default:
			c.ready++
		}
		if b.Health == Up && z.serves(b, s) {
			c.serving++
		}
	}
	return c
}

// serves reports whether b has s ready in any version.
func (z *zone) serves(b *Backend, s *Service) bool {
	if b.Pool != s.Pool {
		return false
	}
	for _, h := range b.Models {
		if h.State == Ready && (h.Ref == s.Ref || z.older(h.Ref, s)) {
			return true
		}
	}
	return false
}

// older reports whether ref is another version of what s wants, rather than
// what some service of the pool wants now: the same model and adapter, or the
// same model where no other service of the pool uses it.
func (z *zone) older(ref Ref, s *Service) bool {
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

// unwanted reports whether no service of b's pool has to do with ref.
func (z *zone) unwanted(b *Backend, ref Ref) bool {
	for _, s := range z.services {
		if s.Pool == b.Pool && (s.Ref == ref || z.older(ref, s)) {
			return false
		}
	}
	return true
}

// wanted returns the largest number of replicas that services of a pool want
// of one set of weights.
func (z *zone) wanted(pool string, ref Ref) int {
	n := 0
	for _, s := range z.services {
		if s.Pool == pool && s.Ref == ref {
			n = max(n, s.Replicas)
		}
	}
	return n
}

// dependenciesServe reports whether all that s depends on serves here. What is
// not wanted in this zone, or has no engines, does not hold s up.
func (z *zone) dependenciesServe(s *Service) bool {
	for _, name := range s.DependsOn {
		for _, d := range z.services {
			if d.Name == name && z.counts[name].serving < min(d.Replicas, max(1, d.Floor)) {
				return false
			}
		}
	}
	return true
}

// ordered returns the services with dependencies before dependents, else by
// name. The site text has no cycles; one would be cut at its first service.
func ordered(services []Service) []*Service {
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

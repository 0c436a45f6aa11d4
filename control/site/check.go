package site

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// check reports the faults that involve more than one key or section.
func (p *parser) check() {
	if p.sections["site"] == nil {
		p.errs.Add(0, "no section [site]", "add it with name and zones")
	}
	for _, name := range slices.Sorted(maps.Keys(p.site.Services)) {
		s := p.site.Services[name]
		p.checkModel(s)
		p.checkPool(s)
		p.checkReplicas(s)
		p.checkDependencies(s)
	}
	p.checkCycles()
	p.checkTokenHashes()
}

func (p *parser) addFault(s *Service, key, what, instead string) {
	p.errs.Add(p.sections["service "+s.Name].LineOf(key), "service "+s.Name+" "+what, instead)
}

func (p *parser) checkModel(s *Service) {
	switch {
	case s.Kind == KindGeneration && s.Model == "":
		p.addFault(s, "model", "has no model", "add model = NAME")
	case s.Kind == KindPlain && s.Model+s.Adapter != "":
		p.addFault(s, "model", "is plain and names a model or adapter", "remove it or write kind = generation")
	}
}

func (p *parser) checkPool(s *Service) {
	if s.Pool != "" && p.site.Pools[s.Pool] == nil {
		p.addFault(s, "pool", fmt.Sprintf("runs in pool %q, which is not defined", s.Pool), "add [pool "+s.Pool+"] or name another pool")
	}
}

// checkReplicas rejects replica counts that the reconciler cannot satisfy: replicas in a zone that
// does not exist, no replicas at all, or fewer than the floor.
func (p *parser) checkReplicas(s *Service) {
	total := 0
	for _, zone := range slices.Sorted(maps.Keys(s.Replicas)) {
		n := s.Replicas[zone]
		total += n
		key := "replicas." + zone
		if !slices.Contains(p.site.Zones, zone) {
			p.addFault(s, key, fmt.Sprintf("wants replicas in zone %q, which [site] does not list", zone),
				"write one of "+strings.Join(p.site.Zones, ", "))
		}
		if n > 0 && s.Floor > n {
			p.addFault(s, key, fmt.Sprintf("wants %d replicas in %s, below its floor of %d", n, zone, s.Floor), "lower the floor or raise the replicas")
		}
	}
	if total == 0 {
		p.addFault(s, "replicas.", "has no replicas in any zone", "add replicas.ZONE = 1 or more, or remove the service")
	}
}

func (p *parser) checkDependencies(s *Service) {
	for i, d := range s.DependsOn {
		switch {
		case d == s.Name:
			p.addFault(s, "depends_on", "depends on itself", "remove it from depends_on")
		case p.site.Services[d] == nil:
			p.addFault(s, "depends_on", fmt.Sprintf("depends on %q, which is not defined", d), "add [service "+d+"] or remove it from depends_on")
		case slices.Contains(s.DependsOn[:i], d):
			p.addFault(s, "depends_on", fmt.Sprintf("names %q twice", d), "name it once")
		}
	}
}

// checkCycles reports cycles of dependencies. It walks the services in the order of their names and
// visits each once, so that a cycle is reported once; a cycle that shares services with a reported
// one may be reported only after the first one is resolved.
func (p *parser) checkCycles() {
	done := map[string]bool{}
	for _, start := range slices.Sorted(maps.Keys(p.site.Services)) {
		cycle := p.findCycle(start, nil, done)
		if len(cycle) < 2 {
			continue
		}
		p.addFault(p.site.Services[cycle[0]], "depends_on",
			"is in a cycle: "+strings.Join(append(cycle, cycle[0]), " -> "), "remove one of these dependencies")
	}
}

// findCycle walks the dependencies of a service depth first and returns the first cycle found, or
// nil. done holds the services that need no further walk.
func (p *parser) findCycle(name string, path []string, done map[string]bool) []string {
	if i := slices.Index(path, name); i >= 0 {
		return slices.Clone(path[i:])
	}
	s := p.site.Services[name]
	if s == nil || done[name] {
		return nil
	}
	path = append(path, name)
	defer func() { done[name] = true }()
	for _, d := range s.DependsOn {
		if d == name {
			continue // reported by checkDependencies
		}
		if c := p.findCycle(d, path, done); c != nil {
			return c
		}
	}
	return nil
}

// checkTokenHashes rejects a token hash that is listed more than once: which account a caller gets
// would be ambiguous.
func (p *parser) checkTokenHashes() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(p.site.Accounts)) {
		for _, h := range p.site.Accounts[name].TokenHashes {
			if first, dup := owner[h]; dup {
				p.errs.Add(p.sections["account "+name].LineOf("token_hashes"),
					fmt.Sprintf("account %s has a token hash that account %s lists already", name, first), "give each account its own tokens")
			}
			owner[h] = name
		}
	}
}

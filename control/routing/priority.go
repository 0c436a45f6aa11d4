package routing

import (
	"cmp"
	"slices"
)

// EffectivePriority returns the priority of the requests of an account on a route: the account's own if it
// has one, or else the route's. account is nil on public routes. 0 is the most urgent.
func (r *Route) EffectivePriority(account *Account) int {
	if account != nil && account.Priority >= 0 {
		return account.Priority
	}
	return r.Priority
}

// level is the urgency of a request among those of its service. An account's priority takes
// precedence, and requests of equal priority are ordered by that of their routes.
type level struct{ priority, routePriority int }

func levelOf(r *Route, account *Account) level {
	return level{priority: r.EffectivePriority(account), routePriority: r.Priority}
}

func compareLevels(a, b level) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.routePriority, b.routePriority))
}

// ranks holds the levels that occur among the streams of one service, the most urgent first.
type ranks []level

// newRanks returns the ranks of the services that have stream routes of different priorities.
func newRanks(routes []*Route, accounts map[string]*Account) map[string]ranks {
	streams := map[string][]*Route{} // by service
	for _, r := range routes {
		if r.Kind != Stream {
			continue
		}
		for _, t := range r.Targets {
			streams[t.Service] = append(streams[t.Service], r)
		}
	}
	all := map[string]ranks{}
	for service, list := range streams {
		if differInPriority(list) {
			all[service] = ranksOf(list, accounts)
		}
	}
	return all
}

func differInPriority(routes []*Route) bool {
	return slices.ContainsFunc(routes, func(r *Route) bool { return r.Priority != routes[0].Priority })
}

func ranksOf(routes []*Route, accounts map[string]*Account) ranks {
	var list ranks
	for _, r := range routes {
		list = append(list, levelOf(r, nil))
		for _, a := range accounts {
			list = append(list, levelOf(r, a))
		}
	}
	slices.SortFunc(list, compareLevels)
	return slices.Compact(list)
}

// HasPriorities reports whether the stream routes of a service differ in priority. What is decided
// by the urgency of a request applies only to such services.
func (c *Config) HasPriorities(service string) bool { return c.ranks[service] != nil }

// Rank returns the rank of a request among the streams of its service: 0 is the most urgent, and
// less urgent levels that occur are numbered consecutively. For a service without priorities it is
// the EffectivePriority.
func (c *Config) Rank(service string, r *Route, account *Account) int {
	list := c.ranks[service]
	if list == nil {
		return r.EffectivePriority(account)
	}
	i, _ := slices.BinarySearchFunc(list, levelOf(r, account), compareLevels)
	return i
}

// Package rollout decides how a service moves from one version of its backend servers, the
// baseline, to another, the target: which versions may serve, what share of the requests the target
// gets, and when the roll-out completes or is rolled back.
//
// Load pattern: servers of a new version start beside those of the old one, and the new version may
// be bad: some of its responses fail or take several times longer, immediately or later, only under
// load or only on one route. Hundreds of daemons each see a few requests per second of the service,
// and most of them see none that went to the new version.
//
// Without this package, new servers receive requests like any others, half of them at once, and a
// bad version keeps answering its part for as long as it is deployed. If each daemon instead
// started with one trial request, hundreds of daemons together would exceed the number of requests
// that a bad version may get.
//
// Decision: each new request is selected for the target independently, with the same probability at
// every daemon, so the share holds for any number of daemons and any load, whether or not the
// daemons can reach each other. A request goes to the target at most once; its retries go to the
// baseline. Selected requests go to only a few target servers, each of which then carries the load
// of one baseline server. One daemon aggregates what all daemons observed and compares the versions
// over the same time intervals. The share is increased as late as response times permit, because
// regressions that appear later or under load can only be detected later.
package rollout

import (
	"slices"
	"strings"
)

// Stage is how far a roll-out has progressed. Within one roll-out it never goes back.
type Stage uint8

// The stages.
const (
	// Idle means that there is no roll-out.
	Idle Stage = iota
	// Pending means that a roll-out is ordered but has not started.
	Pending
	// Canary sends a small share of the requests to a few target servers.
	Canary
	// Partial sends a larger share of the requests to the target.
	Partial
	// Full sends every new request to the target; requests in flight finish on the server they run
	// on.
	Full
	// Migrating also moves the responses in progress on the baseline to the target.
	Migrating
	// Completed means that the baseline is retired. It takes precedence over RolledBack because the
	// baseline servers have stopped.
	Completed
	// RolledBack means that the target receives no more requests.
	RolledBack
)

// String returns the name used in logs and in the store.
func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

var stageNames = [...]string{"idle", "pending", "few", "some", "all", "last", "completed", "rolled_back"}

// ParseStage parses the result of String; ok is false for any other text.
func ParseStage(text string) (s Stage, ok bool) {
	for i, name := range stageNames {
		if name == text {
			return Stage(i), true
		}
	}
	return Idle, false
}

// IsTerminal reports whether the roll-out has ended.
func (s Stage) IsTerminal() bool { return s == Completed || s == RolledBack }

// IsRunning reports whether both versions serve requests.
func (s Stage) IsRunning() bool { return s >= Canary && s <= Migrating }

// State is what a daemon knows of a service's roll-out. The zero value describes a service of which
// nothing is known yet.
type State struct {
	// OrderRevision is the store revision of the operator's order; 0 if there is none.
	OrderRevision int64
	// Baseline is the version that served before the roll-out; "" if there is none.
	Baseline string
	Target   string
	Stage    Stage
	// Share is the fraction of requests selected for the target, from 0 to 1.
	Share float64
	// CommonRoutes lists the routes with many requests as seen by the deciding daemon; requests of
	// other routes are selected more often. While it is "", each daemon uses its own request
	// counts.
	CommonRoutes string
}

// ServesByDefault reports whether a version serves requests that were not selected for the target.
func (s State) ServesByDefault(version string) bool {
	switch s.Stage {
	case Full, Migrating, Completed:
		return version == s.Target
	}
	return version == s.Baseline
}

// IsBlocked reports whether a version must not receive any request.
func (s State) IsBlocked(version string) bool {
	switch {
	case s.ServesByDefault(version):
		return false
	case version == s.Target:
		return s.Stage != Canary && s.Stage != Partial
	case version == s.Baseline:
		return s.Stage == Completed
	}
	return true
}

// RoutedBy returns the state by which requests are routed, given whether the servers of a version
// accept requests. Where all requests go to a target that has no servers any more, they go to the
// baseline if that still has some: otherwise the service would refuse every request although its
// servers run. A baseline has no limit on its requests, so the reverse is not done.
func (s State) RoutedBy(accepts func(version string) bool) State {
	allToTarget := s.Stage == Full || s.Stage == Migrating || s.Stage == Completed
	if !allToTarget || s.Baseline == s.Target || accepts(s.Target) || !accepts(s.Baseline) {
		return s
	}
	s.Stage, s.Share = RolledBack, 0
	return s
}

// ShouldMigrate reports whether responses in progress on a version must continue on another server.
func (s State) ShouldMigrate(version string) bool {
	return s.Stage == Migrating && version != s.Target || s.Stage == RolledBack && version == s.Target
}

// routeSeparator separates the at most maxCommonRoutes names in State.CommonRoutes.
const (
	routeSeparator  = "\n"
	maxCommonRoutes = 16
)

// RoutesToTarget reports whether a new request goes to the target; draw is in [0, 1). Requests of
// rare routes are selected more often, because otherwise a version that is bad only on a rare route
// would not be detected before it gets all requests.
func (s State) RoutesToTarget(draw float64, route string, counter *RouteCounter) bool {
	probability := s.Share * counter.countAndWeigh(route)
	switch {
	case s.Stage != Canary && s.Stage != Partial:
		return false
	case s.CommonRoutes == "":
	case slices.Contains(strings.Split(s.CommonRoutes, routeSeparator), route):
		probability = s.Share
	default:
		probability = min(maxRareRouteShare, s.Share*rareRouteWeight)
	}
	selected := draw < probability
	if selected {
		counter.selected++
	}
	return selected
}

const (
	// minRouteWeight and maxRouteWeight bound the weight of a route, so that many routes with few
	// requests each do not exceed the share in total.
	minRouteWeight, maxRouteWeight = 0.7, 3
	// rareRouteWeight is the weight of a route that is missing from State.CommonRoutes.
	rareRouteWeight = 6
	// maxRareRouteShare leaves the baseline enough requests of such a route to compare with.
	maxRareRouteShare = 0.6
	// maxCountedRoutes bounds the number of counted routes; any further route has weight 1.
	maxCountedRoutes = 64
)

// RouteCounter counts the requests of a service by route. The zero value is empty. It is not safe
// for concurrent use.
type RouteCounter struct {
	routes          map[string]int
	total, selected int
}

// Totals returns the number of counted requests and how many of them were selected for the target.
func (c *RouteCounter) Totals() (total, selected int) { return c.total, c.selected }

// countAndWeigh counts a request and returns the selection weight of its route relative to the
// average route.
func (c *RouteCounter) countAndWeigh(route string) float64 {
	if c.routes == nil {
		c.routes = map[string]int{}
	}
	c.total++
	if _, known := c.routes[route]; !known && len(c.routes) >= maxCountedRoutes {
		return 1
	}
	c.routes[route]++
	mean := float64(c.total) / float64(len(c.routes))
	return min(maxRouteWeight, max(minRouteWeight, mean/float64(c.routes[route])))
}

// Merge returns the state that results from two reported states of one service, in either order.
// Two running states with the same target belong to one roll-out whose order was written more than
// once.
func Merge(a, b State) State {
	if a.OrderRevision < b.OrderRevision {
		a, b = b, a
	}
	if a.OrderRevision != b.OrderRevision && (a.Target != b.Target || !a.Stage.IsRunning() || !b.Stage.IsRunning()) {
		return a
	}
	if b.precedence() > a.precedence() {
		b.OrderRevision = a.OrderRevision
		return b
	}
	return a
}

func (s State) precedence() int {
	switch s.Stage {
	case RolledBack:
		return int(Completed)
	case Completed:
		return int(RolledBack)
	}
	return int(s.Stage)
}

// Order is an operator's order to roll out a version.
type Order struct {
	Revision int64
	// Renumbers is the lowest earlier revision of the same order; 0 if there is none. The order was
	// written again because the store had lost it.
	Renumbers int64
	Target    string
}

// isOrderOf reports whether the order, under an earlier revision, is that of a state.
func (o *Order) isOrderOf(s State) bool {
	return o.Renumbers != 0 && s.OrderRevision >= o.Renumbers && o.Target == s.Target
}

// Resolve returns the current state of a service. order is the newest known order, nil if there is
// none; stored is the state in the store, nil if there is none; previous is the state known so far,
// including what other daemons reported; serverCounts is the number of servers of each version.
//
// Writing the same order again while its roll-out is running has no effect; writing it after the
// end starts a new roll-out.
func Resolve(order *Order, stored *State, previous State, serverCounts map[string]int) State {
	current := previous
	if stored != nil {
		current = Merge(previous, *stored)
	}
	if order != nil && order.Revision > current.OrderRevision {
		if order.Target == current.Target && current.Stage.IsRunning() || order.isOrderOf(current) {
			current.OrderRevision = order.Revision
			return current
		}
		return State{OrderRevision: order.Revision, Baseline: current.baselineFor(serverCounts, order.Target), Target: order.Target, Stage: Pending}
	}
	if current.Stage == Idle || current.Stage == Pending && current.Baseline == "" {
		current.Baseline = current.baselineFor(serverCounts, current.Target)
	}
	return current
}

// baselineFor returns the version that serves before a new order takes effect.
func (s State) baselineFor(serverCounts map[string]int, target string) string {
	switch {
	case s.Stage == Completed:
		return s.Target
	case s.Baseline != "" && (s.Stage != Idle || serverCounts[s.Baseline] > 0):
		return s.Baseline
	}
	return mostDeployed(serverCounts, target)
}

// mostDeployed returns the version with the most servers, preferring any version other than
// excluded. Ties go to the first version by name.
func mostDeployed(serverCounts map[string]int, excluded string) string {
	best := ""
	for version, n := range serverCounts {
		if version == excluded {
			continue
		}
		if best == "" || n > serverCounts[best] || n == serverCounts[best] && version < best {
			best = version
		}
	}
	if best == "" && serverCounts[excluded] > 0 {
		return excluded
	}
	return best
}

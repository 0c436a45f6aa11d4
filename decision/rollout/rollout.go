// Package rollout decides how a service moves from one version of its servers to another: which
// versions may serve, what share of the requests the new one gets, and when it is completed or
// taken back.
//
// Load it answers: servers of a new version start beside those of the old one, and the new one may
// be bad: a part of its answers fail or come several times slower, at once or later, under load or
// on one route only. Hundreds of daemons each see a few requests of the service a second, most of
// them none that went to the new version.
//
// Without it new servers get requests like any others, half of them at once, and a bad version
// answers those for as long as it is there. Where each daemon tries it with one request to begin
// with, hundreds of daemons add up to more than a bad version may get.
//
// How it decides: each request that a caller sends is drawn by itself, with the same probability at
// every daemon, so that the share holds for any number of daemons and any load, whether or not they
// hear each other. One request goes to the new version once at most; whatever follows it goes to
// the old one. Drawn requests go to few of the new servers, which carry the load of an old one each.
// What all daemons saw is added up by one, which compares the versions in the same seconds. The
// share grows as late as the time that answers take allows, since what turns bad later, or under
// load, is only seen later.
package rollout

import (
	"slices"
	"strings"
)

// Stage is how far a roll-out has come. Stages of one roll-out only grow.
type Stage uint8

// The stages.
const (
	// Idle: there is no roll-out.
	Idle Stage = iota
	// Pending: one is ordered and has not begun.
	Pending
	// Few: a share of the requests is drawn for few servers of the target.
	Canary
	// Some: a larger share is.
	Partial
	// All: the target is sent every request; answers under way end where they are.
	Full
	// Last: answers under way at the version before go on at the target.
	Migrating
	// Completed: the version before is gone. It outweighs RolledBack: its servers have stopped.
	Completed
	// RolledBack: the target gets nothing any more.
	RolledBack
)

// String returns the word used in logs and in the store.
func (s Stage) String() string { return stageNames[min(int(s), len(stageNames)-1)] }

var stageNames = [...]string{"idle", "pending", "few", "some", "all", "last", "completed", "rolled_back"}

// ParseStage reads what String wrote; ok is false for anything else.
func ParseStage(text string) (s Stage, ok bool) {
	for i, name := range stageNames {
		if name == text {
			return Stage(i), true
		}
	}
	return Idle, false
}

// IsTerminal reports whether a roll-out is at its end.
func (s Stage) IsTerminal() bool { return s == Completed || s == RolledBack }

// IsRunning reports whether both versions serve.
func (s Stage) IsRunning() bool { return s >= Canary && s <= Migrating }

// State is what is believed of a service's roll-out. The zero value is that of a service of which
// nothing is known yet.
type State struct {
	// OrderRevision is the store's revision of the order; 0 where there was none.
	OrderRevision int64
	// Baseline is the version that served before; "" if there is none.
	Baseline string
	Target   string
	Stage    Stage
	// Share is the part of the requests that is drawn for the target, 0 to 1.
	Share float64
	// CommonRoutes are the routes with many requests, as whom decides knows them: others are drawn more
	// often. "" while each daemon goes by what it sees itself.
	CommonRoutes string
}

// ServesByDefault reports whether a version serves any request.
func (s State) ServesByDefault(version string) bool {
	switch s.Stage {
	case Full, Migrating, Completed:
		return version == s.Target
	}
	return version == s.Baseline
}

// IsBlocked reports whether a version may run nothing at all.
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

// ShouldMigrate reports whether answers under way at a version go on elsewhere.
func (s State) ShouldMigrate(version string) bool {
	return s.Stage == Migrating && version != s.Target || s.Stage == RolledBack && version == s.Target
}

// separator parts the names in State.Common, of which there are maxCommon at most.
const (
	routeSeparator  = "\n"
	maxCommonRoutes = 16
)

// RoutesToTarget reports whether a request that begins goes to the target; draw is in [0, 1). Requests of
// rare routes are drawn more often: a version that is bad on one of them would not be seen there
// before it has all.
func (s State) RoutesToTarget(draw float64, route string, counter *RouteCounter) bool {
	weight := counter.countAndWeigh(route)
	switch {
	case s.Stage != Canary && s.Stage != Partial:
		return false
	case s.CommonRoutes == "":
	case slices.Contains(strings.Split(s.CommonRoutes, routeSeparator), route):
		weight = 1
	default:
		weight = rareRouteWeight
	}
	selected := draw < s.Share*weight
	if selected {
		counter.selected++
	}
	return selected
}

const (
	// minRouteWeight and mostWeight bound the weight of a route: few requests of many routes must not
	// add up to more than the share.
	minRouteWeight, maxRouteWeight = 0.7, 3
	// rareRouteWeight is that of a route which is known to have few.
	rareRouteWeight = 4
	// maxCountedRoutes bounds the routes that are counted; those beyond it weigh 1.
	maxCountedRoutes = 64
)

// RouteCounter counts the requests of a service by route. The zero value has counted none. It is not safe
// for concurrent use.
type RouteCounter struct {
	routes          map[string]int
	total, selected int
}

// Totals is how many requests were counted, and how many of them drawn.
func (c *RouteCounter) Totals() (total, selected int) { return c.total, c.selected }

// countAndWeigh counts a request and returns how much more often than others those of its route are drawn.
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

// Merge is the state that holds of two that were heard of one service. Two that run to the same
// target are of one roll-out, whose order was written more than once.
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

// Order is what an operator asks for.
type Order struct {
	Revision int64
	Target   string
}

// Resolve is what holds of a service: order is the newest known, nil for none; stored is what lies
// in the store, nil for nothing; before is what was believed until now, with what other daemons
// told; present counts the servers of each version.
//
// The same order written twice is one roll-out while that runs. One that is written again after its
// end is a new one.
func Resolve(order *Order, stored *State, previous State, serverCounts map[string]int) State {
	current := previous
	if stored != nil {
		current = Merge(previous, *stored)
	}
	if order != nil && order.Revision > current.OrderRevision {
		if order.Target == current.Target && current.Stage.IsRunning() {
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

// baselineFor is the version that serves while nothing of a new order is done.
func (s State) baselineFor(serverCounts map[string]int, target string) string {
	switch {
	case s.Stage == Completed:
		return s.Target
	case s.Baseline != "" && (s.Stage != Idle || serverCounts[s.Baseline] > 0):
		return s.Baseline
	}
	return mostDeployed(serverCounts, target)
}

// mostDeployed is the version with the most servers, another than except if there is one; of equals the
// first by name.
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

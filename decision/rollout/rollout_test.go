package rollout

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Checks for every stage which versions serve, which are blocked, and whether a request can be
// selected for the target.
func TestVersionsServedInEachStage(t *testing.T) {
	for _, c := range []struct {
		stage                           Stage
		baselineServes, baselineBlocked bool
		targetServes, targetBlocked     bool
		selected                        bool
	}{
		{Idle, true, false, false, true, false},
		{Pending, true, false, false, true, false},
		{Canary, true, false, false, false, true},
		{Partial, true, false, false, false, true},
		{Full, false, false, true, false, false},
		{Migrating, false, false, true, false, false},
		{Completed, false, true, true, false, false},
		{RolledBack, true, false, false, true, false},
	} {
		s := State{OrderRevision: 1, Baseline: "v1", Target: "v2", Stage: c.stage, Share: 0.1}
		must.Eq(t, c.baselineServes, s.ServesByDefault("v1"), must.Sprint(c.stage))
		must.Eq(t, c.baselineBlocked, s.IsBlocked("v1"), must.Sprint(c.stage))
		must.Eq(t, c.targetServes, s.ServesByDefault("v2"), must.Sprint(c.stage))
		must.Eq(t, c.targetBlocked, s.IsBlocked("v2"), must.Sprint(c.stage))
		must.Eq(t, c.selected, s.RoutesToTarget(0.05, "r", &RouteCounter{}), must.Sprint(c.stage))
		must.False(t, s.RoutesToTarget(0.5, "r", &RouteCounter{}))
		must.True(t, s.IsBlocked("v3"))
		parsed, ok := ParseStage(c.stage.String())
		must.True(t, ok)
		must.Eq(t, c.stage, parsed)
	}
	must.True(t, State{Baseline: "v1", Target: "v2", Stage: Migrating}.ShouldMigrate("v1"))
	must.False(t, State{Baseline: "v1", Target: "v2", Stage: Migrating}.ShouldMigrate("v2"))
	must.True(t, State{Baseline: "v1", Target: "v2", Stage: RolledBack}.ShouldMigrate("v2"))
	_, ok := ParseStage("sideways")
	must.False(t, ok)
}

// Daemons may hear of two states in either order and must arrive at the same result.
func TestMerge(t *testing.T) {
	at := func(order int64, target string, stage Stage) State {
		return State{OrderRevision: order, Baseline: "v1", Target: target, Stage: stage}
	}
	for _, c := range []struct {
		name       string
		a, b, want State
	}{
		{"a later stage", at(5, "v2", Canary), at(5, "v2", Full), at(5, "v2", Full)},
		{"a rollback overrides any earlier stage", at(5, "v2", Migrating), at(5, "v2", RolledBack), at(5, "v2", RolledBack)},
		{"a completed roll-out cannot be rolled back", at(5, "v2", Completed), at(5, "v2", RolledBack), at(5, "v2", Completed)},
		{"a newer order", at(5, "v2", RolledBack), at(7, "v3", Pending), at(7, "v3", Pending)},
		{"the same order twice", at(5, "v2", Full), at(7, "v2", Canary), at(7, "v2", Full)},
		{"the same order after its end", at(5, "v2", RolledBack), at(7, "v2", Canary), at(7, "v2", Canary)},
	} {
		must.Eq(t, c.want, Merge(c.a, c.b), must.Sprint(c.name))
		must.Eq(t, c.want, Merge(c.b, c.a), must.Sprint(c.name))
	}
}

func TestResolve(t *testing.T) {
	both := map[string]int{"v1": 4, "v2": 4}
	running := State{OrderRevision: 5, Baseline: "v1", Target: "v2", Stage: Canary, Share: 0.05}
	end := func(s State, stage Stage) *State {
		s.Stage = stage
		return &s
	}
	for _, c := range []struct {
		name         string
		order        *Order
		stored       *State
		previous     State
		serverCounts map[string]int
		want         State
	}{
		{"no order", nil, nil, State{}, map[string]int{"v1": 4}, State{Baseline: "v1"}},
		{"servers of a version without an order", nil, nil, State{Baseline: "v1"}, map[string]int{"v1": 1, "v2": 4}, State{Baseline: "v1"}},
		{"all servers were replaced without an order", nil, nil, State{Baseline: "v1"}, map[string]int{"v2": 4}, State{Baseline: "v2"}},
		{"an order", &Order{Revision: 5, Target: "v2"}, nil, State{Baseline: "v1"}, both, State{OrderRevision: 5, Baseline: "v1", Target: "v2", Stage: Pending}},
		{"an order before any server is known", &Order{Revision: 5, Target: "v2"}, nil, State{}, nil, State{OrderRevision: 5, Target: "v2", Stage: Pending}},
		{"servers of the target register", &Order{Revision: 5, Target: "v2"}, nil, State{OrderRevision: 5, Target: "v2", Stage: Pending}, both, State{OrderRevision: 5, Baseline: "v1", Target: "v2", Stage: Pending}},
		{"an order for the current version", &Order{Revision: 5, Target: "v1"}, nil, State{Baseline: "v1"}, map[string]int{"v1": 4}, State{OrderRevision: 5, Baseline: "v1", Target: "v1", Stage: Pending}},
		{"a daemon that starts during the roll-out", &Order{Revision: 5, Target: "v2"}, &running, State{}, both, running},
		{"a daemon with a newer state from another daemon", &Order{Revision: 5, Target: "v2"}, &running, *end(running, RolledBack), both, *end(running, RolledBack)},
		{"a daemon that starts after the end", &Order{Revision: 5, Target: "v2"}, end(running, Completed), State{}, both, *end(running, Completed)},
		{"another target during the roll-out", &Order{Revision: 9, Target: "v3"}, &running, running, both, State{OrderRevision: 9, Baseline: "v1", Target: "v3", Stage: Pending}},
		{"back to the baseline during the roll-out", &Order{Revision: 9, Target: "v1"}, &running, running, both, State{OrderRevision: 9, Baseline: "v1", Target: "v1", Stage: Pending}},
		{"after a completed roll-out", &Order{Revision: 9, Target: "v3"}, end(running, Completed), State{}, both, State{OrderRevision: 9, Baseline: "v2", Target: "v3", Stage: Pending}},
		{"after a rollback", &Order{Revision: 9, Target: "v2"}, end(running, RolledBack), State{}, both, State{OrderRevision: 9, Baseline: "v1", Target: "v2", Stage: Pending}},
		{"the same order again", &Order{Revision: 9, Target: "v2"}, &running, running, both, State{OrderRevision: 9, Baseline: "v1", Target: "v2", Stage: Canary, Share: 0.05}},
		{"written again after a rollback that the store lost", &Order{Revision: 9, Renumbers: 5, Target: "v2"}, nil, *end(running, RolledBack), both, State{OrderRevision: 9, Baseline: "v1", Target: "v2", Stage: RolledBack, Share: 0.05}},
		{"written again after a completed roll-out", &Order{Revision: 9, Renumbers: 4, Target: "v2"}, end(running, Completed), State{}, both, State{OrderRevision: 9, Baseline: "v1", Target: "v2", Stage: Completed, Share: 0.05}},
		{"written again, of a roll-out that is not known here", &Order{Revision: 9, Renumbers: 6, Target: "v2"}, nil, State{OrderRevision: 5, Baseline: "v1", Target: "v1", Stage: Completed}, both, State{OrderRevision: 9, Baseline: "v1", Target: "v2", Stage: Pending}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Resolve(c.order, c.stored, c.previous, c.serverCounts)
			must.Eq(t, c.want, got)
			must.Eq(t, got, Resolve(c.order, c.stored, got, c.serverCounts))
		})
	}
}

// Requests of rare routes are selected more often, while the total stays close to the share.
func TestRareRoutesAreSampledMoreOften(t *testing.T) {
	var m RouteCounter
	common, rare := 0.0, 0.0
	for n := range 1000 {
		if n%20 == 0 {
			rare += m.countAndWeigh("rare")
		} else {
			common += m.countAndWeigh("often")
		}
	}
	must.Between(t, 130, rare, 150)
	must.Between(t, 700, common+rare, 1000)
	for n := range 2 * maxCountedRoutes {
		must.LessEq(t, maxRouteWeight, m.countAndWeigh(string(rune('a'+n))))
	}
}

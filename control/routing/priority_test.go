package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func priorityConfig(routes ...*Route) *Config {
	accounts := map[string]*Account{
		"k1": {Name: "mill", Priority: 1}, "k2": {Name: "depot", Priority: 0}, "k3": {Name: "shop", Priority: -1},
	}
	return New(1, Limits{}, nil, routes, accounts)
}

func streamRoute(name string, priority int) *Route {
	return &Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: Stream, Priority: priority, Targets: []Target{{Service: "llm", Weight: 1}}}
}

// An account that uses an urgent and a less urgent route sends both with the account's own priority.
// Without the routes' priorities, engines serve its requests in the order of arrival.
func TestRankOrdersRoutesWithinAccountPriority(t *testing.T) {
	urgent, usual := streamRoute("urgent", 0), streamRoute("usual", 2)
	c := priorityConfig(urgent, usual)
	must.True(t, c.HasPriorities("llm"))
	mill, depot, shop := c.Account("k1"), c.Account("k2"), c.Account("k3")
	for _, w := range []struct {
		route   *Route
		account *Account
		want    int
	}{
		{urgent, depot, 0},
		{urgent, nil, 0},
		{urgent, shop, 0},
		{usual, depot, 1},
		{urgent, mill, 2},
		{usual, mill, 3},
		{usual, nil, 4},
		{usual, shop, 4},
	} {
		must.Eq(t, w.want, c.Rank("llm", w.route, w.account), must.Sprint(w.route.Name, w.account))
	}
}

// Services whose stream routes have one priority keep it, whatever accounts and other routes there
// are: their requests are treated as before.
func TestServiceWithoutPriorities(t *testing.T) {
	one, two := streamRoute("one", 1), streamRoute("two", 1)
	probe := streamRoute("probe", 0)
	probe.Kind = Idempotent
	c := priorityConfig(one, two, probe)
	must.False(t, c.HasPriorities("llm"))
	must.False(t, c.HasPriorities("unknown"))
	must.Eq(t, 1, c.Rank("llm", one, c.Account("k1")))
	must.Eq(t, 0, c.Rank("llm", two, c.Account("k2")))
	must.Eq(t, 1, c.Rank("llm", two, c.Account("k3")))
}

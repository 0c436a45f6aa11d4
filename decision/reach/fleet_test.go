package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fleetResult is what the daemons of a fleet did while some of them had no path to any server.
type fleetResult struct {
	connections, failed int
	asked               int // peers asked, over all connections
	mostThroughOnePeer  int
	states              int // largest number of peers that one daemon keeps a state of
}

// playFleet lets the daemons with an index below cut open connections through peers for ten seconds,
// perSecond each. A peer without a path refuses.
func playFleet(daemons, cut int, perSecond float64, zones int) (r fleetResult) {
	random := rand.New(rand.NewPCG(uint64(daemons), uint64(cut)))
	peers := make([]Peer, daemons)
	for n := range peers {
		peers[n] = Peer{ID: fmt.Sprint("vm-", n), Zone: fmt.Sprint("z", n%zones)}
	}
	tables := make([]PeerTable, cut)
	through := make([]int, daemons)
	for ms := range 10_000 {
		now := at(ms)
		for d := range cut {
			if random.Float64() >= perSecond/1000 {
				continue
			}
			r.connections++
			asked := map[string]bool{peers[d].ID: true}
			served := false
			for len(asked) <= MaxAsked && !served {
				i := tables[d].Choose(now, peers, peers[d].Zone, func(id string) bool { return asked[id] }, random.IntN)
				if i < 0 {
					break
				}
				r.asked++
				asked[peers[i].ID] = true
				if served = i >= cut; served {
					tables[d].RecordSuccess(peers[i].ID)
					through[i]++
				} else {
					tables[d].RecordFailure(now, peers[i].ID)
				}
			}
			if !served {
				r.failed++
			}
			r.states = max(r.states, len(tables[d].states))
		}
	}
	for _, n := range through {
		r.mostThroughOnePeer = max(r.mostThroughOnePeer, n)
	}
	return r
}

// A zone or half of the daemons lose their paths: connections must find a peer, none of the peers
// may get everything, and what a connection costs must not grow with the fleet.
func TestConnectionsThroughPeersByFleetSize(t *testing.T) {
	const zones = 3
	for _, c := range []struct {
		daemons, cut int
		perSecond    float64
	}{
		{7, 4, 13}, {7, 6, 13}, {61, 30, 13}, {295, 147, 3}, {984, 492, 0.5}, {1968, 984, 0.5},
	} {
		t.Run(fmt.Sprint(c.cut, " of ", c.daemons), func(t *testing.T) {
			r := playFleet(c.daemons, c.cut, c.perSecond, zones)
			t.Logf("%+v", r)
			all := float64(r.connections) * float64(c.daemons) / float64(c.cut)
			must.LessEq(t, 10+all/50, float64(r.failed))
			must.LessEq(t, 2.5*float64(r.connections), float64(r.asked))
			fair := float64(r.connections) / float64(c.daemons-c.cut)
			must.LessEq(t, 2*fair+20, float64(r.mostThroughOnePeer))
			must.LessEq(t, maxIdleStates+1, r.states)
		})
	}
}

// The peer with the fewest connections is preferred, and one of the same zone among equals.
func TestChoiceOfAPeer(t *testing.T) {
	peers := []Peer{{ID: "a", Zone: "x"}, {ID: "b", Zone: "y"}, {ID: "c", Zone: "y"}}
	none := func(string) bool { return false }
	first := func(int) int { return 0 }
	var table PeerTable
	must.Eq(t, 1, table.Choose(at(0), peers, "y", none, first))
	table.Begin("b")
	must.Eq(t, 2, table.Choose(at(0), peers, "y", none, first))
	table.Begin("c")
	must.Eq(t, 0, table.Choose(at(0), peers, "y", none, first))
	table.RecordFailure(at(0), "a")
	must.Eq(t, 1, table.Choose(at(0), peers, "y", none, first))
	must.Eq(t, -1, table.Choose(at(0), peers, "y", func(id string) bool { return id != "a" }, first))
	must.Eq(t, 0, table.Choose(at(1000), peers, "y", func(id string) bool { return id != "a" }, first))
	table.End("b")
	table.End("c")
	leaving := []Peer{{ID: "d", Zone: "x", Leaving: true}, {ID: "e", Zone: "y"}}
	must.Eq(t, 1, table.Choose(at(0), leaving, "x", none, first))
	must.Eq(t, 0, table.Choose(at(0), leaving, "x", func(id string) bool { return id == "e" }, first))
	must.MapLen(t, 1, table.states)
}

// A peer that fails again and again is skipped for longer, up to a bound, until it connects.
func TestFailingPeerIsSkippedLonger(t *testing.T) {
	peers, none := []Peer{{ID: "a"}}, func(string) bool { return false }
	var table PeerTable
	now := at(0)
	var skipped []time.Duration
	for range 5 {
		table.RecordFailure(now, "a")
		failedAt := now
		for table.Choose(now, peers, "", none, func(int) int { return 0 }) < 0 {
			now = now.Add(100 * time.Millisecond)
		}
		skipped = append(skipped, now.Sub(failedAt))
	}
	must.Eq(t, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second}, skipped)
	table.RecordSuccess("a")
	table.RecordFailure(now, "a")
	must.Eq(t, 0, table.Choose(now.Add(time.Second), peers, "", none, func(int) int { return 0 }))
}

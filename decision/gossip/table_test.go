package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func record(i, zones int) Record {
	return Record{ID: fmt.Sprintf("vm%03d", i), Zone: fmt.Sprint("z", i%zones), PeerAddr: fmt.Sprint(i), Incarnation: 1}
}

// full returns the table of member i in a fleet that knows itself.
func full(i, n, zones int) *Table {
	t := New(record(i, zones), DefaultConfig(), rand.New(rand.NewPCG(uint64(i), 1)))
	for j := range n {
		if j != i {
			t.Merge([]Record{record(j, zones)}, start)
		}
	}
	return t
}

// A member that nobody watches could die unseen. Each one must be watched by
// three members of its own zone, and the load of watching be even.
func TestEveryMemberIsWatched(t *testing.T) {
	const zones = 7
	for _, n := range []int{7, 30, 390} {
		watched := make(map[string]int)
		most := 0
		for i := range n {
			neighbours := full(i, n, zones).Neighbours()
			most = max(most, len(neighbours))
			for _, id := range neighbours {
				watched[id]++
			}
		}
		least := n
		for i := range n {
			least = min(least, watched[record(i, zones).ID])
		}
		t.Logf("%d daemons: watched by at least %d, watching at most %d", n, least, most)
		must.LessEq(t, 5, most)
		must.Positive(t, least)
		if n == 390 {
			must.GreaterEq(t, 3, least)
		}
	}
}

// A zone dies whole. Its members can't report each other, so members of other
// zones must watch some of them, and all of them as those are given up.
func TestDeadZoneIsWatchedFromOutside(t *testing.T) {
	const n, zones = 70, 7
	tables := make(map[int]*Table)
	for i := range n {
		if i%zones != 0 {
			tables[i] = full(i, n, zones)
		}
	}
	rounds := 0
	for left := n / zones; left > 0; rounds++ {
		must.Less(t, n, rounds)
		var gone []Record
		for _, table := range tables {
			for _, id := range table.Neighbours() {
				if rec, _ := table.Get(id); rec.Zone == "z0" && !slices.ContainsFunc(gone, func(r Record) bool { return r.ID == id }) {
					rec.State = Gone
					gone = append(gone, rec)
				}
			}
		}
		for _, table := range tables {
			table.Merge(gone, start)
		}
		left -= len(gone)
	}
	t.Logf("all seen after %d rounds", rounds)
}

// Claims arrive in any order and more than once. Whoever has heard the same
// claims must believe the same, and have the same hash.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var news []Record
		for range 60 {
			rec := record(1+rng.IntN(5), 2)
			rec.Incarnation, rec.Refutation = 1+uint64(rng.IntN(2)), uint32(rng.IntN(3))
			rec.State = State(rng.IntN(4))
			news = append(news, rec)
		}
		for i := 1; i < 6; i++ { // everybody is known, as after a join
			news = append(news, record(i, 2))
		}
		a, b := full(0, 6, 2), full(0, 6, 2)
		a.Merge(news, start)
		rng.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
		b.Merge(append(news, news...), start)
		must.Eq(t, a.Members(), b.Members(), must.Sprint("seed ", seed))
		must.Eq(t, a.RootHash(), b.RootHash(), must.Sprint("seed ", seed))
	}
}

// This daemon was paused for a minute with suspicions running. The suspects
// answered meanwhile into sockets it did not read; it must not give them up.
func TestOwnPauseGivesNobodyUp(t *testing.T) {
	table := full(0, 3, 1)
	now := start
	table.Tick(now)
	_, ok := table.RecordProbeFailure(record(1, 1), now)
	must.True(t, ok)
	must.SliceEmpty(t, table.Tick(now.Add(time.Minute)))
	rec, _ := table.Get("vm001")
	must.Eq(t, Suspect, rec.State)
	now = now.Add(time.Minute)
	var changes []Change
	for range 4 {
		now = now.Add(2 * time.Second)
		changes = append(changes, table.Tick(now)...)
	}
	must.Len(t, 1, changes)
	must.Eq(t, ReasonSuspicionTimeout, changes[0].Reason)
}

// A claim that this daemon is gone is contradicted so that it loses wherever
// it got to; a claim about a newer process under its id is not.
func TestRefutation(t *testing.T) {
	table := full(0, 3, 1)
	claim := record(0, 1)
	claim.State, claim.Refutation = Gone, 4
	changes := table.Merge([]Record{claim}, start)
	must.Len(t, 1, changes)
	must.True(t, table.Self().Supersedes(claim))
	must.Eq(t, Alive, table.Self().State)
	must.Eq(t, 1, table.Self().Incarnation)

	claim.Incarnation = 2
	before := table.Self()
	changes = table.Merge([]Record{claim}, start)
	must.Eq(t, ReasonSuperseded, changes[0].Reason)
	must.Eq(t, before, table.Self())
}

// A suspect that two reads of the list in a row no longer show needs no more time.
func TestUnlistedSuspectIsGone(t *testing.T) {
	table := full(0, 3, 1)
	table.Tick(start)
	table.RecordProbeFailure(record(1, 1), start)
	rows := []ListedVM{{ID: "vm000"}, {ID: "vm002"}}
	table.SetVMList(rows)
	must.SliceEmpty(t, table.Tick(start.Add(time.Second)))
	table.SetVMList(rows)
	changes := table.Tick(start.Add(2 * time.Second))
	must.Len(t, 1, changes)
	must.Eq(t, ReasonUnlisted, changes[0].Reason)
}

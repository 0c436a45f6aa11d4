package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var epoch = time.Unix(1000, 0)

func record(i, zones int) Record {
	return Record{ID: fmt.Sprintf("vm%03d", i), Zone: fmt.Sprint("z", i%zones), PeerAddr: fmt.Sprint(i), Incarnation: 1}
}

// newFullTable returns the table of member i in a fleet of n members that all know each other.
func newFullTable(i, n, zones int) *Table {
	t := New(record(i, zones), DefaultConfig(), rand.New(rand.NewPCG(uint64(i), 1)))
	for j := range n {
		if j != i {
			t.Merge([]Record{record(j, zones)}, epoch)
		}
	}
	return t
}

// A member that no other member watches could die undetected. Each member must be watched by
// three members of its own zone, and the number of members that each one watches must be even.
func TestEveryMemberIsWatched(t *testing.T) {
	const zones = 7
	for _, n := range []int{7, 30, 390} {
		watched := make(map[string]int)
		maxWatching := 0
		for i := range n {
			neighbours := newFullTable(i, n, zones).Neighbours()
			maxWatching = max(maxWatching, len(neighbours))
			for _, id := range neighbours {
				watched[id]++
			}
		}
		minWatched := n
		for i := range n {
			minWatched = min(minWatched, watched[record(i, zones).ID])
		}
		t.Logf("%d daemons: watched by at least %d, watching at most %d", n, minWatched, maxWatching)
		must.LessEq(t, 5, maxWatching)
		must.Positive(t, minWatched)
		if n == 390 {
			must.GreaterEq(t, 3, minWatched)
		}
	}
}

// A whole zone is lost. Its members cannot report each other, so members of other zones must
// watch some of them, and eventually all of them as the watched ones are declared gone.
func TestDeadZoneIsWatchedFromOutside(t *testing.T) {
	const n, zones = 70, 7
	tables := make(map[int]*Table)
	for i := range n {
		if i%zones != 0 {
			tables[i] = newFullTable(i, n, zones)
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
			table.Merge(gone, epoch)
		}
		left -= len(gone)
	}
	t.Logf("all detected after %d rounds", rounds)
}

// Claims arrive in any order and more than once. Tables that received the same claims must
// have the same view and the same hash.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var claims []Record
		for range 60 {
			rec := record(1+rng.IntN(5), 2)
			rec.Incarnation, rec.Refutation = 1+uint64(rng.IntN(2)), uint32(rng.IntN(3))
			rec.State = State(rng.IntN(4))
			claims = append(claims, rec)
		}
		for i := 1; i < 6; i++ { // every member is known, as after a join
			claims = append(claims, record(i, 2))
		}
		a, b := newFullTable(0, 6, 2), newFullTable(0, 6, 2)
		a.Merge(claims, epoch)
		rng.Shuffle(len(claims), func(i, j int) { claims[i], claims[j] = claims[j], claims[i] })
		b.Merge(append(claims, claims...), epoch)
		must.Eq(t, a.Members(), b.Members(), must.Sprint("seed ", seed))
		must.Eq(t, a.RootHash(), b.RootHash(), must.Sprint("seed ", seed))
	}
}

// This daemon was paused for a minute while suspicions were running. The suspects' refutations
// wait unread in its sockets, so it must not declare the suspects gone.
func TestOwnPauseRestartsSuspicions(t *testing.T) {
	table := newFullTable(0, 3, 1)
	now := epoch
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

// A claim that this daemon is gone must be refuted with a record that supersedes it
// everywhere. A claim about a newer process under the same VM id must not be refuted.
func TestRefutation(t *testing.T) {
	table := newFullTable(0, 3, 1)
	claim := record(0, 1)
	claim.State, claim.Refutation = Gone, 4
	changes := table.Merge([]Record{claim}, epoch)
	must.Len(t, 1, changes)
	must.True(t, table.Self().Supersedes(claim))
	must.Eq(t, Alive, table.Self().State)
	must.Eq(t, 1, table.Self().Incarnation)

	claim.Incarnation = 2
	before := table.Self()
	changes = table.Merge([]Record{claim}, epoch)
	must.Eq(t, ReasonSuperseded, changes[0].Reason)
	must.Eq(t, before, table.Self())
}

// A suspect that is missing from two consecutive reads of the VM list is gone before its
// suspicion times out.
func TestUnlistedSuspectIsGone(t *testing.T) {
	table := newFullTable(0, 3, 1)
	table.Tick(epoch)
	table.RecordProbeFailure(record(1, 1), epoch)
	rows := []ListedVM{{ID: "vm000"}, {ID: "vm002"}}
	table.SetVMList(rows)
	must.SliceEmpty(t, table.Tick(epoch.Add(time.Second)))
	table.SetVMList(rows)
	changes := table.Tick(epoch.Add(2 * time.Second))
	must.Len(t, 1, changes)
	must.Eq(t, ReasonUnlisted, changes[0].Reason)
}

package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time so many milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// A dead server must not make its daemon take a detour: only a peer's connection proves a lost path.
func TestUnreachableServerIsNoProofOfALostPath(t *testing.T) {
	var tr Tracker
	for n := range 20 {
		address := fmt.Sprint("s", n)
		tr.RecordUnreachable(at(0), address)
		must.False(t, tr.MayAskPeer(at(999), address))
		must.True(t, tr.MayAskPeer(at(1000), address))
		must.Eq(t, Direct, tr.Choose(at(1), address))
	}
	must.False(t, tr.IsLost())
}

// One lost packet must not lead connections through a peer; a refused connection is proof enough.
func TestPathOfOneServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		strikes []Failure
		path    Path
	}{
		{"none", nil, Direct},
		{"one silent", []Failure{Silent}, Direct},
		{"two silent", []Failure{Silent, Silent}, ViaPeer},
		{"one refused", []Failure{Refused}, ViaPeer},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tr Tracker
			for _, how := range c.strikes {
				must.False(t, tr.RecordProof(at(0), "a", how))
			}
			must.Eq(t, c.path, tr.Choose(at(1), "a"))
			must.Eq(t, Direct, tr.Choose(at(1), "b"))
		})
	}
}

// Proofs for two servers lead connections to all servers through peers, one trial per interval ends
// it, and the servers that were known as lost are tried at once.
func TestLossOfAllPathsAndItsEnd(t *testing.T) {
	var tr Tracker
	must.False(t, tr.RecordProof(at(0), "a", Refused))
	must.True(t, tr.RecordProof(at(2), "b", Refused))
	must.Eq(t, ViaPeer, tr.Choose(at(3), "c"))
	trials := 0
	for ms := 10; ms < 5010; ms += 10 {
		if tr.Choose(at(ms), fmt.Sprint("s", ms)) == Trial {
			trials++
		}
	}
	must.Between(t, 9, trials, 10)
	lostFor, restored := tr.RecordDirect(at(6000), "c")
	must.True(t, restored)
	must.Eq(t, 5998*time.Millisecond, lostFor)
	must.Eq(t, Direct, tr.Choose(at(6001), "d"))
	must.Eq(t, Trial, tr.Choose(at(6001), "a"))
	must.Eq(t, ViaPeer, tr.Choose(at(6002), "a"))
}

// While some servers are within reach, the paths to the others are judged one by one.
func TestReachableServersAreNotReachedThroughPeers(t *testing.T) {
	var tr Tracker
	for n := range 50 {
		tr.RecordDirect(at(n*20), "near")
		must.False(t, tr.RecordProof(at(n*20+5), fmt.Sprint("far", n), Refused))
		must.Eq(t, Direct, tr.Choose(at(n*20+6), "near"))
		must.Eq(t, ViaPeer, tr.Choose(at(n*20+6), fmt.Sprint("far", n)))
	}
}

// A path that comes and goes must not be tried again and again at the first interval.
func TestTrialsOfAnUnstablePathBecomeRare(t *testing.T) {
	var tr Tracker
	now := at(0)
	var waits []time.Duration
	for range 6 {
		tr.RecordProof(now, "a", Refused)
		must.True(t, tr.RecordProof(now, "b", Refused))
		lostAt := now
		for tr.Choose(now, "c") != Trial {
			now = now.Add(10 * time.Millisecond)
		}
		waits = append(waits, now.Sub(lostAt))
		tr.RecordDirect(now, "c")
		now = now.Add(time.Second)
	}
	must.Eq(t, []time.Duration{500, 1000, 2000, 4000, 4000, 4000}, []time.Duration{
		waits[0] / time.Millisecond, waits[1] / time.Millisecond, waits[2] / time.Millisecond,
		waits[3] / time.Millisecond, waits[4] / time.Millisecond, waits[5] / time.Millisecond,
	})
}

// The state must stay small while servers come and go.
func TestStateIsBounded(t *testing.T) {
	var tr Tracker
	for n := range 20_000 {
		tr.RecordUnreachable(at(n*1000), fmt.Sprint("s", n))
	}
	must.LessEq(t, maxEntries, len(tr.servers))
}

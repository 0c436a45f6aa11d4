package reach

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/reach"
)

// A daemon that shuts down removes its entry at once. It stays a peer for a moment, as the last choice.
func TestDepartedDaemonIsAPeerForAMoment(t *testing.T) {
	now := time.Now()
	both := []routing.VM{{ID: "self", PeerAddress: "s:1"}, {ID: "a", PeerAddress: "a:1"}, {ID: "b", PeerAddress: "b:1"}}
	one := []routing.VM{both[0], both[1]}
	var l peerList
	a, b := reach.Peer{ID: "a", Address: "a:1"}, reach.Peer{ID: "b", Address: "b:1"}
	must.Eq(t, []reach.Peer{a, b}, l.update(now, both, "self"))
	b.Leaving = true
	must.Eq(t, []reach.Peer{a, b}, l.update(now, one, "self"))
	must.Eq(t, []reach.Peer{a, b}, l.update(now.Add(departedTime-1), one, "self"))
	must.Eq(t, []reach.Peer{a}, l.update(now.Add(departedTime), one, "self"))
	b.Leaving = false
	must.Eq(t, []reach.Peer{a, b}, l.update(now.Add(departedTime), both, "self"))
}

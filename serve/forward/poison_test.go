package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/peer/link"
)

// Guards against a poison request that is never refused, because the daemons that count its crashes make
// each other forget what they have counted.
func TestTrackersKeepTheirCrashCounts(t *testing.T) {
	for name, order := range map[string][3]int{"by turns": {0, 1, 0}, "one first": {0, 0, 1}, "the other last": {1, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, plainRoutes(), func(w *testCluster) {
				other := w.addDaemon("vm-2")
				other.peers.dialer = link.NewDialerWithClient(&http.Client{Transport: peerDaemons{"vm-1:1": w.handler}})
				daemons := []*Handler{w.handler, other}
				in := &inbound{digests: []string{"digest"}}
				for crash, n := range order {
					daemons[n].poisonRegistry.recordCrash(w.t.Context(), in, routing.Incarnation{ID: "server-" + strconv.Itoa(crash)})
					time.Sleep(time.Second)
				}
				for _, d := range daemons {
					d.poisonRegistry.mu.Lock()
					mark := d.poisonRegistry.mark("digest")
					d.poisonRegistry.mu.Unlock()
					must.Eq(w.t, poison.Refused, mark)
				}
			})
		})
	}
}

// Guards against a lookup that is refused because all servers of its service crashed while it ran at each of them.
func TestCrashOfWholeServiceIsNoEvidence(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		slow := func(rw http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(time.Second):
			case <-r.Context().Done():
			}
			respondProven("answer")(rw, r)
		}
		var servers []*fakeServer
		for _, zone := range []string{"a", "b", "c"} {
			servers = append(servers, w.add("old-"+zone, "desk", zone, slow))
		}
		for range 12 {
			w.background(func() { w.request("POST", "/again/x", callerHeaders, "") })
		}
		time.Sleep(500 * time.Millisecond)
		for _, s := range servers {
			must.Positive(w.t, s.requestCount())
			w.crash(s)
		}
		time.Sleep(5 * time.Second)
		for _, zone := range []string{"a", "b", "c"} {
			w.add("new-"+zone, "desk", zone, respondProven("answer"))
			w.remove("server/old-" + zone)
		}
		time.Sleep(time.Second)
		must.Eq(w.t, http.StatusOK, w.request("POST", "/again/x", callerHeaders, "").status)
	})
}

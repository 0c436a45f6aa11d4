package feed

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// lineSchema stores a server as its address, with "leaving " before it, and a
// configuration as its version in letters.
type lineSchema struct{}

func (lineSchema) ConfigKey() string { return "config" }

func (lineSchema) DecodeConfig(raw []byte) (*routing.Config, error) {
	return routing.New(int64(len(raw)), routing.Limits{}, nil, nil, nil), nil
}

func (lineSchema) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "server/") }

func (lineSchema) DecodeServer(id string, raw []byte) (routing.Server, error) {
	address, leaving := strings.CutPrefix(string(raw), "leaving ")
	return routing.Server{ID: id, Service: "s", Address: address, Leaving: leaving}, nil
}

func put(key, value string, version int64) store.Event {
	return store.Event{Kind: store.Put, KV: store.KV{Key: key, Value: []byte(value), Version: version}}
}

func gone(key string) store.Event {
	return store.Event{Kind: store.Deleted, KV: store.KV{Key: key, Version: 100}}
}

func ids(t *table) string {
	var list []string
	for _, s := range t.view().Servers["s"] {
		list = append(list, s.ID)
	}
	return strings.Join(list, " ")
}

// A server crashes and starts again at its address a second later. Its old
// entry stays for three heartbeats: every request sent by it would be turned
// away by the new server, and the attempt counted.
func TestRestartedServerSupersedesItsOldEntry(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	tab.change(0, []store.Event{put("server/old", "a:1", 1), put("server/other", "b:1", 2)})
	tab.change(0, []store.Event{put("server/new", "a:1", 3)})
	must.Eq(t, "new other", ids(tab))
	tab.change(0, []store.Event{put("server/old", "a:1", 4)}) // a heartbeat that was late
	must.Eq(t, "new other", ids(tab))
	tab.change(0, []store.Event{gone("server/new")})
	must.Eq(t, "old other", ids(tab))
}

// The store is away for longer than leases last. At its return all entries are
// gone for a moment although the servers live; a server that left before, and
// one that does not write again, must not be used on.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	second := time.Second
	tab.reached(10*second, 10*second)
	tab.change(10*second, []store.Event{put("server/1", "a:1", 1), put("server/2", "b:1", 2), put("server/3", "leaving c:1", 3)})
	tab.reached(16*second, 16*second)
	tab.change(16*second, []store.Event{gone("server/1"), gone("server/2"), gone("server/3")})
	must.Eq(t, "1 2", ids(tab))
	tab.change(17*second, []store.Event{put("server/1", "a:1", 9)})
	must.True(t, tab.expire(16*second+doubtTime))
	must.Eq(t, "1", ids(tab))
}

// The leases of all daemons ran out in an outage. Until they have registered
// again each daemon still counts them, and after that only those that did.
func TestDaemonsThatLapsedInAnOutage(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	second := time.Second
	tab.reached(10*second, 10*second)
	vm := func(id string) store.Event { return put(vmPrefix+id, `{"id":"`+id+`"}`, 1) }
	tab.change(10*second, []store.Event{vm("1"), vm("2")})
	tab.reached(16*second, 16*second)
	tab.change(16*second, []store.Event{gone(vmPrefix + "1"), gone(vmPrefix + "2")})
	must.SliceLen(t, 2, tab.view().VMs)
	tab.change(17*second, []store.Event{vm("1")})
	tab.expire(16*second + reregister)
	must.SliceLen(t, 1, tab.view().VMs)
	must.Eq(t, "1", tab.view().VMs[0].ID)
}

// Without an outage a removal counts at once.
func TestRemovalCountsAtOnce(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	for s := time.Second; s < 5*time.Second; s += time.Second / 2 {
		tab.reached(s, s)
	}
	tab.change(5*time.Second, []store.Event{put("server/1", "a:1", 1), gone("server/1")})
	must.Eq(t, "", ids(tab))
}

// A delayed answer brings an older configuration; the newer one stays.
func TestConfigurationNeverGoesBack(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	tab.change(0, []store.Event{put("config", "vvv", 1)})
	tab.change(0, []store.Event{put("config", "vv", 2)})
	must.Eq(t, int64(3), tab.view().Config.Version)
}

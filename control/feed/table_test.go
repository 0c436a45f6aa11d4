package feed

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// textSchema encodes a server as its address. The address may be preceded by "leaving ", before
// that by the start of the incarnation as "@N ", and before that by "other " for a service that is
// not configured. "bad" cannot be decoded. The version of a configuration is the length of its
// value.
type textSchema struct{ OwnRollouts }

func (textSchema) ConfigKey() string { return "config" }

func (textSchema) DecodeConfig(raw []byte) (*routing.Config, error) {
	return routing.New(int64(len(raw)), routing.Limits{}, []*routing.Service{{Name: "s"}}, nil, nil), nil
}

func (textSchema) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "server/") }

func (textSchema) DecodeServer(id string, raw []byte) (routing.Server, error) {
	text := string(raw)
	if text == "bad" {
		return routing.Server{}, errors.New("field address is missing")
	}
	s := routing.Server{ID: id, Service: "s"}
	var other bool
	if text, other = strings.CutPrefix(text, "other "); other {
		s.Service = "unknown"
	}
	if born, rest, found := strings.Cut(strings.TrimPrefix(text, "@"), " "); found && strings.HasPrefix(text, "@") {
		text = rest
		s.StartedAtMS, _ = strconv.ParseInt(born, 10, 64)
	}
	s.Address, s.Draining = strings.CutPrefix(text, "leaving ")
	return s, nil
}

func putEvent(key, value string, version int64) store.Event {
	return store.Event{Kind: store.Put, KV: store.KV{Key: key, Value: []byte(value), Version: version}}
}

func deleteEvent(key string, version int64) store.Event {
	return store.Event{Kind: store.Deleted, KV: store.KV{Key: key, Version: version}}
}

func serverIDs(t *table) string {
	var list []string
	for s := range t.view().Servers["s"].All() {
		list = append(list, s.ID)
	}
	return strings.Join(list, " ")
}

// first returns the first usable server of the view.
func first(v *View) routing.Server {
	for s := range v.Servers["s"].All() {
		return s
	}
	return routing.Server{}
}

// A server crashes and restarts at the same address a second later. Its old entry remains for three
// heartbeats. The new server would reject every request sent by the old entry, and each would count
// as an attempt.
func TestRestartedServerSupersedesItsOldEntry(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.applyEvents(0, []store.Event{putEvent("server/old", "a:1", 1), putEvent("server/other", "b:1", 2)})
	tab.applyEvents(0, []store.Event{putEvent("server/new", "a:1", 3)})
	must.Eq(t, "new other", serverIDs(tab))
	tab.applyEvents(0, []store.Event{putEvent("server/old", "a:1", 4)}) // a delayed heartbeat
	must.Eq(t, "new other", serverIDs(tab))
	tab.applyEvents(0, []store.Event{deleteEvent("server/new", 5)})
	must.Eq(t, "old other", serverIDs(tab))
}

// The store is unreachable for longer than the leases last. When it returns, all entries are
// missing for a moment although the servers are alive. A server that was leaving before, and one
// that does not register again, must not stay in use.
func TestServerEntriesExpiredDuringOutage(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	second := time.Second
	tab.recordAnswer(10*second, 10*second)
	tab.applyEvents(10*second, []store.Event{putEvent("server/1", "a:1", 1), putEvent("server/2", "b:1", 2), putEvent("server/3", "leaving c:1", 3)})
	tab.recordAnswer(16*second, 16*second)
	tab.applyEvents(16*second, []store.Event{deleteEvent("server/1", 4), deleteEvent("server/2", 4), deleteEvent("server/3", 4)})
	must.Eq(t, "1 2", serverIDs(tab))
	tab.applyEvents(17*second, []store.Event{putEvent("server/1", "a:1", 9)})
	must.True(t, tab.expire(16*second+serverGracePeriod))
	must.Eq(t, "1", serverIDs(tab))
}

// The leases of all daemons expire during an outage. Each daemon still counts the others until they
// have had time to register again, and after that only those that did.
func TestVMEntriesExpiredDuringOutage(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	second := time.Second
	tab.recordAnswer(10*second, 10*second)
	vm := func(id string, version int64) store.Event {
		return putEvent(vmPrefix+id, `{"id":"`+id+`","address":"a:`+id+`"}`, version)
	}
	tab.applyEvents(10*second, []store.Event{vm("1", 1), vm("2", 2)})
	tab.recordAnswer(16*second, 16*second)
	tab.applyEvents(16*second, []store.Event{deleteEvent(vmPrefix+"1", 3), deleteEvent(vmPrefix+"2", 3)})
	must.SliceLen(t, 2, tab.view().VMs)
	tab.applyEvents(17*second, []store.Event{vm("1", 4)})
	tab.expire(16*second + reregisterWindow)
	must.SliceLen(t, 1, tab.view().VMs)
	must.Eq(t, "1", tab.view().VMs[0].ID)
}

// Without an outage a removal takes effect at once.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	for s := time.Second; s < 5*time.Second; s += time.Second / 2 {
		tab.recordAnswer(s, s)
	}
	tab.applyEvents(5*time.Second, []store.Event{putEvent("server/1", "a:1", 1), deleteEvent("server/1", 2)})
	must.Eq(t, "", serverIDs(tab))
}

// A delayed answer holds an older configuration; the newer one stays in force.
func TestOlderConfigIsIgnored(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.applyEvents(0, []store.Event{putEvent("config", "vvv", 1)})
	tab.applyEvents(0, []store.Event{putEvent("config", "vv", 2)})
	must.Eq(t, int64(3), tab.view().Config.Version)
}

// A server restarts under its id. The view must show the later incarnation, so that callers are not
// told that the server still has their answers. A delayed write of the previous incarnation,
// leaving or not, must not undo that.
func TestLateWriteOfEarlierIncarnationIsIgnored(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.applyEvents(0, []store.Event{putEvent("server/1", "@10 a:1", 1)})
	tab.applyEvents(0, []store.Event{putEvent("server/1", "@20 a:1", 2)})
	must.Eq(t, routing.Incarnation{ID: "1", StartedAtMS: 20}, first(tab.view()).Incarnation())
	for _, late := range []string{"@10 a:1", "@10 leaving a:1", "@10 b:1"} {
		tab.applyEvents(0, []store.Event{putEvent("server/1", late, 3)})
		must.Eq(t, routing.Incarnation{ID: "1", StartedAtMS: 20}, first(tab.view()).Incarnation())
		must.Eq(t, "a:1", first(tab.view()).Address)
		must.False(t, tab.view().HasDeparted("1"))
	}
}

// A server leaves and restarts under its id after its entry was removed. The new incarnation is
// used. The last write of the old one, which arrives after the key was removed, is not.
func TestServerRestartsUnderItsIDAfterRemoval(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.recordAnswer(time.Second, time.Second)
	tab.applyEvents(time.Second, []store.Event{putEvent("server/1", "@10 leaving a:1", 1), deleteEvent("server/1", 2)})
	must.True(t, tab.view().HasDeparted("1"))
	tab.applyEvents(time.Second, []store.Event{putEvent("server/1", "@20 a:1", 3)})
	must.False(t, tab.view().HasDeparted("1"))
	must.Eq(t, "1", serverIDs(tab))
	tab.applyEvents(time.Second, []store.Event{deleteEvent("server/1", 4), putEvent("server/1", "@10 a:1", 5)})
	must.Eq(t, "", serverIDs(tab))
}

// A server takes the address of one that crashed, and then the crashed one restarts there under its
// id while the other entry remains. The server at the address would reject requests sent by that
// other entry.
func TestLaterIncarnationReclaimsAddress(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.applyEvents(0, []store.Event{putEvent("server/1", "@10 a:1", 1), putEvent("server/2", "@15 a:1", 2)})
	must.Eq(t, "2", serverIDs(tab))
	tab.applyEvents(0, []store.Event{putEvent("server/1", "@20 a:1", 3)})
	must.Eq(t, "1", serverIDs(tab))
}

// Another program writes to the store: an invalid entry replaces that of a server, and another one
// appears next to it. Neither describes a server, the other servers stay in use, and each is logged
// once however often it is rewritten. The server's next heartbeat restores the server.
func TestInvalidServerEntries(t *testing.T) {
	var out bytes.Buffer
	lines := logrus.New()
	lines.SetOutput(&out)
	log := event.New(lines, "vm-1", "a")
	tab := newTable(textSchema{}, log)
	tab.applyEvents(0, []store.Event{putEvent("config", "v", 1), putEvent("server/1", "a:1", 1), putEvent("server/2", "b:1", 2)})
	for revision := int64(3); revision < 9; revision++ {
		tab.applyEvents(0, []store.Event{putEvent("server/1", "bad", revision), putEvent("server/9", "bad", revision)})
	}
	must.Eq(t, "2", serverIDs(tab))
	must.Eq(t, 2, strings.Count(out.String(), "entry_refused"))
	tab.applyEvents(0, []store.Event{putEvent("server/1", "a:1", 10)})
	must.Eq(t, "1 2", serverIDs(tab))
	must.False(t, tab.view().HasDeparted("1"))
}

// An entry of a service that is not configured claims the address of a server in use. The server
// must stay in use; if the newest entry at an address always won, callers of the server's service
// would have one server fewer for as long as the other entry exists.
func TestUnconfiguredServiceTakesNoAddress(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.applyEvents(0, []store.Event{putEvent("config", "v", 1), putEvent("server/1", "a:1", 1), putEvent("server/2", "other a:1", 2)})
	must.Eq(t, "1", serverIDs(tab))
	must.MapNotContainsKey(t, tab.view().Servers, "unknown")
}

// The entry of an entry VM holds no valid id or address. Callers must not be sent there, and the
// VM's previous entry no longer counts.
func TestInvalidVMEntries(t *testing.T) {
	for _, bad := range []string{
		`{}`, `{"id":"1"}`, `{"id":"2","address":"a:1"}`, `{"id":"1","address":"a"}`, `{"id":"1","address":"a:0"}`,
		`{"id":"1","address":"a:1","peer":"x"}`, `{"id":1,"address":"a:1"}`, `[]`, "\xff",
	} {
		tab := newTable(textSchema{}, event.Discard())
		tab.applyEvents(0, []store.Event{putEvent(vmPrefix+"1", `{"id":"1","address":"a:1"}`, 1)})
		must.SliceLen(t, 1, tab.view().VMs)
		tab.applyEvents(0, []store.Event{putEvent(vmPrefix+"1", bad, 2)})
		must.SliceEmpty(t, tab.view().VMs, must.Sprint(bad))
	}
}

func FuzzOwnEntries(f *testing.F) {
	f.Add([]byte(`{"service":"s","address":"a:1","born":5}`))
	f.Add([]byte(`{"id":"1","address":"a:1","peer":"b:2"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := (OwnSchema{}).DecodeServer("1", raw); err == nil {
			must.NoError(t, checkAddress(s.Address))
			must.GreaterEq(t, 0, s.StartedAtMS)
		}
		if vm, err := decodeVM("1", raw); err == nil {
			must.NoError(t, checkAddress(vm.Address))
		}
	})
}

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

// lineSchema stores a server as its address, with "leaving " before it, its start as
// "@N " before that, and "other " before all that for a service that is not configured;
// "bad" cannot be read. A configuration is its version in letters.
type lineSchema struct{ OwnRollouts }

func (lineSchema) ConfigKey() string { return "config" }

func (lineSchema) DecodeConfig(raw []byte) (*routing.Config, error) {
	return routing.New(int64(len(raw)), routing.Limits{}, []*routing.Service{{Name: "s"}}, nil, nil), nil
}

func (lineSchema) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "server/") }

func (lineSchema) DecodeServer(id string, raw []byte) (routing.Server, error) {
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
	vm := func(id string) store.Event { return put(vmPrefix+id, `{"id":"`+id+`","address":"a:`+id+`"}`, 1) }
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

// A server restarts under its id. Callers whose answers it had must not be told that it
// still has them, so the entry shows the later life; and a write of the life before that
// was long on its way, "leaving" or not, must not undo that.
func TestLaterLifeStays(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	tab.change(0, []store.Event{put("server/1", "@10 a:1", 1)})
	tab.change(0, []store.Event{put("server/1", "@20 a:1", 2)})
	must.Eq(t, routing.Incarnation{ID: "1", StartedAtMS: 20}, tab.view().Servers["s"][0].Incarnation())
	for _, late := range []string{"@10 a:1", "@10 leaving a:1", "@10 b:1"} {
		tab.change(0, []store.Event{put("server/1", late, 3)})
		must.Eq(t, routing.Incarnation{ID: "1", StartedAtMS: 20}, tab.view().Servers["s"][0].Incarnation())
		must.Eq(t, "a:1", tab.view().Servers["s"][0].Address)
		must.False(t, tab.view().HasDeparted("1"))
	}
}

// A server leaves, and starts again under its id once it is gone. The new life is used;
// the old one's last write, which arrives when the key has already been removed, is not.
func TestServerThatLeftReturnsUnderItsID(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	tab.reached(time.Second, time.Second)
	tab.change(time.Second, []store.Event{put("server/1", "@10 leaving a:1", 1), gone("server/1")})
	must.True(t, tab.view().HasDeparted("1"))
	tab.change(time.Second, []store.Event{put("server/1", "@20 a:1", 2)})
	must.False(t, tab.view().HasDeparted("1"))
	must.Eq(t, "1", ids(tab))
	tab.change(time.Second, []store.Event{gone("server/1"), put("server/1", "@10 a:1", 3)})
	must.Eq(t, "", ids(tab))
}

// A server takes the address of one that crashed, and then that one returns there under
// its id while the entry of the first still stays. Requests by the first entry would be
// turned away by whoever answers there.
func TestLaterLifeTakesItsAddressBack(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	tab.change(0, []store.Event{put("server/1", "@10 a:1", 1), put("server/2", "@15 a:1", 2)})
	must.Eq(t, "2", ids(tab))
	tab.change(0, []store.Event{put("server/1", "@20 a:1", 3)})
	must.Eq(t, "1", ids(tab))
}

// Something else writes into the store: an entry that cannot be read takes the place of a
// server's, another appears beside it. Neither names a server, the others are used on, and
// the log says so once, however often the entry is written. The server's next heartbeat
// has it back.
func TestEntriesOfAnotherWriter(t *testing.T) {
	var out bytes.Buffer
	lines := logrus.New()
	lines.SetOutput(&out)
	log := event.New(lines, "vm-1", "a")
	tab := newTable(lineSchema{}, log)
	tab.change(0, []store.Event{put("config", "v", 1), put("server/1", "a:1", 1), put("server/2", "b:1", 2)})
	for revision := int64(3); revision < 9; revision++ {
		tab.change(0, []store.Event{put("server/1", "bad", revision), put("server/9", "bad", revision)})
	}
	must.Eq(t, "2", ids(tab))
	must.Eq(t, 2, strings.Count(out.String(), "entry_refused"))
	tab.change(0, []store.Event{put("server/1", "a:1", 10)})
	must.Eq(t, "1 2", ids(tab))
	must.False(t, tab.view().HasDeparted("1"))
}

// An entry claims the address of a server for a service that the configuration does not
// name. The server goes on; were the newest entry at an address always believed, callers
// of its service would have one server less for as long as the entry stays.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	tab := newTable(lineSchema{}, event.Discard())
	tab.change(0, []store.Event{put("config", "v", 1), put("server/1", "a:1", 1), put("server/2", "other a:1", 2)})
	must.Eq(t, "1", ids(tab))
	must.MapNotContainsKey(t, tab.view().Servers, "unknown")
}

// An entry VM's entry names no address. Callers must not be sent there, and the daemon
// that was named before counts no more.
func TestEntryVMsOfAnotherWriter(t *testing.T) {
	for _, bad := range []string{
		`{}`, `{"id":"1"}`, `{"id":"2","address":"a:1"}`, `{"id":"1","address":"a"}`, `{"id":"1","address":"a:0"}`,
		`{"id":"1","address":"a:1","peer":"x"}`, `{"id":1,"address":"a:1"}`, `[]`, "\xff",
	} {
		tab := newTable(lineSchema{}, event.Discard())
		tab.change(0, []store.Event{put(vmPrefix+"1", `{"id":"1","address":"a:1"}`, 1)})
		must.SliceLen(t, 1, tab.view().VMs)
		tab.change(0, []store.Event{put(vmPrefix+"1", bad, 2)})
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

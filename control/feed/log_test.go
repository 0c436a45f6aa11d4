package feed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// logRecorder is a log output that the test reads.
type logRecorder struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logRecorder) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

func newRecordedLog() (*logRecorder, *event.Log) {
	l := &logRecorder{}
	logger := logrus.New()
	logger.SetOutput(l)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return l, event.New(logger, "vm-1", "a")
}

// takeEvents returns the lines of an event since the last call and discards all other lines.
func (l *logRecorder) takeEvents(t *testing.T, d event.Def) (taken []map[string]any) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, raw := range bytes.Split(bytes.TrimSpace(l.out.Bytes()), []byte("\n")) {
		if len(raw) == 0 {
			continue
		}
		var line map[string]any
		must.NoError(t, json.Unmarshal(raw, &line))
		if line["name"] == d.Name {
			taken = append(taken, line)
		}
	}
	l.out.Reset()
	return taken
}

func testEntry(key, value string, version int64) store.KV { return putEvent(key, value, version).KV }

// A daemon of a large site reads a hundred servers at once when it starts. With a line for each,
// restarts would push the lines needed to diagnose a failure out of the retained log. The first
// read logs one line; a later read logs a line for each server that changed.
func TestInitialReadLogsOneLine(t *testing.T) {
	out, log := newRecordedLog()
	tab := newTable(textSchema{}, log)
	all := []store.KV{
		testEntry("config", "v", 1), testEntry("server/1", "a:1", 1), testEntry("server/2", "leaving b:1", 2),
		testEntry("server/3", "c:1", 3), testEntry("server/4", "other d:1", 4),
	}
	tab.replaceAll(0, store.NewListing(all, 7))
	first := out.takeEvents(t, event.StoreRead)
	must.SliceLen(t, 1, first)
	must.Eq(t, map[string]any{"s": 3.0, "unknown": 1.0}, first[0]["servers"].(map[string]any))
	must.Eq(t, 1.0, first[0]["leaving"].(float64))
	must.Eq(t, 7.0, first[0]["revision"].(float64))

	tab.replaceAll(0, store.NewListing(append(all, testEntry("server/1", "leaving a:1", 8), testEntry("server/5", "e:1", 9)), 9))
	out.mu.Lock()
	must.StrNotContains(t, out.out.String(), event.StoreRead.Name)
	out.mu.Unlock()
	tab.changes.flush(time.Hour, log)
	changed := out.takeEvents(t, event.ServersChanged)
	must.SliceLen(t, 1, changed)
	must.Eq(t, 2.0, changed[0]["seen"].(float64))
	must.Eq(t, 1.0, changed[0]["leaving"].(float64))
	must.Eq(t, []any{"1 leaving s   a:1", "5 ready s   e:1"}, changed[0]["first"].([]any))
}

// Hundreds of servers register, change and leave in a second. A line for each at each daemon would
// push the lines needed to diagnose a failure out of the retained log.
func TestChangedServersShareOneLine(t *testing.T) {
	out, log := newRecordedLog()
	tab := newTable(textSchema{}, log)
	tab.replaceAll(0, store.NewListing(nil, 1))
	seen, gone := 0, 0
	for tick := range 40 {
		now := time.Hour + time.Duration(tick)*100*time.Millisecond
		for n := range 100 {
			id := fmt.Sprint("server/", 100*tick+n)
			tab.applyEvents(now, []store.Event{putEvent(id, fmt.Sprint("a:", 100*tick+n), int64(tick+2))})
		}
		tab.applyEvents(now, []store.Event{deleteEvent(fmt.Sprint("server/", 100*tick), int64(tick+3))})
		tab.changes.flush(now, log)
	}
	tab.changes.flush(2*time.Hour, log)
	lines := out.takeEvents(t, event.ServersChanged)
	must.LessEq(t, 5, len(lines)) // in four seconds
	for _, line := range lines {
		must.LessEq(t, maxDescribedServers, len(line["first"].([]any)))
		seen, gone = seen+int(line["seen"].(float64)), gone+int(line["gone"].(float64))
	}
	must.Eq(t, 4000, seen)
	must.Eq(t, 40, gone)
}

// The first read logs no line for each server, but an invalid entry still has its own line.
func TestInitialReadLogsOtherEvents(t *testing.T) {
	for _, d := range []event.Def{event.EntryRefused, event.RoutingInForce} {
		out, log := newRecordedLog()
		newTable(textSchema{}, log).replaceAll(0, store.NewListing([]store.KV{testEntry("config", "v", 1), testEntry("server/1", "bad", 2), testEntry("server/2", "a:1", 3)}, 3))
		must.SliceLen(t, 1, out.takeEvents(t, d), must.Sprint(d.Name))
	}
	out, log := newRecordedLog()
	tab := newTable(textSchema{}, log)
	tab.replaceAll(0, store.NewListing([]store.KV{testEntry("config", "v", 1), testEntry("server/2", "a:1", 3)}, 3))
	tab.changes.flush(time.Hour, log)
	must.SliceEmpty(t, out.takeEvents(t, event.ServersChanged))
}

// Servers rewrite their entries with each heartbeat, and restarted daemons rewrite theirs, so a
// daemon that polls others gets a later revision each time. Only changes of servers or of the
// configuration are logged.
func TestPeerChangesAreLoggedOnlyIfRelevant(t *testing.T) {
	const size = watchplan.SmallFleetSize + 4
	inFleet(t, size, func(f *fleet) {
		logs := make([]*logRecorder, size)
		for n := range f.feeds {
			logs[n] = f.recordLog(n)
		}
		f.startRegistered()
		f.put("server/1", "a:1")
		time.Sleep(10 * time.Second)
		poller := slices.IndexFunc(f.feeds, func(m *Manager) bool { return !m.shouldWatch() })
		must.NonNegative(t, poller)
		out := logs[poller]
		out.takeEvents(t, event.FeedLearned)

		before := f.feeds[poller].revision.Load()
		for n := range 10 {
			f.put("server/1", "a:1")
			f.put(vmPrefix+"x", fmt.Sprintf(`{"id":"x","address":"x:%d"}`, n+1))
			time.Sleep(time.Second)
		}
		must.GreaterEq(t, before+10, f.feeds[poller].revision.Load())
		must.SliceEmpty(t, out.takeEvents(t, event.FeedLearned))

		f.put("server/2", "b:1")
		time.Sleep(2 * time.Second)
		learned := out.takeEvents(t, event.FeedLearned)
		must.SliceLen(t, 1, learned)
		must.Eq(t, float64(f.feeds[poller].revision.Load()), learned[0]["revision"].(float64))
		f.put("config", "vv")
		time.Sleep(2 * time.Second)
		must.SliceLen(t, 1, out.takeEvents(t, event.FeedLearned))
		entry, err := f.store.Get(t.Context(), "server/2")
		must.NoError(t, err)
		must.NoError(t, f.store.Delete(t.Context(), "server/2", entry.Version))
		time.Sleep(2 * time.Second)
		must.SliceLen(t, 1, out.takeEvents(t, event.FeedLearned))
	})
}

// The store refuses one daemon while nothing changes in it. The log must show that a peer confirmed
// the configuration: one line until the store answers again or the peer's confirmation is overdue
// as well. A peer whose confirmation is overdue confirms nothing and causes no line.
func TestPeerConfirmationIsLoggedOnceWhenOverdue(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		out := f.recordLog(1)
		f.start(0)
		f.start(1)
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, out.takeEvents(t, event.FeedLearned))
		f.faultyStores[1].SetDown(true)
		time.Sleep(20 * time.Second)
		must.SliceLen(t, 1, out.takeEvents(t, event.FeedLearned))
		f.faultyStores[0].SetDown(true)
		time.Sleep(20 * time.Second)
		must.SliceEmpty(t, out.takeEvents(t, event.FeedLearned))
		f.faultyStores[0].SetDown(false)
		time.Sleep(20 * time.Second)
		must.SliceLen(t, 1, out.takeEvents(t, event.FeedLearned))
		f.faultyStores[1].SetDown(false)
		time.Sleep(20 * time.Second)
		must.SliceEmpty(t, out.takeEvents(t, event.FeedLearned))
		f.faultyStores[1].SetDown(true)
		time.Sleep(20 * time.Second)
		must.SliceLen(t, 1, out.takeEvents(t, event.FeedLearned))
	})
}

// Guards against a daemon that never reads the store and says nothing of it, because it has not read it
// before.
func TestFailureOfFirstReadIsLogged(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		log := f.recordLog(0)
		f.faultyStores[0].SetDown(true)
		f.start(0)
		time.Sleep(5 * time.Second)
		must.SliceLen(t, 1, log.takeEvents(t, event.StoreLost))
		f.faultyStores[0].SetDown(false)
		time.Sleep(5 * time.Second)
		must.SliceLen(t, 1, log.takeEvents(t, event.StoreReached))
	})
}

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

	"mallowwind.dev/decision/watching"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// lines is a log that is read back.
type lines struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(line)
}

func recorded() (*lines, *event.Log) {
	l := &lines{}
	logger := logrus.New()
	logger.SetOutput(l)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return l, event.New(logger, "vm-1", "a")
}

// take returns the lines of an event since the last call, and forgets all others.
func (l *lines) take(t *testing.T, d event.Def) (taken []map[string]any) {
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

func kv(key, value string, version int64) store.KV { return put(key, value, version).KV }

// A daemon of a large site starts and reads a hundred servers at once. With a line for
// each, restarts push out of the kept part of the log what a failure is found by. The first
// read is one line; what a later one finds changed has a line for each server.
func TestFirstReadIsOneLine(t *testing.T) {
	out, log := recorded()
	tab := newTable(lineSchema{}, log)
	all := []store.KV{
		kv("config", "v", 1), kv("server/1", "a:1", 1), kv("server/2", "leaving b:1", 2),
		kv("server/3", "c:1", 3), kv("server/4", "other d:1", 4),
	}
	tab.replace(0, 7, all)
	first := out.take(t, event.StoreRead)
	must.SliceLen(t, 1, first)
	must.Eq(t, map[string]any{"s": 3.0, "unknown": 1.0}, first[0]["servers"].(map[string]any))
	must.Eq(t, 1.0, first[0]["leaving"].(float64))
	must.Eq(t, 7.0, first[0]["revision"].(float64))

	tab.replace(0, 9, append(all, kv("server/1", "leaving a:1", 8), kv("server/5", "e:1", 9)))
	out.mu.Lock()
	must.StrNotContains(t, out.out.String(), event.StoreRead.Name)
	out.mu.Unlock()
	seen := out.take(t, event.ServerSeen)
	must.SliceLen(t, 2, seen)
	must.Eq(t, "1", seen[0]["backend"].(string))
	must.True(t, seen[0]["leaving"].(bool))
	must.Eq(t, "5", seen[1]["backend"].(string))
}

// The first read names no server a line, but an entry that cannot be used has its own.
func TestFirstReadKeepsOtherLines(t *testing.T) {
	for _, d := range []event.Def{event.EntryRefused, event.RoutingInForce} {
		out, log := recorded()
		newTable(lineSchema{}, log).replace(0, 3, []store.KV{kv("config", "v", 1), kv("server/1", "bad", 2), kv("server/2", "a:1", 3)})
		must.SliceLen(t, 1, out.take(t, d), must.Sprint(d.Name))
	}
	out, log := recorded()
	newTable(lineSchema{}, log).replace(0, 3, []store.KV{kv("config", "v", 1), kv("server/2", "a:1", 3)})
	must.SliceEmpty(t, out.take(t, event.ServerSeen))
}

// Servers write their entries anew with each heartbeat, and daemons that restart write
// theirs: a daemon that asks others hears of a later revision each time. Only what changes
// servers or configuration is worth a line.
func TestLearnedIsLoggedWhereItChangesSomething(t *testing.T) {
	const size = watching.SmallFleetSize + 4
	inFleet(t, size, func(f *fleet) {
		logs := make([]*lines, size)
		for n := range f.feeds {
			logs[n] = f.record(n)
		}
		f.startRegistered()
		f.put("server/1", "a:1")
		time.Sleep(10 * time.Second)
		asker := slices.IndexFunc(f.feeds, func(m *Manager) bool { return !m.watches() })
		must.NonNegative(t, asker)
		out := logs[asker]
		out.take(t, event.FeedLearned)

		before := f.feeds[asker].revision.Load()
		for n := range 10 {
			f.put("server/1", "a:1")
			f.put(vmPrefix+"x", fmt.Sprintf(`{"id":"x","address":"x:%d"}`, n+1))
			time.Sleep(time.Second)
		}
		must.GreaterEq(t, before+10, f.feeds[asker].revision.Load())
		must.SliceEmpty(t, out.take(t, event.FeedLearned))

		f.put("server/2", "b:1")
		time.Sleep(2 * time.Second)
		learned := out.take(t, event.FeedLearned)
		must.SliceLen(t, 1, learned)
		must.Eq(t, float64(f.feeds[asker].revision.Load()), learned[0]["revision"].(float64))
		f.put("config", "vv")
		time.Sleep(2 * time.Second)
		must.SliceLen(t, 1, out.take(t, event.FeedLearned))
		entry, err := f.store.Get(t.Context(), "server/2")
		must.NoError(t, err)
		must.NoError(t, f.store.Delete(t.Context(), "server/2", entry.Version))
		time.Sleep(2 * time.Second)
		must.SliceLen(t, 1, out.take(t, event.FeedLearned))
	})
}

// The store refuses one daemon while nothing changes in it. That a neighbour confirmed the
// configuration is what the log is asked for then. It has one line until the store answers
// again or the neighbour is late as well, which confirms nothing and has no line.
func TestLearnedIsLoggedWhereItEndsAGap(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		out := f.record(1)
		f.start(0)
		f.start(1)
		time.Sleep(5 * time.Second)
		must.SliceEmpty(t, out.take(t, event.FeedLearned))
		f.ways[1].SetDown(true)
		time.Sleep(20 * time.Second)
		must.SliceLen(t, 1, out.take(t, event.FeedLearned))
		f.ways[0].SetDown(true)
		time.Sleep(20 * time.Second)
		must.SliceEmpty(t, out.take(t, event.FeedLearned))
		f.ways[0].SetDown(false)
		time.Sleep(20 * time.Second)
		must.SliceLen(t, 1, out.take(t, event.FeedLearned))
		f.ways[1].SetDown(false)
		time.Sleep(20 * time.Second)
		must.SliceEmpty(t, out.take(t, event.FeedLearned))
		f.ways[1].SetDown(true)
		time.Sleep(20 * time.Second)
		must.SliceLen(t, 1, out.take(t, event.FeedLearned))
	})
}

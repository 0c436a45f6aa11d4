package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	convergenceSeeds   = 500
	convergenceSteps   = 120
	convergenceDaemons = 4
	convergenceServers = 12
	maxStaleness       = 4 * time.Second
	// largeValueBytes makes three entries fill a page between daemons.
	largeValueBytes = maxPageBytes / 3
)

// convergence drives a few Managers by hand against one store whose cheap reads are stale, and compares
// each with the history of the store.
type convergence struct {
	t       *testing.T
	random  *rand.Rand
	store   *store.Memory
	history []store.Event // all changes, in the order of revisions
	daemons []*Manager
	steps   []string
}

func inConvergence(t *testing.T, seed uint64, test func(*convergence)) {
	synctest.Test(t, func(t *testing.T) {
		c := &convergence{t: t, random: rand.New(rand.NewPCG(seed, 1)), store: store.NewMemory()}
		c.store.ServeStale(store.StaleReads{
			PageItems: 3,
			Age:       func(string) time.Duration { return time.Duration(c.random.Int64N(int64(maxStaleness))) },
		})
		c.write() // revisions start above 0
		time.Sleep(maxStaleness)
		for range convergenceDaemons {
			c.daemons = append(c.daemons, c.newDaemon())
		}
		test(c)
	})
}

func (c *convergence) newDaemon() *Manager {
	startedAt := time.Now()
	return New(Options{
		Store: c.store, Schema: textSchema{}, Log: event.Discard(), Self: "self",
		Clock: func() time.Duration { return time.Since(startedAt) + time.Hour },
	})
}

// write creates, changes or removes a random key.
func (c *convergence) write() {
	key := fmt.Sprint("server/", c.random.IntN(convergenceServers))
	if c.random.IntN(6) == 0 {
		key = "config"
	}
	kv, err := c.store.Get(c.t.Context(), key)
	if err == nil && key != "config" && c.random.IntN(2) == 0 {
		must.NoError(c.t, c.store.Delete(c.t.Context(), key, kv.Version))
		c.history = append(c.history, store.Event{Kind: store.Deleted, KV: store.KV{Key: key, Version: c.store.Revision()}})
		return
	}
	value := strings.Repeat("v", len(c.history)+1) // a configuration of a higher version
	if key != "config" {
		value = fmt.Sprintf("%d:1 %s", c.store.Revision(), strings.Repeat("x", c.random.IntN(2)*largeValueBytes))
	}
	version, err := c.store.CompareAndSwap(c.t.Context(), key, kv.Version, []byte(value), 0)
	must.NoError(c.t, err)
	c.history = append(c.history, store.Event{Kind: store.Put, KV: store.KV{Key: key, Version: version}})
}

// step lets the store or one daemon do something.
func (c *convergence) step() {
	n := c.random.IntN(len(c.daemons))
	m := c.daemons[n]
	ctx := c.t.Context()
	action := ""
	switch c.random.IntN(12) {
	case 0, 1, 2, 3, 4:
		action = "write"
		c.write()
	case 5:
		action = "time passes"
		time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
	case 6:
		action = "daemon starts again"
		c.daemons[n] = c.newDaemon()
	case 7:
		action = "stale list"
		if m.revision.Load() == 0 {
			must.NoError(c.t, m.readInitial(ctx))
		}
	case 8:
		action = "current list"
		must.NoError(c.t, m.readAll(ctx))
	case 9:
		action = "watch"
		c.watch(m)
	default:
		source := c.random.IntN(len(c.daemons))
		action = fmt.Sprint("asks daemon ", source)
		if source != n {
			c.poll(m, c.daemons[source])
		}
	}
	c.steps = append(c.steps, fmt.Sprintf("%d: %s; revision %d, told %d", n, action, c.daemons[n].revision.Load(), c.daemons[n].toldRevision()))
}

// watch lets a daemon that has read the store get one batch of changes.
func (c *convergence) watch(m *Manager) {
	if m.revision.Load() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Millisecond)
	defer cancel()
	w, err := c.store.Watch(ctx, "", m.revision.Load())
	must.NoError(c.t, err)
	defer w.Close()
	_ = m.readChanges(ctx, w) // fails if there is no change
}

// poll lets a daemon get one page of changes from another one.
func (c *convergence) poll(m, source *Manager) {
	have := m.toldRevision()
	reply, err := feedService{source}.Snapshot(c.t.Context(), m.snapshotRequest(have, 0))
	must.NoError(c.t, err)
	reply, err = unpack(reply)
	must.NoError(c.t, err)
	m.applyReply(m.opts.Clock(), have, "source", reply)
}

// check compares what each daemon holds with the states of a key at the daemon's revision and later.
// What it holds may be newer than its revision, but not older.
func (c *convergence) check(seed uint64) {
	for n, m := range c.daemons {
		revision := m.revision.Load()
		if revision == 0 {
			continue
		}
		possible := map[string][]int64{} // versions by key; 0 if it does not exist
		for _, e := range c.history {
			if e.KV.Version <= revision {
				possible[e.KV.Key] = nil
			}
			version := e.KV.Version
			if e.Kind == store.Deleted {
				version = 0
			}
			possible[e.KV.Key] = append(possible[e.KV.Key], version)
		}
		for key, versions := range possible {
			held := m.table.entries.kvs[key].Version
			isFirst := versions[0] > revision && held == 0 // not created yet
			if !slices.Contains(versions, held) && !isFirst {
				c.t.Fatalf("seed %d: daemon %d at revision %d holds %s at %d, not one of %v\n%s", seed, n, revision, key, held, versions,
					strings.Join(c.steps[max(0, len(c.steps)-25):], "\n"))
			}
		}
	}
}

// Guards against a daemon that holds a key which was removed, or lacks one that exists, at the revision
// up to which it claims to know all changes.
func TestDaemonsConvergeOnStaleReads(t *testing.T) {
	for seed := range uint64(convergenceSeeds) {
		inConvergence(t, seed, func(c *convergence) {
			for range convergenceSteps {
				c.step()
				c.check(seed)
			}
		})
	}
}

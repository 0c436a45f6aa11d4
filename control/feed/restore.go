package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// rewriteWindow is how long after the first read of a restored store the operator may write again what
// it lost. A new order of the same roll-out in that time is taken for the old one.
const rewriteWindow = 15 * time.Second

// maxRefusedRewriteDelay spreads the writes of refused requests that a restored store lacks.
const maxRefusedRewriteDelay = time.Second

// restoration is what a table keeps against an older copy of the store's data. A restored store
// begins a new era (store.VersionIn): until the operator and the servers have written again, it shows
// an earlier state. What was known later than that state stays in force: the configuration by its own
// version, servers that leave or are gone, and for a while servers and entry VMs that registered later.
type restoration struct {
	era int64 // of the entries held
	// ongoing is set while the first entries of the present era are applied, all of which may be from
	// the copy.
	ongoing bool
	// rewritesUntil is until when an order may be written again that was given before.
	rewritesUntil time.Duration
	// Counts for the log: servers that are missing and stay for now, and servers that the copy shows
	// as ready although they were known to leave.
	missing, leaving int
	// refused holds the refused requests that are missing.
	refused []RefusedRequest
}

// beginEra begins the era of a revision if it is later than that of the entries held. A table that was
// never complete keeps nothing against the store.
func (t *table) beginEra(now time.Duration, revision int64) {
	era := store.EraOf(revision)
	if era <= t.restored.era {
		return
	}
	t.restored = restoration{era: era, ongoing: t.initialized}
	if t.initialized {
		t.restored.rewritesUntil = now + rewriteWindow
		t.recoveryUntil = max(t.recoveryUntil, now+reregisterWindow)
	}
}

// endRestoration ends the application of the first entries of an era and returns the refused requests
// that have to be written again.
func (t *table) endRestoration(revision int64) (lost []RefusedRequest) {
	if !t.restored.ongoing {
		return nil
	}
	t.restored.ongoing = false
	r := t.restored
	t.log.Emit(event.StoreRestored, r.era, store.RevisionOf(revision), r.missing, r.leaving, len(r.refused))
	t.restored.refused = nil
	return r.refused
}

// newerConfig returns the entry of the configuration if it is newer than that of the caller and the
// changes after the caller's revision do not hold it, nil otherwise. A daemon that has started since
// the store was restored has read the older configuration at the same revision.
func (m *Manager) newerConfig(q *peerpb.SnapshotRequest) *peerpb.FeedEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.table.entries.kvs[m.opts.Schema.ConfigKey()]
	if !ok || m.table.config == nil || q.GetConfigVersion() == 0 || m.table.config.Version <= q.GetConfigVersion() || kv.Version > q.GetHave() {
		return nil
	}
	return &peerpb.FeedEntry{Key: kv.Key, Value: kv.Value, Revision: kv.Version}
}

// applyNewerConfig applies a configuration that is newer than the one in force, from a peer's reply
// whose other entries are not news.
func (m *Manager) applyNewerConfig(reply *peerpb.SnapshotReply) {
	key := m.opts.Schema.ConfigKey()
	for _, e := range reply.GetEntries() {
		if e.GetKey() != key {
			continue
		}
		m.mu.Lock()
		m.table.put(store.KV{Key: key, Value: e.GetValue(), Version: e.GetRevision()})
		m.publish()
		m.mu.Unlock()
	}
}

// keepsLeaving reports whether an entry of a restored store shows a server as ready although the same
// incarnation is known to leave or to be gone. Its next write tells what is true.
func (t *table) keepsLeaving(id string, startedAtMS int64) bool {
	if _, departed := t.departed.Get(id); !t.restored.ongoing || !departed || t.incarnations[id] != startedAtMS {
		return false
	}
	t.restored.leaving++
	return true
}

// keepsOrder reports whether the known order of a roll-out stays in force although an entry shows
// another one: that of the copy is older. An order that is written again after a restoration is marked
// as the same, so that its roll-out does not start anew.
func (t *table) keepsOrder(known, order *routing.RolloutOrder) bool {
	if known == nil || t.lastAnsweredAt >= t.restored.rewritesUntil {
		return false
	}
	if !order.IsSame(*known) {
		return t.restored.ongoing
	}
	order.Renumbers = known.Revision
	if known.Renumbers != 0 {
		order.Renumbers = known.Renumbers
	}
	return false
}

// serverGrace returns how long a server stays usable after its entry vanished around an outage.
func (t *table) serverGrace() time.Duration {
	if t.restored.ongoing {
		t.restored.missing++
		return reregisterWindow
	}
	return serverGracePeriod
}

// vmGrace returns how long an entry VM counts as registered after its entry vanished around an outage.
// A VM whose lease a restored store lacks learns that at its next renewal.
func (t *table) vmGrace() time.Duration {
	if t.restored.ongoing {
		return leaseTTL
	}
	return reregisterWindow
}

// rewriteRefused writes the refused requests that a restored store lacks and that this daemon has to
// write.
func (m *Manager) rewriteRefused(lost []RefusedRequest) {
	view := m.View()
	for _, r := range lost {
		if !view.isWriterOf(r, m.opts.Self) {
			continue
		}
		go func() {
			ctx := context.Background()
			pause.For(ctx, rand.N(maxRefusedRewriteDelay))
			if err := m.writeRefused(ctx, r); err != nil {
				m.opts.Log.Emit(event.RefusedNotWritten, r.Digest, err)
			}
		}()
	}
}

// isWriterOf reports whether a daemon writes a refused request again: the one that added it, or else
// the first of those that watch the store.
func (v *View) isWriterOf(r RefusedRequest, daemon string) bool {
	if r.By == daemon {
		return true
	}
	isWriter := func(vm routing.VM) bool { return vm.ID == r.By && !vm.Draining }
	if v.watchPlan == nil || slices.ContainsFunc(v.VMs, isWriter) {
		return false
	}
	watchers := v.watchPlan.Watchers()
	return len(watchers) > 0 && watchers[0] == daemon
}

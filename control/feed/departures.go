package feed

import (
	"time"

	"mallowwind.dev/telemetry/event"
)

// departedRetention is how long a server that left is remembered: longer than
// the longest answer during which its id may still turn up.
const departedRetention = time.Minute

const (
	// reregisterWindow is how long after its return the store lacks the entries whose
	// leases ran out during an outage: their owners write them again within two
	// seconds. The rest is what a watch takes to tell.
	reregisterWindow = 2500 * time.Millisecond
	// minOutage is the silence of the store after which removals may come from
	// leases that ran out: it is shorter than the shortest lease.
	minOutage = time.Second
	// graceCheckInterval is how often the servers in doubt are looked at.
	graceCheckInterval = 50 * time.Millisecond
	// serverGracePeriod is how long a server stays usable whose entry vanished around an
	// outage. It is below the two seconds within which a server that left
	// has to be left alone.
	serverGracePeriod = time.Second
)

// recordAnswer records an answer of the store.
func (t *table) recordAnswer(sentAt, now time.Duration) {
	if t.lastAnsweredAt != 0 && sentAt-t.lastAnsweredAt > minOutage {
		t.recoveryUntil = now + reregisterWindow
	}
	t.lastAnsweredAt = now
}

// remove takes an entry away by the given revision. What it named goes at once, or stays
// for a while where its lease may have run out in an outage.
func (t *table) remove(now time.Duration, key string, revision int64) {
	t.entries.remove(key, revision)
	delete(t.rejections, key)
	delete(t.refusedRequests, key)
	t.removeRollout(key)
	t.dirty = true
	if id, ok := t.schema.ServerID(key); ok {
		t.removeServer(now, id)
		return
	}
	if vm, ok := t.vms[key]; ok && !vm.Leaving && now < t.recoveryUntil {
		// Daemons that register again must not seem gone meanwhile: each would take
		// the whole budget of repeats and all engines for its own.
		t.vmGraceEnds[key] = now + reregisterWindow
		return
	}
	t.removeVM(key)
}

func (t *table) removeVM(key string) {
	if _, ok := t.vms[key]; ok {
		delete(t.vms, key)
		t.dirty = true
	}
}

// removeServer drops a server, or keeps it for a while where the store was
// away: its lease may have run out although it lives. Without that, a daemon
// that reaches the store first after an outage has nowhere to send requests.
func (t *table) removeServer(now time.Duration, id string) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	if now < t.recoveryUntil && !s.Leaving {
		if _, kept := t.serverGraceEnds[id]; !kept {
			t.serverGraceEnds[id] = now + serverGracePeriod
			t.log.Emit(event.ServerGone, id, s.Service, serverGracePeriod)
		}
		return
	}
	t.dropServer(id)
	t.log.Emit(event.ServerGone, id, s.Service, time.Duration(0))
}

// setDeparted remembers whether a server departs.
func (t *table) setDeparted(id string, departed bool) {
	if !departed {
		delete(t.departed, id)
		return
	}
	if _, known := t.departed[id]; !known {
		t.departed[id] = t.lastAnsweredAt
	}
}

// dropServer drops a server and remembers that it departed.
func (t *table) dropServer(id string) {
	t.setDeparted(id, true)
	delete(t.servers, id)
	delete(t.firstRevisions, id)
	delete(t.serverGraceEnds, id)
	delete(t.rejections, id)
	t.dirty = true
	t.changeCount++
}

// expire drops the servers whose time in doubt is over.
func (t *table) expire(now time.Duration) bool {
	expired := false
	for id, until := range t.serverGraceEnds {
		if now >= until {
			t.dropServer(id)
			expired = true
		}
	}
	for key, until := range t.vmGraceEnds {
		if now >= until {
			delete(t.vmGraceEnds, key)
			t.removeVM(key)
			expired = true
		}
	}
	for id, since := range t.departed {
		if _, listed := t.servers[id]; !listed && now-since > departedRetention {
			delete(t.departed, id)
			delete(t.incarnations, id)
		}
	}
	return expired
}

package feed

import (
	"strings"
	"time"
)

// departedRetention is how long a server that left is remembered. It is longer than the longest
// answer during which the server's id may still occur.
const departedRetention = time.Minute

const (
	// reregisterWindow is how long after its return the store may lack entries whose leases expired
	// during an outage. Their owners write them again within two seconds; the rest of the time
	// covers the delivery by the watch.
	reregisterWindow = 2500 * time.Millisecond
	// minOutage is the time without an answer of the store after which removals may be due to
	// expired leases. It is shorter than the shortest lease.
	minOutage = time.Second
	// graceCheckInterval is the interval at which ended grace periods are looked for.
	graceCheckInterval = 50 * time.Millisecond
	// serverGracePeriod is how long a server stays usable after its entry vanished around an
	// outage. It is below the two seconds within which a server that left must get no more
	// requests.
	serverGracePeriod = time.Second
)

// recordAnswer records an answer of the store to a request sent at sentAt. An answer after an
// outage opens the window in which removals may be due to expired leases.
func (t *table) recordAnswer(sentAt, now time.Duration) {
	if t.lastAnsweredAt != 0 && sentAt-t.lastAnsweredAt > minOutage {
		t.recoveryUntil = now + reregisterWindow
	}
	t.lastAnsweredAt = now
}

// remove removes an entry that did not exist at the given revision. The server or VM that it described
// is dropped at once, or after a grace period if its lease may have expired during an outage.
func (t *table) remove(now time.Duration, key string, revision int64) {
	if !t.entries.remove(key, revision) {
		return
	}
	delete(t.rejections, key)
	if r, ok := t.refusedRequests[key]; ok && t.restored.ongoing {
		t.restored.refused = append(t.restored.refused, r)
	} else if ok {
		delete(t.refusedRequests, key)
		t.refusedChanged = true
	}
	t.removeRollout(key)
	t.dirty = true
	if id, ok := t.schema.ServerID(key); ok {
		t.removeServer(now, id)
		return
	}
	t.controlChanged = t.controlChanged || !strings.HasPrefix(key, vmPrefix)
	if vm, ok := t.vms[key]; ok && !vm.Draining && now < t.recoveryUntil {
		// Daemons that are about to register again must not seem to be gone meanwhile: each
		// remaining daemon would take the whole retry budget and all engines for itself.
		t.vmGraceEnds[key] = now + t.vmGrace()
		return
	}
	t.removeVM(key)
}

func (t *table) removeVM(key string) {
	if _, ok := t.vms[key]; ok {
		delete(t.vms, key)
		t.dirty, t.vmsChanged = true, true
	}
}

// removeServer drops a server. If its lease may have expired during an outage, the server may still
// be alive and is kept for a grace period. Without the grace period, a daemon that reaches the
// store first after an outage has no servers to send requests to.
func (t *table) removeServer(now time.Duration, id string) {
	s, ok := t.servers[id]
	if !ok {
		return
	}
	if now < t.recoveryUntil && !s.Draining {
		if _, kept := t.serverGraceEnds[id]; !kept {
			t.serverGraceEnds[id] = now + t.serverGrace()
			t.changes.recordGone(*s, true)
		}
		return
	}
	t.dropServer(id)
	t.changes.recordGone(*s, false)
}

// departure is a server that left, with the time at which that was first known.
type departure struct {
	id string
	at time.Duration
}

// setDeparted records whether a server is departing, and since when.
func (t *table) setDeparted(id string, departed bool) {
	if !departed {
		t.departed.Delete(id)
		return
	}
	if _, known := t.departed.Get(id); !known {
		t.departed.Set(id, t.lastAnsweredAt)
		t.departures = append(t.departures, departure{id, t.lastAnsweredAt})
	}
}

// dropServer drops a server and records that it departed.
func (t *table) dropServer(id string) {
	t.setDeparted(id, true)
	t.deleteServer(id)
	delete(t.firstRevisions, id)
	delete(t.serverGraceEnds, id)
	delete(t.rejections, id)
	t.dirty = true
	t.changeCount++
}

// expire drops the servers and entry VMs whose grace period has ended, and forgets servers that
// departed long ago. It reports whether it dropped any server or VM.
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
	t.forgetDepartures(now)
	return expired
}

// forgetDepartures forgets the servers that departed long ago. One that is still listed is leaving,
// and is looked at again later.
func (t *table) forgetDepartures(now time.Duration) {
	for len(t.departures) > 0 && now-t.departures[0].at > departedRetention {
		d := t.departures[0]
		t.departures = t.departures[1:]
		if since, known := t.departed.Get(d.id); !known || since != d.at {
			continue // it has returned, and may have departed again
		}
		if _, listed := t.servers[d.id]; listed {
			t.departures = append(t.departures, d)
			return
		}
		t.departed.Delete(d.id)
		delete(t.incarnations, d.id)
	}
}

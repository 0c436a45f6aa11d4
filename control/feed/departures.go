package feed

import (
	"time"

	"mallowwind.dev/telemetry/event"
)

// rememberDeparted is how long a server that left is remembered: longer than
// the longest answer during which its id may still turn up.
const rememberDeparted = time.Minute

const (
	// reregister is how long after its return the store lacks the entries whose
	// leases ran out during an outage: their owners write them again within two
	// seconds. The rest is what a watch takes to tell.
	reregister = 2500 * time.Millisecond
	// outageMin is the silence of the store after which removals may come from
	// leases that ran out: it is shorter than the shortest lease.
	outageMin = time.Second
	// doubtCheck is how often the servers in doubt are looked at.
	doubtCheck = 50 * time.Millisecond
	// doubtTime is how long a server stays usable whose entry vanished around an
	// outage. It is below the two seconds within which a server that left
	// has to be left alone.
	doubtTime = time.Second
)

// reached records an answer of the store.
func (t *table) reached(asked, now time.Duration) {
	if t.lastReached != 0 && asked-t.lastReached > outageMin {
		t.doubtUntil = now + reregister
	}
	t.lastReached = now
}

// remove takes an entry away by the given revision. What it named goes at once, or stays
// for a while where its lease may have run out in an outage.
func (t *table) remove(now time.Duration, key string, revision int64) {
	t.entries.remove(key, revision)
	delete(t.refusals, key)
	delete(t.barred, key)
	t.removeRollout(key)
	t.dirty = true
	if id, ok := t.schema.ServerID(key); ok {
		t.removeServer(now, id)
		return
	}
	if vm, ok := t.vms[key]; ok && !vm.Draining && now < t.doubtUntil {
		// Daemons that register again must not seem gone meanwhile: each would take
		// the whole budget of repeats and all engines for its own.
		t.doubtfulVMs[key] = now + reregister
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
	if now < t.doubtUntil && !s.Draining {
		if _, kept := t.doubtful[id]; !kept {
			t.doubtful[id] = now + doubtTime
			t.log.Emit(event.ServerGone, id, s.Service, doubtTime)
		}
		return
	}
	t.forget(id)
	t.log.Emit(event.ServerGone, id, s.Service, time.Duration(0))
}

// note remembers whether a server departs.
func (t *table) note(id string, departs bool) {
	if !departs {
		delete(t.departed, id)
		return
	}
	if _, known := t.departed[id]; !known {
		t.departed[id] = t.lastReached
	}
}

// forget drops a server and remembers that it departed.
func (t *table) forget(id string) {
	t.note(id, true)
	delete(t.servers, id)
	delete(t.written, id)
	delete(t.doubtful, id)
	delete(t.refusals, id)
	t.dirty = true
	t.changes++
}

// expire drops the servers whose time in doubt is over.
func (t *table) expire(now time.Duration) bool {
	gone := false
	for id, until := range t.doubtful {
		if now >= until {
			t.forget(id)
			gone = true
		}
	}
	for key, until := range t.doubtfulVMs {
		if now >= until {
			delete(t.doubtfulVMs, key)
			t.removeVM(key)
			gone = true
		}
	}
	for id, since := range t.departed {
		if _, here := t.servers[id]; !here && now-since > rememberDeparted {
			delete(t.departed, id)
			delete(t.born, id)
		}
	}
	return gone
}

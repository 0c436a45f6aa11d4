// Package reach decides by which path a daemon connects to a backend server: directly, or through a
// peer, that is another daemon.
//
// Load pattern: for seconds a VM has no path to any backend server, or to some of them, while
// callers, the store and other VMs reach it. Its new connections are refused or never established.
//
// Without this package, the daemon takes the state of its own path for the state of the servers. It
// suspects all of them and refuses every request, although its peers could connect for it; the
// callers keep its address for seconds and are refused again.
//
// Decision: a failed connection tells nothing by itself, since a dead server looks the same. Only a
// peer that connects to the same server proves that the path is at fault. One peer is asked at a
// time until there is such a proof, so that a dead zone does not make every daemon call its peers
// for each attempt. After that, connections to the server start at a peer, and after proofs for two
// servers and a moment without any direct connection, connections to all servers do. One attempt per
// interval tries both paths at once; a direct connection ends the detour. The interval doubles
// while the path comes and goes.
package reach

import "time"

const (
	// requiredStrikes is the number of strikes after which a server's path counts as lost.
	requiredStrikes = 2
	// refusedStrikes are those of a refused connection. One that was never established gives a
	// single strike: a lost packet has the same effect.
	refusedStrikes = requiredStrikes
	// requiredServers is the number of servers with a strike after which the paths to all servers
	// count as lost.
	requiredServers = 2
	// quietTime is how long no direct connection may have been made for the paths to all servers to
	// count as lost. While some servers are within reach, each server's path is judged by itself.
	quietTime = 200 * time.Millisecond
	// trialInterval is the shortest time between two direct attempts over a lost path.
	trialInterval = 500 * time.Millisecond
	// maxTrialInterval bounds the interval of a path that comes and goes.
	maxTrialInterval = 4 * time.Second
	// stableTime is how long a restored path must work for the interval to start anew.
	stableTime = 5 * time.Second
	// unreachableTime is how long peers are not asked for a server that several of them did not reach.
	unreachableTime = time.Second
	// entryLifetime is how long a server's state is kept without a new attempt.
	entryLifetime = 30 * time.Second
	// maxEntries is the number of servers above which expired states are removed.
	maxEntries = 256
)

// Path says how to connect to a server.
type Path uint8

// The paths.
const (
	// Direct connects to the server. If that fails or takes long, a peer may be asked.
	Direct Path = iota
	// ViaPeer lets a peer connect to the server.
	ViaPeer
	// Trial tries both at once, because a lost path may be back.
	Trial
)

// String returns the name used in logs.
func (p Path) String() string { return [...]string{"direct", "peer", "trial"}[p] }

// Failure says how a direct attempt failed that a peer succeeded with.
type Failure uint8

// The failures.
const (
	Refused Failure = iota // refused or reset
	Silent                 // not established so far
)

// serverState is what a daemon knows of its path to one server.
type serverState struct {
	strikes          int // since the last direct connection
	nextTrial        time.Time
	unreachableUntil time.Time
	updatedAt        time.Time
}

// Tracker holds what one daemon knows of its paths to the servers, by their addresses. The zero
// value is ready to use. It is not safe for concurrent use.
type Tracker struct {
	servers     map[string]*serverState
	lastDirect  time.Time           // last direct connection to any server
	struck      map[string]struct{} // servers with a strike since lastDirect
	lost        bool
	lostSince   time.Time
	restoredAt  time.Time
	interval    time.Duration
	nextTrialAt time.Time
}

// Choose returns the path of a connection to a server that is opened now.
func (t *Tracker) Choose(now time.Time, address string) Path {
	if t.lost {
		return choosePath(now, &t.nextTrialAt, t.interval)
	}
	s := t.servers[address]
	if s == nil || s.strikes < requiredStrikes {
		return Direct
	}
	return choosePath(now, &s.nextTrial, trialInterval)
}

// choosePath returns Trial if one is due and schedules the next one, ViaPeer otherwise.
func choosePath(now time.Time, next *time.Time, interval time.Duration) Path {
	if now.Before(*next) {
		return ViaPeer
	}
	*next = now.Add(interval)
	return Trial
}

// MayAskPeer reports whether a peer may reach a server that this daemon does not.
func (t *Tracker) MayAskPeer(now time.Time, address string) bool {
	s := t.servers[address]
	return s == nil || !now.Before(s.unreachableUntil)
}

// IsLost reports whether the paths to all servers count as lost.
func (t *Tracker) IsLost() bool { return t.lost }

// RecordDirect records a direct connection to a server. If that ends the loss of all paths, it
// returns how long that lasted. The other servers are then tried directly at their next connection.
func (t *Tracker) RecordDirect(now time.Time, address string) (lostFor time.Duration, restored bool) {
	t.lastDirect = now
	clear(t.struck)
	delete(t.servers, address)
	if !t.lost {
		return 0, false
	}
	t.lost, t.restoredAt = false, now
	for _, s := range t.servers {
		s.nextTrial = now
	}
	return now.Sub(t.lostSince), true
}

// RecordProof records that a peer reached a server that this daemon did not, and reports whether the
// paths to all servers count as lost from now on.
func (t *Tracker) RecordProof(now time.Time, address string, how Failure) (nowLost bool) {
	s := t.state(now, address)
	s.unreachableUntil = time.Time{}
	if how == Refused {
		s.strikes += refusedStrikes
	} else {
		s.strikes++
	}
	if s.strikes >= requiredStrikes && s.nextTrial.Before(now) {
		s.nextTrial = now.Add(trialInterval)
	}
	if t.struck == nil {
		t.struck = map[string]struct{}{}
	}
	t.struck[address] = struct{}{}
	if t.lost || len(t.struck) < requiredServers || !t.lastDirect.IsZero() && now.Sub(t.lastDirect) < quietTime {
		return false
	}
	t.lose(now)
	return true
}

// lose marks the paths to all servers as lost.
func (t *Tracker) lose(now time.Time) {
	if !t.restoredAt.IsZero() && now.Sub(t.restoredAt) < stableTime {
		t.interval = min(2*t.interval, maxTrialInterval)
	} else {
		t.interval = trialInterval
	}
	t.lost, t.lostSince, t.nextTrialAt = true, now, now.Add(t.interval)
}

// RecordUnreachable records that several peers did not reach a server.
func (t *Tracker) RecordUnreachable(now time.Time, address string) {
	t.state(now, address).unreachableUntil = now.Add(unreachableTime)
}

// state returns the state of a server, which it creates if needed.
func (t *Tracker) state(now time.Time, address string) *serverState {
	s := t.servers[address]
	if s == nil {
		if t.servers == nil {
			t.servers = map[string]*serverState{}
		}
		if len(t.servers) >= maxEntries {
			t.removeExpired(now)
		}
		s = &serverState{}
		t.servers[address] = s
	}
	s.updatedAt = now
	return s
}

func (t *Tracker) removeExpired(now time.Time) {
	for address, s := range t.servers {
		if now.Sub(s.updatedAt) > entryLifetime {
			delete(t.servers, address)
		}
	}
}

package reach

import (
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/reach"
)

// departedTime is how long a daemon that is no longer registered counts as a peer. One that shuts down
// removes its entry at once and opens tunnels for about as long.
const departedTime = 3 * time.Second

// peerList holds the daemons that may connect for this one. It is not safe for concurrent use.
type peerList struct {
	vms        []routing.VM // the list that peers was made from
	peers      []reach.Peer
	departedAt map[string]time.Time // of the peers that are no longer registered, by id
}

// update returns the peers by the registered entry VMs.
func (l *peerList) update(now time.Time, vms []routing.VM, self string) []reach.Peer {
	if routing.SameVMs(l.vms, vms) && !l.hasExpired(now) {
		return l.peers
	}
	peers, registered := []reach.Peer{}, map[string]bool{}
	for _, vm := range routing.Peers(vms, self) {
		registered[vm.ID] = true
		peers = append(peers, reach.Peer{ID: vm.ID, Zone: vm.Zone, Address: vm.PeerAddress, Leaving: vm.Draining})
	}
	departedAt := map[string]time.Time{}
	for _, p := range l.peers {
		since, known := l.departedAt[p.ID]
		if !known {
			since = now
		}
		if !registered[p.ID] && now.Sub(since) < departedTime {
			departedAt[p.ID] = since
			p.Leaving = true
			peers = append(peers, p)
		}
	}
	l.vms, l.peers, l.departedAt = vms, peers, departedAt
	return peers
}

func (l *peerList) hasExpired(now time.Time) bool {
	for _, since := range l.departedAt {
		if now.Sub(since) >= departedTime {
			return true
		}
	}
	return false
}

package inforce

import (
	"context"
	"time"

	"mallowwind.dev/control/inforce/patch"
	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// DigestName is the name under which gossip carries the active revision.
	DigestName = "config"
	// peerTimeout bounds one call to a peer. A round trip between regions with a whole text takes a
	// fraction of it, and a connection that no longer responds delays the fetch by no more than this.
	peerTimeout = time.Second
	// maxFetchAttempts is the number of peers that are tried after one notification of a newer
	// revision.
	maxFetchAttempts = 3
)

// ObserveRevision records the active revision of a member, as reported by gossip. If it is newer than
// the active one here, fetchLoop fetches the text in the background.
func (m *Manager) ObserveRevision(member string, revision uint64) {
	if _, isMember := m.cfg.Members.Current().Find(member); !isMember || member == m.cfg.VM {
		return
	}
	m.mu.Lock()
	m.peerRevisions[member] = ObservedRevision{Revision: int64(revision), ObservedAt: time.Now()}
	m.mu.Unlock()
	if int64(revision) > m.revision() {
		notify(m.fetchWake)
	}
}

// fetchLoop fetches newer texts from the peers that have them, whenever it is notified.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.fetchWake:
		}
		for attempt := 0; attempt < maxFetchAttempts; attempt++ {
			peer, ok := m.newerPeer(attempt)
			if !ok || ctx.Err() != nil {
				break
			}
			m.fetch(ctx, peer)
		}
	}
}

// newerPeer returns the nth peer, modulo their number, of those known to have a newer revision: in
// random order, but peers in the own zone first because the network path to them is the shortest.
func (m *Manager) newerPeer(n int) (membership.Member, bool) {
	current := m.revision()
	var sameZone, otherZones []membership.Member
	m.mu.Lock()
	for _, peer := range m.cfg.Members.Current().Members {
		switch {
		case m.peerRevisions[peer.ID].Revision <= current || peer.ID == m.cfg.VM:
		case peer.Zone == m.cfg.Zone:
			sameZone = append(sameZone, peer)
		default:
			otherZones = append(otherZones, peer)
		}
	}
	m.mu.Unlock()
	m.shuffle(sameZone)
	m.shuffle(otherZones)
	list := append(sameZone, otherZones...)
	if len(list) == 0 {
		return membership.Member{}, false
	}
	return list[n%len(list)], true
}

// fetch requests the text of peer if it is newer than the active one, and adopts it. Errors are
// logged; the next notification, poll or boot round tries again.
func (m *Manager) fetch(ctx context.Context, peer membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := m.client(peer).Fetch(ctx, &peerpb.FetchConfigRequest{Have: m.Digest()})
	m.counters.countPeerCall(reply)
	if err == nil {
		err = m.adoptReply(reply, peer.ID)
	}
	if err == nil {
		return
	}
	m.mu.Lock()
	expected := m.peerRevisions[peer.ID].Revision
	// newerPeer skips this peer until its revision is reported again, so the next attempt goes to
	// another peer.
	delete(m.peerRevisions, peer.ID)
	m.mu.Unlock()
	if ctx.Err() != nil {
		m.cfg.Dialer.CloseIdleConnections()
	}
	m.cfg.Log.Emit(event.ConfigFetchFailed, peer.ID, expected, err.Error())
}

// adoptReply adopts the text in a reply, applying its patch if it carries one.
func (m *Manager) adoptReply(reply *peerpb.FetchConfigReply, from string) error {
	revision := int64(reply.GetRevision())
	m.mu.Lock()
	m.peerRevisions[from] = ObservedRevision{Revision: revision, ObservedAt: time.Now()}
	m.mu.Unlock()
	if revision <= m.revision() {
		return nil
	}
	r, err := record.Decode(reply.GetRecord())
	if err != nil {
		return err
	}
	text := reply.GetText()
	if reply.GetBase() > 0 {
		base, _ := m.recentText(int64(reply.GetBase()))
		if text, err = fromProto(reply.GetPatch()).Apply(base); err != nil {
			return err
		}
	}
	return m.adopt(r, text, from)
}

func (m *Manager) client(peer membership.Member) peerpb.Config {
	return peerpb.NewConfigProtobufClient(m.cfg.Dialer.URL(peer.PeerAddr), m.cfg.Dialer.Client)
}

// randomPeers returns up to n other members that are not gone, in random order.
func (m *Manager) randomPeers(n int) []membership.Member {
	var list []membership.Member
	for _, peer := range m.cfg.Members.Current().Members {
		if peer.ID != m.cfg.VM && peer.State != membership.Gone && peer.PeerAddr != "" {
			list = append(list, peer)
		}
	}
	m.shuffle(list)
	return list[:min(n, len(list))]
}

func fromProto(ops []*peerpb.PatchOp) patch.Patch {
	p := make(patch.Patch, len(ops))
	for i, op := range ops {
		p[i] = patch.Op{From: op.GetFrom(), Lines: op.GetLines(), Insert: op.GetInsert()}
	}
	return p
}

func toProto(p patch.Patch) []*peerpb.PatchOp {
	ops := make([]*peerpb.PatchOp, len(p))
	for i, op := range p {
		ops[i] = &peerpb.PatchOp{From: op.From, Lines: op.Lines, Insert: op.Insert}
	}
	return ops
}

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
	// DigestName is the name under which gossip carries the revision in force.
	DigestName = "config"
	// peerTimeout bounds one call to a peer. A round trip between regions and
	// a whole text take a fraction of it; a silent connection costs no more.
	peerTimeout = time.Second
	// fetchTries is how many peers are tried for one newer revision before
	// the next hint.
	fetchTries = 3
)

// ObserveRevision notes that member has revision in force, as gossip says. When that is
// newer the text is fetched from there soon; Learn itself does not wait.
func (m *Manager) ObserveRevision(member string, revision uint64) {
	if _, known := m.cfg.Members.Current().Find(member); !known || member == m.cfg.VM {
		return
	}
	m.mu.Lock()
	m.seen[member] = ObservedRevision{Revision: int64(revision), ObservedAt: time.Now()}
	m.mu.Unlock()
	if int64(revision) > m.revision() {
		signal(m.wake)
	}
}

// fetchLoop fetches newer texts from the peers that have them.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for tries := 0; tries < fetchTries; tries++ {
			peer, ok := m.ahead(tries)
			if !ok || ctx.Err() != nil {
				break
			}
			m.fetch(ctx, peer)
		}
	}
}

// ahead returns a peer known to have a newer revision, the nth by preference:
// the newest, in the own zone first because its link is the shortest.
func (m *Manager) ahead(n int) (membership.Member, bool) {
	current := m.revision()
	var near, far []membership.Member
	m.mu.Lock()
	for _, peer := range m.cfg.Members.Current().Members {
		switch {
		case m.seen[peer.ID].Revision <= current || peer.ID == m.cfg.VM:
		case peer.Zone == m.cfg.Zone:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	m.mu.Unlock()
	m.shuffle(near)
	m.shuffle(far)
	list := append(near, far...)
	if len(list) == 0 {
		return membership.Member{}, false
	}
	return list[n%len(list)], true
}

// fetch asks peer for what is newer than the text in force and takes it over.
// Failures are logged: the next hint, poll or boot round tries again.
func (m *Manager) fetch(ctx context.Context, peer membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := m.client(peer).Fetch(ctx, &peerpb.FetchConfigRequest{Have: m.Digest()})
	m.cost.peerCall(reply)
	if err == nil {
		err = m.take(reply, peer.ID)
	}
	if err == nil {
		return
	}
	m.mu.Lock()
	wanted := m.seen[peer.ID].Revision
	// Forgotten until it is heard of again, so that the next try goes elsewhere.
	delete(m.seen, peer.ID)
	m.mu.Unlock()
	if ctx.Err() != nil {
		m.cfg.Dialer.DropIdle()
	}
	m.cfg.Log.Emit(event.ConfigFetchFailed, peer.ID, wanted, err.Error())
}

// take verifies a fetched text and puts it in force.
func (m *Manager) take(reply *peerpb.FetchConfigReply, from string) error {
	revision := int64(reply.GetRevision())
	m.mu.Lock()
	m.seen[from] = ObservedRevision{Revision: revision, ObservedAt: time.Now()}
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
		base, _ := m.base(int64(reply.GetBase()))
		if text, err = fromProto(reply.GetPatch()).Apply(base); err != nil {
			return err
		}
	}
	return m.adopt(r, text, from)
}

func (m *Manager) client(peer membership.Member) peerpb.Config {
	return peerpb.NewConfigProtobufClient(m.cfg.Dialer.URL(peer.Peer), m.cfg.Dialer.Client)
}

// others returns up to n living members in random order, without this daemon.
func (m *Manager) others(n int) []membership.Member {
	var list []membership.Member
	for _, peer := range m.cfg.Members.Current().Members {
		if peer.ID != m.cfg.VM && peer.State != membership.Gone && peer.Peer != "" {
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

package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/gossip"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// pauseSlack is how much longer than its timeouts a probe may take before the
// daemon concludes that it was paused itself and the failure says nothing.
const pauseSlack = time.Second

// probe exchanges with target and, if that fails, finds out whether it is the
// target or the way to it that failed.
//
// A connection may have gone silent for good while new ones work, since
// something between the two ends has lost track of it. It shows as a timeout
// on a live member. The second try therefore runs on a fresh connection; the
// third goes by way of others, around a cut link.
func (m *Manager) probe(ctx context.Context, target gossip.Record) {
	start := time.Now()
	if m.exchange(ctx, target) == nil || target.State == gossip.Gone {
		return
	}
	m.deps.Dialer.CloseIdleConnections()
	if m.exchange(ctx, target) == nil {
		return
	}
	if m.indirect(ctx, target) {
		m.met.indirect.Inc()
		return
	}
	limit := 2*m.cfg.ProbeTimeout + m.cfg.IndirectTimeout + pauseSlack
	if ctx.Err() != nil || time.Since(start) > limit {
		return
	}
	m.mu.Lock()
	c, ok := m.table.RecordProbeFailure(target, time.Now())
	m.mu.Unlock()
	if ok {
		m.changed([]gossip.Change{c}, "")
	}
}

// indirect asks others to exchange with target and reports whether one could.
func (m *Manager) indirect(ctx context.Context, target gossip.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.IndirectTimeout)
	defer cancel()
	m.mu.Lock()
	helpers := m.table.IndirectProbers(target.ID)
	m.mu.Unlock()
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			reply, err := m.client(helper).Probe(ctx, &peerpb.ProbeRequest{Target: toPB(target)})
			reached <- err == nil && reply.Reached
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

func (m *Manager) client(to gossip.Record) peerpb.Membership {
	return peerpb.NewMembershipProtobufClient(m.deps.Dialer.URL(to.PeerAddr), m.deps.Dialer.Client)
}

// exchange passes news both ways with one daemon.
func (m *Manager) exchange(ctx context.Context, target gossip.Record) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.ProbeTimeout)
	defer cancel()
	m.met.exchanges.Inc()
	reply, err := m.client(target).Exchange(ctx, m.message(target.ID))
	if err != nil {
		m.met.failures.Inc()
		m.deps.Log.Emit(event.GossipFailed, target.ID, err.Error())
		return errors.Wrap(err, "exchange")
	}
	m.absorb(reply)
	if !m.agrees(reply.Root) && len(reply.Buckets) > 0 {
		m.sync(ctx, target, reply.Buckets)
	}
	return nil
}

// agrees reports whether another daemon's table has the same hash as this one.
func (m *Manager) agrees(root uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if root != m.table.RootHash() {
		return false
	}
	m.table.RecordInSync()
	return true
}

// sync repairs a few parts of the table in which the other daemon differs.
func (m *Manager) sync(ctx context.Context, target gossip.Record, hashes []uint64) {
	m.mu.Lock()
	parts := m.table.BucketsToSync(hashes, time.Now())
	records := m.table.RecordsIn(parts)
	m.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	m.met.syncs.Inc()
	reply, err := m.client(target).Sync(ctx, &peerpb.SyncRequest{Buckets: parts, Records: toPBs(records)})
	if err != nil {
		m.deps.Log.Emit(event.GossipFailed, target.ID, err.Error())
		return
	}
	m.merge(reply.Records, target.ID)
}

// message is what this daemon says in an exchange with another. A daemon that
// is not believed alive is always told so, which gives it the chance to
// contradict at its first contact after a pause or a partition.
func (m *Manager) message(to string) *peerpb.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := &peerpb.Gossip{
		From:    toPB(m.table.Self()),
		Updates: toPBs(m.table.Updates()),
		Root:    m.table.RootHash(),
	}
	m.addNews(g)
	if rec, ok := m.table.Get(to); ok && rec.State != gossip.Alive {
		g.Updates = append(g.Updates, toPB(rec))
	}
	for name, version := range m.digests {
		g.Digests = append(g.Digests, &peerpb.VersionDigest{Name: name, Version: version})
	}
	return g
}

// absorb takes over what another daemon said.
func (m *Manager) absorb(g *peerpb.Gossip) {
	if g.From == nil {
		return
	}
	m.merge(append(g.Updates, g.From), g.From.Id)
	m.absorbNews(g)
	from := toMember(fromPB(g.From))
	for _, d := range g.Digests {
		for _, f := range m.onDigest {
			f(from, d.Name, d.Version)
		}
	}
}

func (m *Manager) merge(records []*peerpb.MemberRecord, by string) {
	claims := make([]gossip.Record, 0, len(records))
	for _, r := range records {
		claims = append(claims, fromPB(r))
	}
	m.mu.Lock()
	changes := m.table.Merge(claims, time.Now())
	m.mu.Unlock()
	m.changed(changes, by)
}

// Exchange implements peerpb.Membership.
func (m *Manager) Exchange(_ context.Context, g *peerpb.Gossip) (*peerpb.Gossip, error) {
	m.absorb(g)
	to := ""
	if g.From != nil {
		to = g.From.Id
	}
	reply := m.message(to)
	if !m.agrees(g.Root) {
		m.mu.Lock()
		hashes := m.table.BucketHashes()
		m.mu.Unlock()
		reply.Buckets = hashes[:]
	}
	return reply, nil
}

// Probe implements peerpb.Membership.
func (m *Manager) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	if r.Target == nil {
		return &peerpb.ProbeReply{}, nil
	}
	err := m.exchange(ctx, fromPB(r.Target))
	return &peerpb.ProbeReply{Reached: err == nil}, nil
}

// Sync implements peerpb.Membership.
func (m *Manager) Sync(_ context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	m.merge(r.Records, "")
	m.mu.Lock()
	defer m.mu.Unlock()
	return &peerpb.SyncReply{Records: toPBs(m.table.RecordsIn(r.Buckets))}, nil
}

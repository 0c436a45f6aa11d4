package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/gossip"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// pauseTolerance is how much longer than the sum of its timeouts a failed probe may take. After a
// longer probe this daemon concludes that it was itself paused, and ignores the failure.
const pauseTolerance = time.Second

// probe exchanges with target and, if that fails, determines whether the target or the path to it
// has failed.
//
// A connection may stay silent although new connections work, because a middlebox between the two
// ends has dropped its state; an exchange on it then times out although the target is alive. The
// second attempt therefore uses a new connection. The third attempt is made through other daemons,
// in case only the link between this daemon and the target is down.
func (m *Manager) probe(ctx context.Context, target gossip.Record) {
	start := time.Now()
	if m.exchange(ctx, target) == nil || target.State == gossip.Gone {
		return
	}
	m.deps.Dialer.CloseIdleConnections()
	if m.exchange(ctx, target) == nil {
		return
	}
	if m.probeIndirectly(ctx, target) {
		m.metrics.indirectlyReached.Inc()
		return
	}
	limit := 2*m.cfg.ProbeTimeout + m.cfg.IndirectTimeout + pauseTolerance
	if ctx.Err() != nil || time.Since(start) > limit {
		return
	}
	m.mu.Lock()
	c, ok := m.table.RecordProbeFailure(target, time.Now())
	m.mu.Unlock()
	if ok {
		m.handleChanges([]gossip.Change{c}, "")
	}
}

// probeIndirectly asks other daemons to exchange with target and reports whether one succeeded.
func (m *Manager) probeIndirectly(ctx context.Context, target gossip.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.IndirectTimeout)
	defer cancel()
	m.mu.Lock()
	probers := m.table.IndirectProbers(target.ID)
	m.mu.Unlock()
	reached := make(chan bool, len(probers))
	for _, prober := range probers {
		go func() {
			reply, err := m.client(prober).Probe(ctx, &peerpb.ProbeRequest{Target: toPB(target)})
			reached <- err == nil && reply.Reached
		}()
	}
	for range probers {
		if <-reached {
			return true
		}
	}
	return false
}

func (m *Manager) client(to gossip.Record) peerpb.Membership {
	return peerpb.NewMembershipProtobufClient(m.deps.Dialer.URL(to.PeerAddr), m.deps.Dialer.Client)
}

// exchange sends this daemon's message to another daemon and applies the reply.
func (m *Manager) exchange(ctx context.Context, target gossip.Record) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.ProbeTimeout)
	defer cancel()
	m.metrics.exchanges.Inc()
	reply, err := m.client(target).Exchange(ctx, m.message(target.ID))
	if err != nil {
		m.metrics.failures.Inc()
		m.deps.Log.Emit(event.GossipFailed, target.ID, err.Error())
		return errors.Wrap(err, "exchange")
	}
	m.applyMessage(reply)
	if !m.isInSync(reply.Root) && len(reply.Buckets) > 0 {
		m.syncBuckets(ctx, target, reply.Buckets)
	}
	return nil
}

// isInSync reports whether another daemon's table has the same root hash as this one, and records it
// if so.
func (m *Manager) isInSync(root uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if root != m.table.RootHash() {
		return false
	}
	m.table.RecordInSync()
	return true
}

// syncBuckets exchanges the records of a few buckets in which the other daemon's table differs.
func (m *Manager) syncBuckets(ctx context.Context, target gossip.Record, hashes []uint64) {
	m.mu.Lock()
	buckets := m.table.BucketsToSync(hashes, time.Now())
	records := m.table.RecordsIn(buckets)
	m.mu.Unlock()
	if len(buckets) == 0 {
		return
	}
	m.metrics.syncs.Inc()
	reply, err := m.client(target).Sync(ctx, &peerpb.SyncRequest{Buckets: buckets, Records: toPBs(records)})
	if err != nil {
		m.deps.Log.Emit(event.GossipFailed, target.ID, err.Error())
		return
	}
	m.merge(reply.Records, target.ID)
}

// message returns this daemon's message to another. If the recipient is not in state Alive here, the
// message always contains its record, so that it can refute the record at its first contact after a
// pause or a partition.
func (m *Manager) message(to string) *peerpb.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := &peerpb.Gossip{
		From:    toPB(m.table.Self()),
		Updates: toPBs(m.table.Updates()),
		Root:    m.table.RootHash(),
	}
	m.addBroadcasts(g)
	if rec, ok := m.table.Get(to); ok && rec.State != gossip.Alive {
		g.Updates = append(g.Updates, toPB(rec))
	}
	for name, version := range m.digests {
		g.Digests = append(g.Digests, &peerpb.VersionDigest{Name: name, Version: version})
	}
	return g
}

// applyMessage applies another daemon's message.
func (m *Manager) applyMessage(g *peerpb.Gossip) {
	if g.From == nil {
		return
	}
	m.merge(append(g.Updates, g.From), g.From.Id)
	m.applyBroadcasts(g)
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
	m.handleChanges(changes, by)
}

// Exchange implements peerpb.Membership.
func (m *Manager) Exchange(_ context.Context, g *peerpb.Gossip) (*peerpb.Gossip, error) {
	m.applyMessage(g)
	to := ""
	if g.From != nil {
		to = g.From.Id
	}
	reply := m.message(to)
	if !m.isInSync(g.Root) {
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

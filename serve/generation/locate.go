package generation

import (
	"context"
	"slices"
	"time"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/journal"
)

// peekTimeout bounds the question to another entry VM what it knows of a
// generation. One that is paused or cut off must not hold a caller up: its
// answer is not needed where a copy is found.
const peekTimeout = 500 * time.Millisecond

// place is where a generation was found.
type place struct {
	member  membership.Member
	running bool // it is the owner
	epoch   epochs.Epoch
	length  int
	owner   string
	digest  []byte
	failed  bool
	account string
}

func (p place) source() source { return source{p.member.ID, p.epoch} }

// found is what is known of a generation on all members asked.
type found struct {
	places []place // best first
	epoch  epochs.Epoch
	digest []byte
	unsure bool // a member that might know did not answer
}

// known reports whether the generation can be read from somewhere.
func (f found) known() bool { return len(f.places) > 0 }

// locate asks the members that may hold a copy, and the owners these name. It
// does not wait for all of them once it found the owner, unless what that one
// has is among rejected.
func (m *Manager) locate(ctx context.Context, id string, rejected []source) (found, error) {
	v := m.members.Current()
	asked := map[string]bool{}
	var f found
	members := journal.Candidates(id, v)
	for len(members) > 0 {
		places, unsure := m.peekAll(ctx, id, members, asked, rejected)
		f.unsure = f.unsure || unsure
		f.places = append(f.places, places...)
		members = owners(v, places, asked)
	}
	if err := ctx.Err(); err != nil {
		return f, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the caller went away").WithCause(err)
	}
	f.settle()
	return f, nil
}

// settle orders the places: the newest epoch first, in it the owner, then the
// longest copy.
func (f *found) settle() {
	slices.SortStableFunc(f.places, func(a, b place) int {
		switch {
		case a.epoch.OwnerCount() != b.epoch.OwnerCount():
			return b.epoch.OwnerCount() - a.epoch.OwnerCount()
		case a.running != b.running:
			if a.running {
				return -1
			}
			return 1
		}
		return b.length - a.length
	})
	if len(f.places) == 0 {
		return
	}
	f.epoch, f.digest = f.places[0].epoch, f.places[0].digest
	f.places = slices.DeleteFunc(f.places, func(p place) bool { return p.failed })
}

// owners returns the members named as owners that have not been asked yet.
func owners(v *membership.View, places []place, asked map[string]bool) []membership.Member {
	var out []membership.Member
	for _, p := range places {
		if p.owner == "" || asked[p.owner] {
			continue
		}
		if o, ok := v.Find(p.owner); ok {
			out = append(out, o)
		}
	}
	return out
}

func (m *Manager) peekAll(ctx context.Context, id string, members []membership.Member, asked map[string]bool, rejected []source) (out []place, unsure bool) {
	type answer struct {
		p   place
		ok  bool
		err error
	}
	answers := make(chan answer, len(members))
	n := 0
	for _, member := range members {
		if asked[member.ID] {
			continue
		}
		asked[member.ID] = true
		n++
		go func() {
			p, ok, err := m.peek(ctx, id, member)
			answers <- answer{p, ok, err}
		}()
	}
	for range n {
		a := <-answers
		unsure = unsure || a.err != nil
		if a.ok {
			out = append(out, a.p)
		}
		if a.ok && a.p.running && !a.p.failed && !slices.Contains(rejected, a.p.source()) {
			return out, unsure
		}
	}
	return out, unsure
}

func (m *Manager) peek(ctx context.Context, id string, member membership.Member) (place, bool, error) {
	req := &peerpb.AdoptRequest{Id: id, Peek: true}
	var (
		r   *peerpb.AdoptReply
		err error
	)
	if member.ID == m.members.Current().Self.ID {
		r = m.peekHere(id)
	} else {
		ctx, cancel := context.WithTimeout(ctx, peekTimeout)
		defer cancel()
		r, err = m.client(member).Adopt(ctx, req)
	}
	if err != nil || r.GetUnknown() {
		return place{}, false, err
	}
	return place{
		member:  member,
		running: r.GetRunning(),
		epoch:   epochs.Epoch(r.GetEpoch()),
		length:  int(r.GetLength()),
		owner:   r.GetOwner(),
		digest:  r.GetBodyDigest(),
		failed:  r.GetFailed(),
		account: r.GetAccount(),
	}, true, nil
}

// client returns the journal service of another entry VM.
func (m *Manager) client(to membership.Member) peerpb.Journal {
	return peerpb.NewJournalProtobufClient(m.dialer.URL(to.PeerAddr), m.dialer.Client)
}

// sendAppends carries a batch of appends to a holder.
func (m *Manager) sendAppends(ctx context.Context, to membership.Member, batch *peerpb.AppendBatch) (*peerpb.AppendBatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	m.metrics.journalBatches.Inc()
	return m.client(to).Append(ctx, batch)
}

// dropCopy asks a former holder to forget a copy.
func (m *Manager) dropCopy(holder membership.Member, id string, epoch epochs.Epoch) {
	ctx, cancel := context.WithTimeout(m.base, appendTimeout)
	defer cancel()
	// Best effort: a copy that stays behind is shorter than the new one, and
	// adopters take the longest.
	_, _ = m.client(holder).Drop(ctx, &peerpb.DropRequest{Id: id, Epoch: uint64(epoch)})
}

// adoptFrom makes this daemon the owner, from the copy at p.
func (m *Manager) adoptFrom(ctx context.Context, id string, p place, seen epochs.Position) (*Generation, error) {
	self := m.members.Current().Self.ID
	if p.member.ID == self {
		c, rel, ok := m.holder.Adopt(id, self, seen)
		if !ok {
			return nil, errFenced{}
		}
		if rel != epochs.Prefix {
			return nil, &mismatch{rel}
		}
		return m.adopt(c), nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*peekTimeout)
	defer cancel()
	r, err := m.client(p.member).Adopt(ctx, &peerpb.AdoptRequest{
		Id: id, NewOwner: self, SeenEpoch: uint64(seen.Epoch), SeenOffset: uint32(seen.Offset),
	})
	if err != nil {
		return nil, err
	}
	c, ok := journal.FromWire(r.GetCopy())
	switch {
	case r.GetAccepted() && ok:
		return m.adopt(c), nil
	case r.GetBehind():
		return nil, &mismatch{epochs.Behind}
	case r.GetUnknown():
		return nil, errFenced{}
	}
	return nil, &mismatch{epochs.Diverged}
}

func finishOf(s string) engine.FinishReason { return engine.FinishReason(s) }

// prefixHash identifies the head of a prompt for routing as the engines' cache
// events name it; 0 where the prompt fills no block, which no engine caches.
func prefixHash(s *site.Service, prompt string) uint64 {
	ref := engine.ModelRef{Model: s.Model, Adapter: s.Adapter, Version: s.Version}
	hashes := engine.BlockHashes(ref, prompt[:min(len(prompt), prefixBlock)])
	if len(hashes) == 0 {
		return 0
	}
	return hashes[len(hashes)-1]
}

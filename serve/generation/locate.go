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

// peekTimeout bounds a query to another entry VM for a generation. A member that
// is paused or unreachable must not delay a caller, because its reply is not
// needed if a copy is found elsewhere.
const peekTimeout = 500 * time.Millisecond

// location is a member that has a generation, with the state of the generation
// there.
type location struct {
	member     membership.Member
	running    bool // the member is the owner
	epoch      epochs.Epoch
	length     int
	owner      string
	bodyDigest []byte
	failed     bool
	account    string
}

func (p location) copyRef() copyRef { return copyRef{p.member.ID, p.epoch} }

// searchResult is what the queried members know of a generation.
type searchResult struct {
	locations  []location // best first
	epoch      epochs.Epoch
	bodyDigest []byte
	incomplete bool // a member that may know the generation did not reply
}

// isKnown reports whether the generation can be read from some member.
func (r searchResult) isKnown() bool { return len(r.locations) > 0 }

// locate queries the members that may hold a copy, and the owners that they name.
// It does not wait for all replies once it has found the owner, unless the owner's
// copy is among rejected.
func (m *Manager) locate(ctx context.Context, id string, rejected []copyRef) (searchResult, error) {
	view := m.members.Current()
	asked := map[string]bool{}
	var r searchResult
	members := journal.Candidates(id, view)
	for len(members) > 0 {
		locations, incomplete := m.peekAll(ctx, id, members, asked, rejected)
		r.incomplete = r.incomplete || incomplete
		r.locations = append(r.locations, locations...)
		members = unaskedOwners(view, locations, asked)
	}
	if err := ctx.Err(); err != nil {
		return r, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the caller went away").WithCause(err)
	}
	r.sortLocations()
	return r, nil
}

// sortLocations sorts the locations by epoch, newest first, then the owner before
// copies, then by length, longest first. The epoch and digest of the first one are
// kept, and failed generations are then removed.
func (r *searchResult) sortLocations() {
	slices.SortStableFunc(r.locations, func(a, b location) int {
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
	if len(r.locations) == 0 {
		return
	}
	r.epoch, r.bodyDigest = r.locations[0].epoch, r.locations[0].bodyDigest
	r.locations = slices.DeleteFunc(r.locations, func(p location) bool { return p.failed })
}

// unaskedOwners returns the members named as owners that have not been queried
// yet.
func unaskedOwners(view *membership.View, locations []location, asked map[string]bool) []membership.Member {
	var out []membership.Member
	for _, p := range locations {
		if p.owner == "" || asked[p.owner] {
			continue
		}
		if o, ok := view.Find(p.owner); ok {
			out = append(out, o)
		}
	}
	return out
}

// peekAll queries, in parallel, the members that have not been queried yet. It
// returns as soon as an owner has replied whose generation has not failed and is
// not among rejected.
func (m *Manager) peekAll(ctx context.Context, id string, members []membership.Member, asked map[string]bool, rejected []copyRef) (out []location, incomplete bool) {
	type answer struct {
		p   location
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
		incomplete = incomplete || a.err != nil
		if a.ok {
			out = append(out, a.p)
		}
		if a.ok && a.p.running && !a.p.failed && !slices.Contains(rejected, a.p.copyRef()) {
			return out, incomplete
		}
	}
	return out, incomplete
}

// peek queries one member for a generation. The bool is false if the member does
// not know it.
func (m *Manager) peek(ctx context.Context, id string, member membership.Member) (location, bool, error) {
	req := &peerpb.AdoptRequest{Id: id, Peek: true}
	var (
		r   *peerpb.AdoptReply
		err error
	)
	if member.ID == m.members.Current().Self.ID {
		r = m.peekLocal(id)
	} else {
		ctx, cancel := context.WithTimeout(ctx, peekTimeout)
		defer cancel()
		r, err = m.client(member).Adopt(ctx, req)
	}
	if err != nil || r.GetUnknown() {
		return location{}, false, err
	}
	return location{
		member:     member,
		running:    r.GetRunning(),
		epoch:      epochs.Epoch(r.GetEpoch()),
		length:     int(r.GetLength()),
		owner:      r.GetOwner(),
		bodyDigest: r.GetBodyDigest(),
		failed:     r.GetFailed(),
		account:    r.GetAccount(),
	}, true, nil
}

// client returns the journal service of another entry VM.
func (m *Manager) client(to membership.Member) peerpb.Journal {
	return peerpb.NewJournalProtobufClient(m.dialer.URL(to.PeerAddr), m.dialer.Client)
}

// sendAppends sends a batch of appends to a holder.
func (m *Manager) sendAppends(ctx context.Context, to membership.Member, batch *peerpb.AppendBatch) (*peerpb.AppendBatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	m.metrics.journalBatches.Inc()
	return m.client(to).Append(ctx, batch)
}

// dropCopy tells a former holder to drop a copy.
func (m *Manager) dropCopy(holder membership.Member, id string, epoch epochs.Epoch) {
	ctx, cancel := context.WithTimeout(m.base, appendTimeout)
	defer cancel()
	// Best effort: a copy that is not dropped stays shorter than the new one, and
	// adopters choose the longest.
	_, _ = m.client(holder).Drop(ctx, &peerpb.DropRequest{Id: id, Epoch: uint64(epoch)})
}

// adoptFrom makes this daemon the owner of a generation, from the copy at p.
func (m *Manager) adoptFrom(ctx context.Context, id string, p location, seen epochs.Position) (*Generation, error) {
	self := m.members.Current().Self.ID
	if p.member.ID == self {
		c, relation, ok := m.holder.Adopt(id, self, seen)
		if !ok {
			return nil, errFenced{}
		}
		if relation != epochs.Prefix {
			return nil, &mismatchError{relation}
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
		return nil, &mismatchError{epochs.Behind}
	case r.GetUnknown():
		return nil, errFenced{}
	}
	return nil, &mismatchError{epochs.Diverged}
}

func finishReason(s string) engine.FinishReason { return engine.FinishReason(s) }

// prefixHash returns the hash of the start of a prompt for routing, in the form
// used by the engines' cache events. It is 0 if the prompt does not fill a block,
// since engines cache whole blocks only.
func prefixHash(s *site.Service, prompt string) uint64 {
	ref := engine.ModelRef{Model: s.Model, Adapter: s.Adapter, Version: s.Version}
	hashes := engine.BlockHashes(ref, prompt[:min(len(prompt), maxPrefixBytes)])
	if len(hashes) == 0 {
		return 0
	}
	return hashes[len(hashes)-1]
}

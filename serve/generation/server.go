package generation

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/journal"
)

// maxFollowWait bounds how long a question of another entry VM is held.
const maxFollowWait = 5 * time.Second

// Handler returns the twirp service that other entry VMs call, and its path prefix.
func (m *Manager) Handler() (prefix string, h http.Handler) {
	s := peerpb.NewJournalServer(server{m})
	return s.PathPrefix(), s
}

// server implements peerpb.Journal.
type server struct{ m *Manager }

// Open implements peerpb.Journal.
func (s server) Open(_ context.Context, r *peerpb.OpenRequest) (*peerpb.JournalReply, error) {
	c, ok := journal.FromWire(r)
	if !ok {
		return &peerpb.JournalReply{Unknown: true}, nil
	}
	if rival, ok := s.m.rival(c); ok {
		return &peerpb.JournalReply{Epoch: uint64(rival)}, nil
	}
	return reply(s.m.holder.Open(c)), nil
}

// rival returns the epoch of a generation begun here with the same key at the
// same time as c, if that one is to go on. Two entry VMs that each asked before
// the other had begun would otherwise both generate the answer. The smaller
// epoch wins, on both sides alike.
func (m *Manager) rival(c journal.Copy) (epochs.Epoch, bool) {
	g := m.local(c.Spec.GetId())
	if g == nil {
		return 0, false
	}
	s, next := g.state(), c.History.Epoch()
	if s.failure != nil || s.epoch.OwnerCount() != next.OwnerCount() || s.epoch >= next {
		return 0, false
	}
	return s.epoch, true
}

// Append implements peerpb.Journal.
func (s server) Append(_ context.Context, batch *peerpb.AppendBatch) (*peerpb.AppendBatchReply, error) {
	out := &peerpb.AppendBatchReply{Replies: make([]*peerpb.JournalReply, 0, len(batch.GetAppends()))}
	for _, r := range batch.GetAppends() {
		out.Replies = append(out.Replies, reply(s.m.holder.Append(
			r.GetId(), epochs.Epoch(r.GetEpoch()), int(r.GetOffset()), r.GetTokens(), r.GetAttempt(), r.GetFinish())))
	}
	return out, nil
}

// Drop implements peerpb.Journal.
func (s server) Drop(_ context.Context, r *peerpb.DropRequest) (*peerpb.JournalReply, error) {
	s.m.holder.Drop(r.GetId(), epochs.Epoch(r.GetEpoch()))
	return &peerpb.JournalReply{Accepted: true}, nil
}

func reply(r journal.Result) *peerpb.JournalReply {
	return &peerpb.JournalReply{
		Accepted: r.Accepted,
		Unknown:  r.Unknown,
		Epoch:    uint64(r.Epoch),
		Length:   uint32(r.Length),
	}
}

// Adopt implements peerpb.Journal.
func (s server) Adopt(_ context.Context, r *peerpb.AdoptRequest) (*peerpb.AdoptReply, error) {
	if r.GetPeek() {
		return s.m.peekHere(r.GetId()), nil
	}
	seen := epochs.Position{Epoch: epochs.Epoch(r.GetSeenEpoch()), Offset: int(r.GetSeenOffset())}
	c, rel, ok := s.m.holder.Adopt(r.GetId(), r.GetNewOwner(), seen)
	if !ok {
		return &peerpb.AdoptReply{Unknown: true}, nil
	}
	if rel != epochs.Prefix {
		return &peerpb.AdoptReply{Behind: rel == epochs.Behind}, nil
	}
	return &peerpb.AdoptReply{Accepted: true, Copy: journal.ToWire(c)}, nil
}

// peekHere reports what this daemon knows of a generation, as owner or holder.
func (m *Manager) peekHere(id string) *peerpb.AdoptReply {
	if g := m.local(id); g != nil {
		s := g.state()
		return &peerpb.AdoptReply{
			Running:    true,
			Epoch:      uint64(s.epoch),
			Length:     uint32(s.length),
			Owner:      m.members.Current().Self.ID,
			BodyDigest: g.spec.digest(),
			Failed:     s.failure != nil,
			Account:    g.spec.Account.Name,
		}
	}
	c, ok := m.holder.Peek(id)
	if !ok {
		return &peerpb.AdoptReply{Unknown: true}
	}
	return &peerpb.AdoptReply{
		Epoch:      uint64(c.History.Epoch()),
		Length:     uint32(len(c.Tokens)),
		Owner:      c.History.Owner(),
		BodyDigest: c.Spec.GetBodyDigest(),
		Account:    c.Spec.GetAccount(),
	}
}

// Follow implements peerpb.Journal.
func (s server) Follow(ctx context.Context, r *peerpb.FollowRequest) (*peerpb.FollowReply, error) {
	g := s.m.local(r.GetId())
	if g == nil {
		return &peerpb.FollowReply{Unknown: true}, nil
	}
	g.touch()
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxFollowWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	pos := epochs.Position{Epoch: epochs.Epoch(r.GetSeenEpoch()), Offset: int(r.GetFrom())}
	b, err := g.read(ctx, pos)
	return followReply(pos, b, err), nil
}

func followReply(pos epochs.Position, b Batch, err error) *peerpb.FollowReply {
	var (
		final   *verdict.Error
		differs *mismatch
	)
	switch {
	case errors.As(err, &differs):
		return &peerpb.FollowReply{Diverged: true}
	case errors.As(err, &final):
		return &peerpb.FollowReply{
			ErrorCode:    string(final.Code),
			ErrorMessage: final.Message,
			ErrorVerdict: final.Verdict.String(),
		}
	case errors.As(err, new(errFenced)):
		return &peerpb.FollowReply{Unknown: true}
	}
	return &peerpb.FollowReply{
		From:   uint32(pos.Offset),
		Epoch:  uint64(b.Position.Epoch),
		Tokens: b.Tokens,
		Finish: string(b.Finish),
	}
}

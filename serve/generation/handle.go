package generation

import (
	"context"
	"errors"
	"time"

	"mallowwind.dev/decision/lineage"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/platform/engine"
)

const (
	// followWait is how long an owner on another entry VM holds a question for
	// the next tokens.
	followWait = time.Second
	// followSlack is how much longer the answer may take before the owner is
	// taken to be dead, paused or cut off.
	followSlack = 700 * time.Millisecond
	// relocateTries bounds the search for an owner that keeps moving.
	relocateTries = 8
	// relocatePause spaces these tries.
	relocatePause = 100 * time.Millisecond
)

// Handle reads one generation for one caller, wherever it runs. It is not safe
// for concurrent use.
type Handle struct {
	m       *Manager
	id      string
	account string // other accounts do not learn that the generation exists
	local   *Generation
	detach  func()
	remote  *place
}

// handle returns a Handle on g, or on a generation elsewhere if g is nil.
func (m *Manager) handle(spec *Spec, g *Generation) *Handle {
	h := &Handle{m: m, id: spec.ID, account: spec.Account.Name}
	h.useLocal(g)
	return h
}

// Find returns a Handle on a generation that a caller of an account names. It
// does not look for it yet: Read does.
func (m *Manager) Find(id, account string) *Handle {
	h := &Handle{m: m, id: id, account: account}
	if g := m.local(id); g != nil && g.spec.Account.Name == account {
		h.useLocal(g)
	}
	return h
}

func (h *Handle) errUnknown() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownGeneration,
		"no entry VM knows this generation; send the request again for a new answer")
}

// ID returns the generation's id.
func (h *Handle) ID() string { return h.id }

// Close takes the reader off the generation, which runs on for a while.
func (h *Handle) Close() {
	if h.detach != nil {
		h.detach()
	}
	h.local, h.detach, h.remote = nil, nil, nil
}

func (h *Handle) useLocal(g *Generation) {
	h.Close()
	if g != nil {
		h.local, h.detach = g, g.attach()
	}
}

// Read waits for tokens after pos. It follows the generation when its owner
// changes, and takes it over when its owner is gone. Errors are *verdict.Error
// or the context's.
func (h *Handle) Read(ctx context.Context, pos lineage.Position) (Batch, error) {
	for try := 0; ; try++ {
		b, err := h.readOnce(ctx, pos)
		if err == nil || ctx.Err() != nil {
			return b, err
		}
		var final *verdict.Error
		if errors.As(err, &final) {
			return b, final
		}
		if try >= relocateTries {
			return b, errLost("the answer's owner could not be reached").Because(err)
		}
		if err := h.relocate(ctx, pos, try); err != nil {
			return b, err
		}
	}
}

func (h *Handle) readOnce(ctx context.Context, pos lineage.Position) (Batch, error) {
	switch {
	case h.local != nil:
		return h.local.read(ctx, pos)
	case h.remote != nil:
		return h.follow(ctx, pos)
	}
	return Batch{}, errFenced{}
}

// relocate finds out where the generation can be read now.
func (h *Handle) relocate(ctx context.Context, pos lineage.Position, try int) error {
	if try > 0 {
		select {
		case <-time.After(relocatePause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	h.Close()
	if g := h.m.local(h.id); g != nil && g.spec.Account.Name == h.account {
		h.useLocal(g)
		return nil
	}
	f, err := h.m.locate(ctx, h.id)
	if err != nil {
		return err
	}
	if !f.known() {
		if f.unsure && try < relocateTries {
			return nil // somebody who may know did not answer: ask again
		}
		return h.errUnknown()
	}
	if f.places[0].account != h.account {
		return h.errUnknown()
	}
	return h.settle(ctx, f, pos)
}

// settle reads on at the owner, or takes over from the best copy.
func (h *Handle) settle(ctx context.Context, f found, pos lineage.Position) error {
	best := f.places[0]
	if best.running {
		h.remote = &best
		return nil
	}
	var last error
	for _, p := range f.places {
		if p.running || p.epoch.Count() < best.epoch.Count() {
			continue
		}
		g, err := h.m.adoptFrom(ctx, h.id, p, pos)
		if err == nil {
			h.useLocal(g)
			return nil
		}
		last = err
	}
	var final *verdict.Error
	if errors.As(last, &final) {
		return final
	}
	return nil // the copy's holder did not answer: look again
}

// follow asks the owner for the next tokens. The deadline is the guard against
// an owner that is paused or silent: the question comes back empty after
// followWait when all is well, so a missing answer means a lost owner.
func (h *Handle) follow(ctx context.Context, pos lineage.Position) (Batch, error) {
	for {
		c, cancel := context.WithTimeout(ctx, followWait+followSlack)
		r, err := h.m.client(h.remote.member).Follow(c, &peerpb.FollowRequest{
			Id: h.id, SeenEpoch: uint64(pos.Epoch), From: uint32(pos.Offset), WaitMs: uint32(followWait / time.Millisecond),
		})
		cancel()
		if err != nil {
			h.m.dialer.DropIdle()
			return Batch{}, errors.Join(errFenced{}, err)
		}
		b, err := followed(r, pos)
		if err != nil || len(b.Tokens) > 0 || b.Finish != "" {
			return b, err
		}
	}
}

// followed turns an owner's answer into a batch.
func followed(r *peerpb.FollowReply, pos lineage.Position) (Batch, error) {
	switch {
	case r.GetUnknown():
		return Batch{}, errFenced{}
	case r.GetDiverged():
		return Batch{}, errRelation(lineage.Diverged)
	case r.GetErrorCode() != "":
		v, _ := verdict.Parse(r.GetErrorVerdict())
		return Batch{}, verdict.New(v, verdict.Code(r.GetErrorCode()), "%s", r.GetErrorMessage())
	case len(r.GetTokens()) > 0 && int(r.GetFrom()) != pos.Offset:
		return Batch{}, errFenced{}
	}
	b := Batch{Tokens: r.GetTokens(), Position: pos, Finish: engine.FinishReason(r.GetFinish())}
	if n := len(b.Tokens); n > 0 {
		b.Position = lineage.Position{Epoch: lineage.Epoch(r.GetEpoch()), Offset: pos.Offset + n}
	}
	return b, nil
}

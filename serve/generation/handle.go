package generation

import (
	"context"
	"errors"
	"slices"
	"time"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/peer/peerpb"
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
	// spec is what was asked for, nil for a caller that names a generation only.
	spec   *Spec
	local  *Generation
	detach func()
	remote *place
	at     source // where local or remote is
	// rejected are places that do not continue what the caller holds, and
	// differs says how the last of them failed to.
	rejected []source
	differs  *mismatch
	// tries counts searches since the last batch. It lasts over calls of Read,
	// which a stream makes anew for every keep-alive: counted within one call
	// alone, a caller whose answer is nowhere would get keep-alives for ever.
	tries int
}

// source names one copy of an answer: where it is, and of which continuation.
type source struct {
	member string
	epoch  epochs.Epoch
}

func (m *Manager) sourceOf(g *Generation) source {
	return source{m.members.Current().Self.ID, g.state().epoch}
}

// handle returns a Handle on g, or on a generation elsewhere if g is nil.
func (m *Manager) handle(spec *Spec, g *Generation) *Handle {
	h := &Handle{m: m, id: spec.ID, account: spec.Account.Name, spec: spec}
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

// errUnreachable tells a caller to come back. It is for an answer whose entry
// VMs are cut off or not yet known to be dead: told that nobody knows it, the
// caller would throw away minutes of work that are there again in seconds.
func errUnreachable() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeGenerationUnreachable,
		"the entry VMs that may know this generation do not answer now; ask again with Last-Event-ID").WithRetryAfter(retryReach)
}

// retryReach is the wait told to such callers: about the time in which a VM
// that is back is noticed.
const retryReach = time.Second

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
		h.local, h.detach, h.at = g, g.attach(), h.m.sourceOf(g)
	}
}

// Read waits for tokens after pos. It follows the generation when its owner
// changes, and takes it over when its owner is gone. Errors are *verdict.Error
// or the context's.
func (h *Handle) Read(ctx context.Context, pos epochs.Position) (Batch, error) {
	for {
		b, err := h.readOnce(ctx, pos)
		if err == nil {
			h.tries = 0
			return h.checked(pos, b)
		}
		if ctx.Err() != nil {
			return b, err
		}
		var (
			final   *verdict.Error
			differs *mismatch
		)
		switch {
		case errors.As(err, &final):
			return b, final
		case errors.As(err, &differs):
			h.reject(h.at, differs)
		}
		if h.tries >= relocateTries {
			return b, h.lost().WithCause(err)
		}
		if err := h.relocate(ctx, pos); err != nil {
			return b, err
		}
	}
}

// checked asserts that b continues exactly what the caller holds.
func (h *Handle) checked(pos epochs.Position, b Batch) (Batch, error) {
	if b.Position.Offset != pos.Offset+len(b.Tokens) {
		return Batch{Position: pos}, h.m.violated(h.id, invariantPosition,
			"%d tokens from %d end at %d", len(b.Tokens), pos.Offset, b.Position.Offset)
	}
	return b, nil
}

func (h *Handle) readOnce(ctx context.Context, pos epochs.Position) (Batch, error) {
	switch {
	case h.local != nil:
		return h.local.read(ctx, pos)
	case h.remote != nil:
		return h.follow(ctx, pos)
	}
	return Batch{}, errFenced{}
}

// lost is the error for a caller whose answer is found nowhere any more.
func (h *Handle) lost() *verdict.Error {
	if h.differs != nil {
		return h.differs.final()
	}
	return errLost("the answer's owner could not be reached")
}

// reject remembers that what is kept at s does not continue what the caller holds.
func (h *Handle) reject(s source, why *mismatch) {
	h.differs = why
	h.rejected = append(h.rejected, s)
}

// relocate finds out where the generation can be read now. Where nobody knows it any more
// and the caller holds nothing, what it asked for begins anew.
//
// The failure this answers: the same key comes to three entry VMs in the same moment. Two
// begin a generation each, hear of each other's and give up their own, and the callers that
// were led there are told that nobody knows what they have just asked for.
func (h *Handle) relocate(ctx context.Context, pos epochs.Position) error {
	h.tries++
	if h.tries > 1 {
		select {
		case <-time.After(relocatePause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	h.Close()
	if g := h.m.local(h.id); g != nil && g.spec.Account.Name == h.account && !h.isRejected(h.m.sourceOf(g)) {
		h.useLocal(g)
		return nil
	}
	f, err := h.m.locate(ctx, h.id, h.rejected)
	if err != nil {
		return err
	}
	if len(f.places) > 0 && f.places[0].account != h.account {
		return h.errUnknown()
	}
	f.places = slices.DeleteFunc(f.places, func(p place) bool { return h.isRejected(p.source()) })
	switch {
	case f.known():
		return h.settle(ctx, f, pos)
	case f.unsure && h.tries < relocateTries:
		return nil // somebody who may know did not answer: ask again
	case f.unsure:
		return errUnreachable()
	case h.differs != nil:
		return h.differs.final()
	case h.spec != nil && pos.Offset == 0:
		h.useLocal(h.m.start(h.spec, h.m.firstLine(f.epoch)))
		return nil
	}
	return h.errUnknown()
}

func (h *Handle) isRejected(s source) bool { return slices.Contains(h.rejected, s) }

// settle reads on at the owner, or takes over from the best copy that continues
// what the caller holds. After an entry VM was cut off there may be two
// continuations; a caller of the older one is served from a copy of that.
func (h *Handle) settle(ctx context.Context, f found, pos epochs.Position) error {
	for _, p := range f.places {
		if p.running {
			h.remote, h.at = &p, p.source()
			return nil
		}
		g, err := h.m.adoptFrom(ctx, h.id, p, pos)
		if err == nil {
			h.useLocal(g)
			return nil
		}
		var differs *mismatch
		if !errors.As(err, &differs) {
			return nil // the copy's holder did not answer: look again
		}
		h.reject(p.source(), differs)
	}
	return nil // all rejected: look again, at those who did not answer too
}

// follow asks the owner for the next tokens. The deadline is the guard against
// an owner that is paused or silent: the question comes back empty after
// followWait when all is well, so a missing answer means a lost owner.
func (h *Handle) follow(ctx context.Context, pos epochs.Position) (Batch, error) {
	for {
		c, cancel := context.WithTimeout(ctx, followWait+followSlack)
		r, err := h.m.client(h.remote.member).Follow(c, &peerpb.FollowRequest{
			Id: h.id, SeenEpoch: uint64(pos.Epoch), From: uint32(pos.Offset), WaitMs: uint32(followWait / time.Millisecond),
		})
		cancel()
		if err != nil {
			h.m.dialer.CloseIdleConnections()
			return Batch{}, errors.Join(errFenced{}, err)
		}
		b, err := followed(r, pos)
		if err != nil || len(b.Tokens) > 0 || b.Finish != "" {
			return b, err
		}
	}
}

// followed turns an owner's answer into a batch.
func followed(r *peerpb.FollowReply, pos epochs.Position) (Batch, error) {
	switch {
	case r.GetUnknown():
		return Batch{}, errFenced{}
	case r.GetDiverged():
		return Batch{}, &mismatch{epochs.Diverged}
	case r.GetErrorCode() != "":
		v, _ := verdict.Parse(r.GetErrorVerdict())
		return Batch{}, verdict.New(v, verdict.Code(r.GetErrorCode()), "%s", r.GetErrorMessage())
	case len(r.GetTokens()) > 0 && int(r.GetFrom()) != pos.Offset:
		return Batch{}, errFenced{}
	}
	b := Batch{Tokens: r.GetTokens(), Position: pos, Finish: engine.FinishReason(r.GetFinish())}
	if n := len(b.Tokens); n > 0 {
		b.Position = epochs.Position{Epoch: epochs.Epoch(r.GetEpoch()), Offset: pos.Offset + n}
	}
	return b, nil
}

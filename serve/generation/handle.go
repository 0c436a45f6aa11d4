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
	// followWait is how long the owner on another entry VM waits for the next tokens
	// before it replies to a Follow call without any.
	followWait = time.Second
	// followMargin is how much longer the reply may take before the owner is assumed
	// to have crashed, to be paused or to be unreachable.
	followMargin = 700 * time.Millisecond
	// maxRelocations bounds the searches for an owner that changes repeatedly.
	maxRelocations = 8
	// relocationDelay is the delay between these searches.
	relocationDelay = 100 * time.Millisecond
)

// Handle reads one generation for one caller, on whichever entry VM it runs. It is
// not safe for concurrent use.
type Handle struct {
	m       *Manager
	id      string
	account string // other accounts do not learn that the generation exists
	// spec is the caller's request, nil if the caller named only a generation.
	spec    *Spec
	local   *Generation
	detach  func()
	remote  *location
	current copyRef // the copy that local or remote refers to
	// rejected lists copies that do not continue what the caller holds. lastMismatch
	// is the error of the last one.
	rejected     []copyRef
	lastMismatch *mismatchError
	// relocations counts searches since the last batch, across calls of Read. A
	// stream calls Read again for every keep-alive. If the count started anew with
	// each call, a caller whose answer is lost would get keep-alives forever.
	relocations int
}

// copyRef identifies one copy of an answer by the member that has it and its
// epoch.
type copyRef struct {
	member string
	epoch  epochs.Epoch
}

func (m *Manager) copyRefOf(g *Generation) copyRef {
	return copyRef{m.members.Current().Self.ID, g.state().epoch}
}

// newHandle returns a Handle for g, or for a generation on another entry VM if g
// is nil.
func (m *Manager) newHandle(spec *Spec, g *Generation) *Handle {
	h := &Handle{m: m, id: spec.ID, account: spec.Account.Name, spec: spec}
	h.useLocal(g)
	return h
}

// Find returns a Handle for the generation with this id, as a caller of this
// account. It does not search the other entry VMs; Read does.
func (m *Manager) Find(id, account string) *Handle {
	h := &Handle{m: m, id: id, account: account}
	if g := m.localGeneration(id); g != nil && g.spec.Account.Name == account {
		h.useLocal(g)
	}
	return h
}

func (h *Handle) errUnknown() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnknownGeneration,
		"no entry VM knows this generation; send the request again for a new answer")
}

// errUnreachable tells a caller to retry. It applies if entry VMs that may know
// the generation are unreachable or not yet known to have crashed. If the caller
// were told that the generation is unknown, it would discard minutes of work that
// may be reachable again within seconds.
func errUnreachable() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeGenerationUnreachable,
		"the entry VMs that may know this generation do not answer now; ask again with Last-Event-ID").WithRetryAfter(unreachableRetryAfter)
}

// unreachableRetryAfter is the Retry-After of errUnreachable, about the time in
// which the return of a VM is noticed.
const unreachableRetryAfter = time.Second

// ID returns the generation's id.
func (h *Handle) ID() string { return h.id }

// Close detaches the reader. Without readers the generation runs on for the linger
// time.
func (h *Handle) Close() {
	if h.detach != nil {
		h.detach()
	}
	h.local, h.detach, h.remote = nil, nil, nil
}

func (h *Handle) useLocal(g *Generation) {
	h.Close()
	if g != nil {
		h.local, h.detach, h.current = g, g.attach(), h.m.copyRefOf(g)
	}
}

// Read waits for tokens after pos. It follows the generation when its owner
// changes, and takes it over when its owner is lost. Errors are *verdict.Error or
// the error of ctx.
func (h *Handle) Read(ctx context.Context, pos epochs.Position) (Batch, error) {
	for {
		b, err := h.readOnce(ctx, pos)
		if err == nil {
			h.relocations = 0
			return h.checkBatch(pos, b)
		}
		if ctx.Err() != nil {
			return b, err
		}
		var (
			final    *verdict.Error
			mismatch *mismatchError
		)
		switch {
		case errors.As(err, &final):
			return b, final
		case errors.As(err, &mismatch):
			h.reject(h.current, mismatch)
		}
		if h.relocations >= maxRelocations {
			return b, h.lostError().WithCause(err)
		}
		if err := h.relocate(ctx, pos); err != nil {
			return b, err
		}
	}
}

// checkBatch asserts that b starts exactly where the caller's tokens end.
func (h *Handle) checkBatch(pos epochs.Position, b Batch) (Batch, error) {
	if b.Position.Offset != pos.Offset+len(b.Tokens) {
		return Batch{Position: pos}, h.m.recordViolation(h.id, invariantPosition,
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

// lostError returns the error for a caller whose answer can no longer be found.
func (h *Handle) lostError() *verdict.Error {
	if h.lastMismatch != nil {
		return h.lastMismatch.verdictError()
	}
	return errLost("the answer's owner could not be reached")
}

// reject records that the copy c does not continue what the caller holds.
func (h *Handle) reject(c copyRef, mismatch *mismatchError) {
	h.lastMismatch = mismatch
	h.rejected = append(h.rejected, c)
}

// relocate determines where the generation can be read now. If no entry VM knows it and the
// caller holds nothing, the caller's request is started again.
//
// This handles the same key arriving at three entry VMs at the same moment. Two of them start a
// generation each, learn of each other's and give up their own. Without the restart, callers
// that were directed to them would be told that their new request is unknown.
func (h *Handle) relocate(ctx context.Context, pos epochs.Position) error {
	h.relocations++
	if h.relocations > 1 {
		select {
		case <-time.After(relocationDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	h.Close()
	if g := h.m.localGeneration(h.id); g != nil && g.spec.Account.Name == h.account && !h.isRejected(h.m.copyRefOf(g)) {
		h.useLocal(g)
		return nil
	}
	result, err := h.m.locate(ctx, h.id, h.rejected)
	if err != nil {
		return err
	}
	if len(result.locations) > 0 && result.locations[0].account != h.account {
		return h.errUnknown()
	}
	result.locations = slices.DeleteFunc(result.locations, func(p location) bool { return h.isRejected(p.copyRef()) })
	switch {
	case result.isKnown():
		return h.readFrom(ctx, result, pos)
	case result.incomplete && h.relocations < maxRelocations:
		return nil // a member that may know the generation did not reply: search again
	case result.incomplete:
		return errUnreachable()
	case h.lastMismatch != nil:
		return h.lastMismatch.verdictError()
	case h.spec != nil && pos.Offset == 0:
		h.useLocal(h.m.startGeneration(h.spec, h.m.newHistory(result.epoch)))
		return nil
	}
	return h.errUnknown()
}

func (h *Handle) isRejected(c copyRef) bool { return slices.Contains(h.rejected, c) }

// readFrom continues reading at the owner, or takes over from the best copy that
// continues what the caller holds. After a network partition there may be two
// continuations. A caller of the older one is served from a copy of that one.
func (h *Handle) readFrom(ctx context.Context, result searchResult, pos epochs.Position) error {
	for _, p := range result.locations {
		if p.running {
			h.remote, h.current = &p, p.copyRef()
			return nil
		}
		g, err := h.m.adoptFrom(ctx, h.id, p, pos)
		if err == nil {
			h.useLocal(g)
			return nil
		}
		var mismatch *mismatchError
		if !errors.As(err, &mismatch) {
			return nil // the holder did not reply or lost the copy: search again
		}
		h.reject(p.copyRef(), mismatch)
	}
	return nil // all rejected: search again, including members that did not reply
}

// follow requests the next tokens from the owner. The timeout guards against an
// owner that is paused or silent: a healthy owner replies after followWait even
// without tokens, so a missing reply means that the owner is lost.
func (h *Handle) follow(ctx context.Context, pos epochs.Position) (Batch, error) {
	for {
		c, cancel := context.WithTimeout(ctx, followWait+followMargin)
		r, err := h.m.client(h.remote.member).Follow(c, &peerpb.FollowRequest{
			Id: h.id, SeenEpoch: uint64(pos.Epoch), From: uint32(pos.Offset), WaitMs: uint32(followWait / time.Millisecond),
		})
		cancel()
		if err != nil {
			h.m.dialer.CloseIdleConnections()
			return Batch{}, errors.Join(errFenced{}, err)
		}
		b, err := parseFollowReply(r, pos)
		if err != nil || len(b.Tokens) > 0 || b.Finish != "" {
			return b, err
		}
	}
}

// parseFollowReply converts an owner's reply into a batch.
func parseFollowReply(r *peerpb.FollowReply, pos epochs.Position) (Batch, error) {
	switch {
	case r.GetUnknown():
		return Batch{}, errFenced{}
	case r.GetDiverged():
		return Batch{}, &mismatchError{epochs.Diverged}
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

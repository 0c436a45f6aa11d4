// Package generation runs the generations of one daemon and lets callers read
// them from any entry VM, across the loss of engines and entry VMs.
//
// Invariant: the text that a caller holds for a request is always a prefix of
// exactly one generation. Three mechanisms maintain it. One loop per generation
// accepts the tokens of competing attempts (decision/resume). Tokens are copied
// to another entry VM before they are released, as long as one can be reached
// (serve/journal). Every event id contains the epoch of its token, so that a
// caller that moves to another entry VM is continued only by an answer with the
// same ownership history (decision/epochs).
package generation

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
)

// Batch is a sequence of released tokens that follows a caller's position.
type Batch struct {
	Tokens   []string
	Position epochs.Position // after the last token
	Finish   engine.FinishReason
}

// Generation is one answer owned by this daemon. It is safe for concurrent use.
// It holds the released tokens; the loop holds those that are not yet released.
type Generation struct {
	spec         *Spec
	cancel       context.CancelFunc // stops the loop
	readProgress chan struct{}      // signals the loop that furthestRead grew

	mu           sync.Mutex
	history      epochs.History
	tokens       []string // released: callers may hold them
	finish       engine.FinishReason
	failure      *verdict.Error
	fenced       bool          // a newer owner continues the answer
	changed      chan struct{} // closed and replaced on every change
	readers      int
	idleSince    time.Time // when the last reader left
	furthestRead int       // largest offset that a reader has received
}

func newGeneration(spec *Spec, history epochs.History, tokens []string, finish engine.FinishReason) *Generation {
	return &Generation{
		spec:         spec,
		history:      history,
		tokens:       tokens,
		finish:       finish,
		furthestRead: len(tokens),
		changed:      make(chan struct{}),
		idleSince:    time.Now(),
		readProgress: make(chan struct{}, 1),
		cancel:       func() {},
	}
}

// ID returns the generation's id.
func (g *Generation) ID() string { return g.spec.ID }

// errFenced tells a reader to locate the generation again, because a newer owner
// continues it.
type errFenced struct{}

func (errFenced) Error() string { return "generation: a newer owner continues this answer" }

// mismatchError tells a reader that this copy of the answer does not continue
// what its caller holds. Another copy may.
type mismatchError struct{ relation epochs.Relation }

func (e *mismatchError) Error() string {
	return "generation: the caller's position is " + e.relation.String() + " here"
}

// verdictError returns the error for the caller when no other copy is left.
func (e *mismatchError) verdictError() *verdict.Error {
	if e.relation == epochs.Behind {
		return errLost("every copy left of the answer is shorter than what the caller holds")
	}
	return errLost("the caller holds tokens that no copy left of the answer continues")
}

// read waits for tokens after pos. It returns errFenced if another entry VM owns
// the answer now, *mismatchError if this answer does not continue pos, and a
// *verdict.Error if the answer cannot continue.
func (g *Generation) read(ctx context.Context, pos epochs.Position) (Batch, error) {
	for {
		b, changed, err := g.poll(pos)
		if err != nil || len(b.Tokens) > 0 || b.Finish != "" {
			return b, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Batch{Position: pos}, ctx.Err()
		}
	}
}

// poll returns the tokens released after pos without waiting. If there are none,
// the returned channel is closed on the next change.
func (g *Generation) poll(pos epochs.Position) (Batch, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch relation := g.history.Compare(pos, len(g.tokens)); {
	case relation == epochs.Prefix:
	case relation == epochs.Superseded || g.fenced:
		return Batch{}, nil, errFenced{}
	default:
		return Batch{}, nil, &mismatchError{relation}
	}
	if pos.Offset < len(g.tokens) {
		return g.batchFrom(pos.Offset), nil, nil
	}
	switch {
	case g.fenced:
		return Batch{}, nil, errFenced{}
	case g.failure != nil:
		return Batch{}, nil, g.failure
	}
	return Batch{Position: pos, Finish: g.finish}, g.changed, nil
}

// batchFrom returns the released tokens from an offset on. g.mu must be held.
func (g *Generation) batchFrom(from int) Batch {
	n := len(g.tokens)
	b := Batch{
		Tokens:   g.tokens[from:n:n],
		Position: epochs.Position{Epoch: g.history.EpochAt(n), Offset: n},
	}
	if g.failure == nil && !g.fenced {
		b.Finish = g.finish
	}
	if n > g.furthestRead {
		g.furthestRead = n
		select {
		case g.readProgress <- struct{}{}:
		default:
		}
	}
	return b
}

// release makes tokens visible to callers. If finish is set, they are the last
// ones. It returns the number of tokens released so far.
func (g *Generation) release(tokens []string, finish engine.FinishReason) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, tokens...)
	g.finish = finish
	g.notifyReaders()
	return len(g.tokens)
}

// fail ends the answer with an error for its readers.
func (g *Generation) fail(err *verdict.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failure = err
	g.notifyReaders()
}

// fence marks the answer as continued by a newer owner.
func (g *Generation) fence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fenced = true
	g.notifyReaders()
}

func (g *Generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// attach registers a reader. The returned function unregisters it.
func (g *Generation) attach() (detach func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.readers--
		g.idleSince = time.Now()
	})
}

// recordRemoteRead records a read by another entry VM.
func (g *Generation) recordRemoteRead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idleSince = time.Now()
}

// idleTime returns the time since the last reader left, 0 while there is one.
func (g *Generation) idleTime(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readers > 0 {
		return 0
	}
	return now.Sub(g.idleSince)
}

// unreadCount returns how many of length accepted tokens no reader has received
// yet.
func (g *Generation) unreadCount(length int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return length - g.furthestRead
}

// state is a consistent summary of a generation.
type state struct {
	epoch   epochs.Epoch
	length  int
	fenced  bool
	failure *verdict.Error
	finish  engine.FinishReason
}

// hasEnded reports whether the loop has nothing left to do.
func (s state) hasEnded() bool { return s.fenced || s.failure != nil || s.finish != "" }

func (g *Generation) state() state {
	g.mu.Lock()
	defer g.mu.Unlock()
	return state{
		epoch:   g.history.Epoch(),
		length:  len(g.tokens),
		fenced:  g.fenced,
		failure: g.failure,
		finish:  g.finish,
	}
}

// isReadable reports whether callers can read the answer here.
func (g *Generation) isReadable() bool {
	s := g.state()
	return !s.fenced && s.failure == nil
}

func errLost(message string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeGenerationLost, "%s; send the request again for a new answer", message)
}

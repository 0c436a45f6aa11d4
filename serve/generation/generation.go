// Package generation keeps every answer whole and once.
//
// Invariant: the text a caller holds for a request is always a prefix of
// exactly one generation. Three parts uphold it: one loop per generation admits
// tokens of competing attempts (decision/resume), tokens are copied to another
// entry VM before they are released (serve/journal), and every event id names
// the epoch it came from, so that a caller who moves to another entry VM is
// continued only on the same line (decision/lineage).
package generation

import (
	"context"
	"sync"
	"time"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
)

// Batch is a run of released tokens that follows a caller's position.
type Batch struct {
	Tokens   []string
	Position epochs.Position // after the last token
	Finish   engine.FinishReason
}

// Generation is one answer owned by this daemon. It is safe for concurrent use.
type Generation struct {
	spec   *Spec
	cancel context.CancelFunc // stops the loop
	taken  chan struct{}      // signals the loop that furthest grew

	mu       sync.Mutex
	line     epochs.History
	tokens   []string // released: callers may hold them
	finish   engine.FinishReason
	failure  *verdict.Error
	fenced   bool          // a newer owner continues this answer
	changed  chan struct{} // closed and replaced at every change
	readers  int
	idleFrom time.Time // when the last reader left
	furthest int       // largest offset any reader has taken
}

func newGeneration(spec *Spec, line epochs.History, tokens []string, finish engine.FinishReason) *Generation {
	return &Generation{
		spec:     spec,
		line:     line,
		tokens:   tokens,
		finish:   finish,
		furthest: len(tokens),
		changed:  make(chan struct{}),
		idleFrom: time.Now(),
		taken:    make(chan struct{}, 1),
		cancel:   func() {},
	}
}

// ID returns the generation's id.
func (g *Generation) ID() string { return g.spec.ID }

// errFenced tells a reader to look for the newer owner.
type errFenced struct{}

func (errFenced) Error() string { return "generation: a newer owner continues this answer" }

// mismatch tells a reader that this copy of the answer does not continue what
// it holds; another one may.
type mismatch struct{ relation epochs.Relation }

func (e *mismatch) Error() string {
	return "generation: the caller's position is " + e.relation.String() + " here"
}

// final is the error for the caller when no other copy is left.
func (e *mismatch) final() *verdict.Error {
	if e.relation == epochs.Behind {
		return errLost("every copy left of the answer is shorter than what the caller holds")
	}
	return errLost("the caller holds tokens that no copy left of the answer continues")
}

// read waits for tokens after pos. It returns errFenced when another entry VM
// owns the answer now, *mismatch when pos is not on this answer's line, and a
// *verdict.Error when the answer cannot continue.
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

// poll returns what is released after pos without waiting. While nothing is,
// changed is closed at the next change.
func (g *Generation) poll(pos epochs.Position) (Batch, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch rel := g.line.Compare(pos, len(g.tokens)); {
	case rel == epochs.Prefix:
	case rel == epochs.Superseded || g.fenced:
		return Batch{}, nil, errFenced{}
	default:
		return Batch{}, nil, &mismatch{rel}
	}
	if pos.Offset < len(g.tokens) {
		return g.take(pos.Offset), nil, nil
	}
	switch {
	case g.fenced:
		return Batch{}, nil, errFenced{}
	case g.failure != nil:
		return Batch{}, nil, g.failure
	}
	return Batch{Position: pos, Finish: g.finish}, g.changed, nil
}

// take returns the released tokens from an offset on; g.mu is held.
func (g *Generation) take(from int) Batch {
	n := len(g.tokens)
	b := Batch{
		Tokens:   g.tokens[from:n:n],
		Position: epochs.Position{Epoch: g.line.EpochAt(n), Offset: n},
	}
	if g.failure == nil && !g.fenced {
		b.Finish = g.finish
	}
	if n > g.furthest {
		g.furthest = n
		select {
		case g.taken <- struct{}{}:
		default:
		}
	}
	return b
}

// release makes tokens visible to callers; they are the last if finish is set.
// It returns the length of what is released.
func (g *Generation) release(tokens []string, finish engine.FinishReason) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, tokens...)
	g.finish = finish
	g.wake()
	return len(g.tokens)
}

// fail ends the answer visibly incomplete.
func (g *Generation) fail(err *verdict.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failure = err
	g.wake()
}

// fence marks that a newer owner continues the answer.
func (g *Generation) fence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fenced = true
	g.wake()
}

func (g *Generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// attach counts a reader; the returned function takes it off again.
func (g *Generation) attach() (detach func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.readers--
		g.idleFrom = time.Now()
	})
}

// touch records that a reader on another entry VM asked.
func (g *Generation) touch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idleFrom = time.Now()
}

// idle returns how long nobody has read, 0 while somebody does.
func (g *Generation) idle(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readers > 0 {
		return 0
	}
	return now.Sub(g.idleFrom)
}

// backlog returns how many of length accepted tokens no reader has taken yet.
func (g *Generation) backlog(length int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return length - g.furthest
}

// state is a consistent summary of a generation.
type state struct {
	epoch   epochs.Epoch
	length  int
	fenced  bool
	failure *verdict.Error
	finish  engine.FinishReason
}

// ended reports whether the loop has nothing more to do.
func (s state) ended() bool { return s.fenced || s.failure != nil || s.finish != "" }

func (g *Generation) state() state {
	g.mu.Lock()
	defer g.mu.Unlock()
	return state{
		epoch:   g.line.Epoch(),
		length:  len(g.tokens),
		fenced:  g.fenced,
		failure: g.failure,
		finish:  g.finish,
	}
}

// serves reports whether callers can read the answer here.
func (g *Generation) serves() bool {
	s := g.state()
	return !s.fenced && s.failure == nil
}

func errLost(message string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeGenerationLost, "%s; send the request again for a new answer", message)
}

package enginesim

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/tokencheck"
)

type attemptKey struct {
	id      string
	attempt uint64
}

type phase uint8

const (
	waiting phase = iota
	running
	finished
	cancelled // by Cancel, by a crash, or because it had no reader
)

// generation is one attempt at a request. It is guarded by the engine's mutex.
type generation struct {
	key         attemptKey
	req         engine.Request
	ref         engine.ModelRef
	arrival     uint64
	phase       phase
	prefillLeft int // tokens still to be prefilled
	tokens      []string
	chain       *tokencheck.Chain
	random      *rand.Rand
	maxTokens   int // length of the complete answer, including the prefix
	finish      engine.FinishReason
	readers     map[*reader]struct{}
	unreadSince time.Time // when the last reader detached
	endedAt     time.Time
}

func newGeneration(req engine.Request, random *rand.Rand) *generation {
	g := &generation{
		key:       attemptKey{req.Generation, req.Attempt},
		req:       req,
		ref:       refOf(req),
		tokens:    append([]string(nil), req.Prefix...),
		chain:     tokencheck.NewChain(req.Model, req.Prompt),
		random:    random,
		maxTokens: req.MaxTokens,
		finish:    engine.FinishLength,
		readers:   make(map[*reader]struct{}),
	}
	for _, t := range req.Prefix {
		g.chain.Append(t)
	}
	if n, ok := parseStop(req.Prompt); ok && n < g.maxTokens {
		g.maxTokens, g.finish = n, engine.FinishStop
	}
	return g
}

func refOf(req engine.Request) engine.ModelRef {
	return engine.ModelRef{Model: req.Model, Adapter: req.Adapter, Version: req.Version}
}

// parseStop finds "stop=K" in a prompt, which makes the answer end after K tokens.
func parseStop(prompt string) (int, bool) {
	_, rest, ok := strings.Cut(prompt, "stop=")
	if !ok {
		return 0, false
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(rest)
	}
	n, err := strconv.Atoi(rest[:end])
	return n, err == nil
}

// generateToken appends one token and reports whether the answer is now complete.
func (g *generation) generateToken() bool {
	if len(g.tokens) < g.maxTokens {
		g.tokens = append(g.tokens, g.chain.Next(randomSalt(g.random)))
	}
	return len(g.tokens) >= g.maxTokens
}

// randomSalt returns a random salt, which makes two attempts with the same prefix differ as
// sampling does.
func randomSalt(r *rand.Rand) string {
	b := []byte{'a' + byte(r.IntN(26)), 'a' + byte(r.IntN(26))}
	return string(b[:1+r.IntN(2)])
}

func (g *generation) isDone() bool { return g.phase == finished || g.phase == cancelled }

func (g *generation) notify() {
	for r := range g.readers {
		r.notify()
	}
}

// promptText returns the text that the prompt cache covers: the prompt and the forced prefix.
func (g *generation) promptText() string {
	if len(g.req.Prefix) == 0 {
		return g.req.Prompt
	}
	return g.req.Prompt + strings.Join(g.req.Prefix, "")
}

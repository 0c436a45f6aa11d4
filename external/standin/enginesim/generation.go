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
	cancelled // by Cancel, for want of a reader, or by an unload
)

// generation is one attempt. The engine's mutex guards it.
type generation struct {
	key         attemptKey
	req         engine.Request
	ref         engine.ModelRef
	arrival     uint64
	phase       phase
	prefillLeft int // prompt and prefix tokens still to work off
	tokens      []string
	chain       *tokencheck.Chain
	random      *rand.Rand
	maxTokens   int // tokens of the whole answer
	finish      engine.FinishReason
	readers     map[*reader]struct{}
	unreadSince time.Time // when the last reader left
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

// parseStop finds "stop=K" in a prompt: the answer then ends by itself after K tokens.
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

// generateToken makes one token. It reports whether the answer is now whole.
func (g *generation) generateToken() bool {
	if len(g.tokens) < g.maxTokens {
		g.tokens = append(g.tokens, g.chain.Next(randomSalt(g.random)))
	}
	return len(g.tokens) >= g.maxTokens
}

// randomSalt makes two attempts over the same prefix differ, as sampling does.
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

// promptText is what the engine's cache sees: the prompt and the forced prefix.
func (g *generation) promptText() string {
	if len(g.req.Prefix) == 0 {
		return g.req.Prompt
	}
	return g.req.Prompt + strings.Join(g.req.Prefix, "")
}

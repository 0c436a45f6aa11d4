package losses

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/lab/world"
)

// The sizes of requests. Prompts differ from their first character on, so that
// no prefix is cached but that of the answer's own earlier attempts.
const (
	promptBytes          = 6000
	minTokens, maxTokens = 120, 240
	// maxMoves bounds connecting to another entry VM.
	maxMoves = 12
)

// stall is a time in which a caller's answer did not grow.
type stall struct{ from, to time.Time }

// caller sends one request after the other and notes every wait.
type caller struct {
	index int
	world *world.World
	rng   *rand.Rand

	mu           sync.Mutex
	answerID     string
	vm           int
	stalls       []stall
	requests     int
	promptTokens int // tokens of prompts, each request once
	tokens       int
	failed       int
	violation    error // a promise that did not hold
}

// current returns the answer being read and through which entry VM.
func (c *caller) current() (id string, vm int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answerID, c.vm
}

// run sends requests until the given time and finishes the last.
func (c *caller) run(ctx context.Context, until time.Time) {
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		if err := c.request(ctx, n); err != nil {
			c.mu.Lock()
			c.violation = err
			c.mu.Unlock()
			return
		}
	}
}

// request reads one answer. The wait for its first token is not counted.
func (c *caller) request(ctx context.Context, n int) error {
	prompt := strings.Repeat(fmt.Sprintf("%d/%d/%d ", c.index, n, c.rng.Uint32()), promptBytes/16)
	want := minTokens + c.rng.IntN(maxTokens-minTokens)
	c.recordRequest(prompt)
	a := c.world.Caller(prompt, "", want)
	defer func() { a.Close() }()
	var last time.Time
	held := 0 // most tokens of this request held at any time
	for vm, try := c.index, 0; !a.Done && try < maxMoves; try++ {
		if err := a.Submit(ctx, vm%vms); err != nil {
			vm++
			continue
		}
		c.recordAttempt(a)
		err := c.readAnswer(ctx, a, &held, &last)
		if bad := a.Check(); bad != nil {
			return bad
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			vm = a.VM() + 1
		}
	}
	if !a.Done {
		c.mu.Lock()
		c.failed++
		c.mu.Unlock()
	}
	return nil
}

func (c *caller) recordAttempt(a *world.Caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerID, c.vm = a.ID, a.VM()
}

func (c *caller) recordRequest(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.promptTokens += (len(prompt) + engine.BytesPerToken - 1) / engine.BytesPerToken
}

// readAnswer reads an answer to its end, moving on when an entry VM is lost.
func (c *caller) readAnswer(ctx context.Context, a *world.Caller, held *int, last *time.Time) error {
	for moves := 0; !a.Done; {
		err := a.Read(ctx)
		for errors.Is(err, world.ErrConnection) {
			if moves++; moves > maxMoves {
				return err
			}
			err = a.Continue((a.VM() + 1) % vms)
			c.mu.Lock()
			c.vm = a.VM()
			c.mu.Unlock()
		}
		if err != nil {
			return err
		}
		if a.Pos.Offset > *held {
			c.recordTokens(a.Pos.Offset-*held, *last)
			*held, *last = a.Pos.Offset, time.Now()
		}
	}
	return nil
}

// recordTokens notes n more tokens after a wait since last, which is zero at first.
func (c *caller) recordTokens(n int, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += n
	if !last.IsZero() {
		c.stalls = append(c.stalls, stall{last, time.Now()})
	}
}

// longestStall returns how long the answer stood still because of what happened at t:
// the longest wait that began at t or shortly after and had not ended then.
func (c *caller) longestStall(t time.Time) time.Duration {
	const soon = 100 * time.Millisecond // tokens under way still arrive
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest time.Duration
	for _, w := range c.stalls {
		if w.to.After(t) && w.from.Before(t.Add(soon)) {
			longest = max(longest, w.to.Sub(w.from))
		}
	}
	return longest
}

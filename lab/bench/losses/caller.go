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

// Request sizes. Prompts differ from their first character on, so that an attempt finds no cached
// prefix except that of earlier attempts at the same answer.
const (
	promptBytes          = 6000
	minTokens, maxTokens = 120, 240
	// maxMoves bounds the entry VMs that a caller tries, and how often it reconnects while reading.
	maxMoves = 12
)

// stall is an interval in which a caller received no tokens of its answer.
type stall struct{ from, to time.Time }

// caller sends one request after the other and records every stall.
type caller struct {
	index int
	world *world.World
	rng   *rand.Rand

	mu           sync.Mutex
	answerID     string
	vm           int
	stalls       []stall
	requests     int
	promptTokens int // of each request once
	tokens       int
	failed       int
	violation    error // a guarantee of the answer that did not hold
}

// current returns the id of the answer being read and the index of the entry VM it is read from.
func (c *caller) current() (id string, vm int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answerID, c.vm
}

// run sends requests until the given time and reads the last answer to its end.
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

// request sends one request and reads its answer. The time to the first token is not a stall.
func (c *caller) request(ctx context.Context, n int) error {
	prompt := strings.Repeat(fmt.Sprintf("%d/%d/%d ", c.index, n, c.rng.Uint32()), promptBytes/16)
	want := minTokens + c.rng.IntN(maxTokens-minTokens)
	c.recordRequest(prompt)
	a := c.world.Caller(prompt, "", want)
	defer func() { a.Close() }()
	var last time.Time
	held := 0 // most tokens of the answer received by any submission
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

// readAnswer reads an answer to its end. When the connection is lost it continues at the next entry
// VM.
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

// recordTokens counts n new tokens and the stall since last. last is zero for the first tokens.
func (c *caller) recordTokens(n int, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += n
	if !last.IsZero() {
		c.stalls = append(c.stalls, stall{last, time.Now()})
	}
}

// longestStall returns how long a fault at t stalled the answer: the longest stall that ended after t
// and began before or shortly after t.
func (c *caller) longestStall(t time.Time) time.Duration {
	const inFlightGrace = 100 * time.Millisecond // in-flight tokens still arrive
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest time.Duration
	for _, w := range c.stalls {
		if w.to.After(t) && w.from.Before(t.Add(inFlightGrace)) {
			longest = max(longest, w.to.Sub(w.from))
		}
	}
	return longest
}

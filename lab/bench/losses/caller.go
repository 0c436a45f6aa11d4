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
	// moveTries bounds connecting to another entry VM.
	moveTries = 12
)

// wait is a time in which a caller's answer did not grow.
type wait struct{ from, to time.Time }

// caller sends one request after the other and notes every wait.
type caller struct {
	number int
	w      *world.World
	random *rand.Rand

	mu       sync.Mutex
	id       string
	vm       int
	waits    []wait
	requests int
	reads    int // tokens of prompts, each request once
	tokens   int
	failed   int
	broken   error // a promise that did not hold
}

// at returns the answer being read and through which entry VM.
func (c *caller) at() (id string, vm int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id, c.vm
}

// run sends requests until the given time and finishes the last.
func (c *caller) run(ctx context.Context, until time.Time) {
	for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
		if err := c.request(ctx, n); err != nil {
			c.mu.Lock()
			c.broken = err
			c.mu.Unlock()
			return
		}
	}
}

// request reads one answer. The wait for its first token is not counted.
func (c *caller) request(ctx context.Context, n int) error {
	prompt := strings.Repeat(fmt.Sprintf("%d/%d/%d ", c.number, n, c.random.Uint32()), promptBytes/16)
	want := minTokens + c.random.IntN(maxTokens-minTokens)
	c.asks(prompt)
	a := c.w.Caller(prompt, "", want)
	defer func() { a.Close() }()
	var last time.Time
	held := 0 // most tokens of this request held at any time
	for vm, try := c.number, 0; !a.Done && try < moveTries; try++ {
		if err := a.Submit(ctx, vm%vms); err != nil {
			vm++
			continue
		}
		c.begun(a)
		err := c.read(ctx, a, &held, &last)
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

func (c *caller) begun(a *world.Caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id, c.vm = a.ID, a.VM()
}

func (c *caller) asks(prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.reads += (len(prompt) + engine.BytesPerToken - 1) / engine.BytesPerToken
}

// read reads an answer to its end, moving on when an entry VM is lost.
func (c *caller) read(ctx context.Context, a *world.Caller, held *int, last *time.Time) error {
	for moves := 0; !a.Done; {
		err := a.Read(ctx)
		for errors.Is(err, world.ErrConnection) {
			if moves++; moves > moveTries {
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
			c.grew(a.Pos.Offset-*held, *last)
			*held, *last = a.Pos.Offset, time.Now()
		}
	}
	return nil
}

// grew notes n more tokens after a wait since last, which is zero at first.
func (c *caller) grew(n int, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens += n
	if !last.IsZero() {
		c.waits = append(c.waits, wait{last, time.Now()})
	}
}

// waited returns how long the answer stood still because of what happened at t:
// the longest wait that began at t or shortly after and had not ended then.
func (c *caller) waited(t time.Time) time.Duration {
	const soon = 100 * time.Millisecond // tokens under way still arrive
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest time.Duration
	for _, w := range c.waits {
		if w.to.After(t) && w.from.Before(t.Add(soon)) {
			longest = max(longest, w.to.Sub(w.from))
		}
	}
	return longest
}

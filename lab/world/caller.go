package world

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/standin/tokencheck"
	"mallowwind.dev/serve/generation"
)

// ErrConnection is returned to a caller when its entry VM dies or stays silent.
var ErrConnection = errors.New("connection to the entry VM lost")

// defaultCallerTimeout is how long a caller waits on a silent connection before it treats it as
// lost: somewhat longer than the keep-alive interval.
const defaultCallerTimeout = 6 * time.Second

// Caller is the client side of one generation and holds the tokens received so far.
// It is not safe for concurrent use.
type Caller struct {
	Prompt, Key string
	Tokens      int // requested
	Account     string
	ID          string // of the generation, once known
	Pos         epochs.Position
	Done        bool // the terminal event was received

	w    *World
	vm   int
	h    *generation.Handle
	text strings.Builder
}

// Caller returns a caller with a request not yet sent.
func (w *World) Caller(prompt, key string, tokens int) *Caller {
	return &Caller{w: w, Prompt: prompt, Key: key, Tokens: tokens, Account: Account}
}

// Submit sends the request to an entry VM and reads from the first token of its generation.
func (c *Caller) Submit(ctx context.Context, vm int) error {
	c.Close()
	c.vm = vm
	h, err := c.callWithTimeout(ctx, func(ctx context.Context) (*generation.Handle, error) {
		return c.w.Manager(vm).Submit(ctx, &generation.Spec{
			Account: c.w.Site.Accounts[c.Account], Service: c.w.Site.Services[Service],
			Prompt: c.Prompt, MaxTokens: c.Tokens, Temperature: 1, IdempotencyKey: c.Key,
		})
	})
	if err != nil {
		return err
	}
	c.h, c.ID = h, h.ID()
	c.Pos = epochs.Position{}
	c.text.Reset()
	return nil
}

// Continue connects to an entry VM to read on from the last position received.
func (c *Caller) Continue(vm int) error {
	c.Close()
	c.vm = vm
	if f, _ := c.w.Net.vm(VMID(vm)); f == Cut {
		return ErrConnection
	}
	c.h = c.w.Manager(vm).Find(c.ID, c.Account)
	return nil
}

func (c *Caller) callWithTimeout(ctx context.Context, call func(context.Context) (*generation.Handle, error)) (*generation.Handle, error) {
	ctx, cancel := c.connectionContext(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return nil, ErrConnection
	}
	h, err := call(ctx)
	if c.isLost(ctx) {
		return nil, ErrConnection
	}
	return h, err
}

// connectionContext returns a context that ends when the entry VM dies or CallerTimeout is over.
func (c *Caller) connectionContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.w.config.CallerTimeout, ErrConnection)
	f, changed := c.w.Net.vm(VMID(c.vm))
	if f == Cut {
		cancel()
		return ctx, cancel
	}
	go func() {
		for f != Cut {
			select {
			case <-changed:
				f, changed = c.w.Net.vm(VMID(c.vm))
			case <-ctx.Done():
				return
			}
		}
		cancel()
	}()
	return ctx, cancel
}

// isLost reports whether the entry VM is dead or paused. If it is paused, isLost
// first waits for the end of ctx.
func (c *Caller) isLost(ctx context.Context) bool {
	f, _ := c.w.Net.vm(VMID(c.vm))
	if f == Hang {
		<-ctx.Done()
	}
	return f != Healthy
}

// Read reads one batch. It returns ErrConnection when the entry VM is lost and a
// *verdict.Error when the generation ends incomplete. If no token arrives within
// CallerTimeout it returns nil, since a live entry VM still sends keep-alives.
func (c *Caller) Read(ctx context.Context) error {
	conn, cancel := c.connectionContext(ctx)
	defer cancel()
	b, err := c.h.Read(conn, c.Pos)
	if c.isLost(conn) {
		return ErrConnection
	}
	if err != nil {
		var final *verdict.Error
		if errors.As(err, &final) || ctx.Err() != nil {
			return err
		}
		return nil
	}
	c.text.WriteString(strings.Join(b.Tokens, ""))
	c.Pos = b.Position
	c.Done = b.Finish != ""
	return nil
}

// ReadTo reads until the caller holds n tokens or the generation is complete.
func (c *Caller) ReadTo(ctx context.Context, n int) error {
	for c.Pos.Offset < n && !c.Done {
		if err := c.Read(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Finish reads to the end. When an entry VM is lost it continues on the next one in order.
func (c *Caller) Finish(ctx context.Context) error {
	for moves := 0; !c.Done; {
		err := c.Read(ctx)
		for errors.Is(err, ErrConnection) {
			if moves++; moves > 3*c.w.config.VMs {
				return err
			}
			err = c.Continue((c.vm + 1) % c.w.config.VMs)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Check verifies that the received text is a prefix of a single generation, and is
// complete if the terminal event was received.
func (c *Caller) Check() error {
	n, err := tokencheck.Check(Model, c.Prompt, c.text.String())
	switch {
	case err != nil:
		return err
	case n != c.Pos.Offset:
		return errors.Errorf("%d tokens received, but the position is %d", n, c.Pos.Offset)
	case c.Done && n != c.Tokens:
		return errors.Errorf("terminal event received after %d of %d tokens", n, c.Tokens)
	}
	return nil
}

// VM returns the index of the entry VM that the caller is connected to.
func (c *Caller) VM() int { return c.vm }

// Text returns the text received so far.
func (c *Caller) Text() string { return c.text.String() }

// Close drops the connection.
func (c *Caller) Close() {
	if c.h != nil {
		c.h.Close()
		c.h = nil
	}
}

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

// ErrConnection is what a caller sees when its entry VM dies or stays silent.
var ErrConnection = errors.New("connection to the entry VM lost")

// defaultCallerTimeout is how long a caller waits on a connection without any sign of life
// before it takes it to be lost: somewhat more than the keep-alive interval.
const defaultCallerTimeout = 6 * time.Second

// Caller holds what one caller has of one answer. It is not safe for
// concurrent use.
type Caller struct {
	Prompt, Key string
	Tokens      int // asked for
	Account     string
	ID          string // of the generation, once known
	Pos         epochs.Position
	Done        bool // the terminal event came

	w    *World
	vm   int
	h    *generation.Handle
	text strings.Builder
}

// Caller returns a caller with a request not yet sent.
func (w *World) Caller(prompt, key string, tokens int) *Caller {
	return &Caller{w: w, Prompt: prompt, Key: key, Tokens: tokens, Account: Account}
}

// Submit sends the request to an entry VM; the answer comes from its first token.
func (c *Caller) Submit(ctx context.Context, vm int) error {
	c.Close()
	c.vm = vm
	h, err := c.callWithTimeout(ctx, func(ctx context.Context) (*generation.Handle, error) {
		return c.w.Manager(vm).Submit(ctx, &generation.Spec{
			Account: c.w.Site.Accounts[c.Account], Service: c.w.Site.Services[Service],
			Prompt: c.Prompt, MaxTokens: c.Tokens, Temperature: 1, Key: c.Key,
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

// Continue connects to an entry VM with the id of the last event.
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

// connectionContext returns a context that ends with the entry VM's life or the
// caller's patience.
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

// isLost reports whether nothing from the entry VM reaches the caller: it is
// dead, or paused until the caller's patience is over.
func (c *Caller) isLost(ctx context.Context) bool {
	f, _ := c.w.Net.vm(VMID(c.vm))
	if f == Hang {
		<-ctx.Done()
	}
	return f != Healthy
}

// Read takes one batch. It returns ErrConnection when the entry VM is lost and
// a *verdict.Error when the answer ends without being whole. While nothing
// comes for the caller's patience it returns nil: keep-alives come.
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

// ReadTo reads until n tokens are held or the answer is whole.
func (c *Caller) ReadTo(ctx context.Context, n int) error {
	for c.Pos.Offset < n && !c.Done {
		if err := c.Read(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Finish reads to the end, moving through the entry VMs in order when one is lost.
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

// Check verifies that what the caller holds is a prefix of one generation, and
// the whole of it if the terminal event came.
func (c *Caller) Check() error {
	n, err := tokencheck.Check(Model, c.Prompt, c.text.String())
	switch {
	case err != nil:
		return err
	case n != c.Pos.Offset:
		return errors.Errorf("%d tokens held at position %d", n, c.Pos.Offset)
	case c.Done && n != c.Tokens:
		return errors.Errorf("terminal event after %d of %d tokens", n, c.Tokens)
	}
	return nil
}

// VM returns the number of the entry VM that the caller is connected to.
func (c *Caller) VM() int { return c.vm }

// Text returns what the caller holds.
func (c *Caller) Text() string { return c.text.String() }

// Close drops the connection.
func (c *Caller) Close() {
	if c.h != nil {
		c.h.Close()
		c.h = nil
	}
}

package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/platform/plain"
	"mallowwind.dev/serve/flow"
)

// calls carries out calls to plain services.
type calls struct {
	d      *Daemon
	active atomic.Int64
}

func newCalls(d *Daemon) *calls { return &calls{d: d} }

// Run implements the loop of a part; calls need none of their own.
func (c *calls) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (c *calls) running() int { return int(c.active.Load()) }

func (c *calls) leave(context.Context) {}

// Call implements api.Calls.
func (c *calls) Call(ctx context.Context, account *site.Account, service *site.Service, key string, call plain.Call) (plain.Answer, error) {
	c.active.Add(1)
	defer c.active.Add(-1)
	grant, err := c.d.flow.Acquire(ctx, flow.Ask{
		Request: key, Account: account, Service: service, Cost: 1, Deadline: time.Now().Add(service.Deadline),
	})
	if err != nil {
		return plain.Answer{}, err
	}
	began := time.Now()
	ans, err := c.d.opts.Platform.Plain.Do(ctx, grant.Backend().Address, call)
	grant.Done(flow.Outcome{Err: err, FirstToken: time.Since(began)})
	switch {
	case err == nil:
		return ans, nil
	case errors.Is(err, plain.ErrNotSent):
		return ans, verdict.New(verdict.NotRun, verdict.CodeBackendFailed, "the backend server could not be reached").Because(err)
	}
	return ans, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the backend server did not answer").Because(err)
}

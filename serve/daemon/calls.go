package daemon

import (
	"context"
	"sync/atomic"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/serve/once"
	"mallowwind.dev/telemetry/event"
)

// calls counts the calls to plain services that run here, so that a graceful
// shutdown waits for them.
type calls struct {
	service *once.Service
	log     *event.Log
	active  atomic.Int64
}

// Call implements api.Calls.
func (c *calls) Call(ctx context.Context, account *site.Account, service *site.Service, key string, call plain.Call) (plain.Response, error) {
	c.active.Add(1)
	defer c.active.Add(-1)
	return c.service.Handle(ctx, once.Request{Account: account, Service: service, Key: key, Call: call})
}

// running returns the number of calls not yet answered.
func (c *calls) running() int { return int(c.active.Load()) }

// leave hands the keys bound here to other entry VMs.
func (c *calls) leave(ctx context.Context) {
	if err := c.service.Leave(ctx); err != nil {
		c.log.Emit(event.HandoverIncomplete, err.Error())
	}
}

package daemon

import (
	"context"
	"sync/atomic"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/serve/once"
	"mallowwind.dev/telemetry/event"
)

// callTracker counts the calls to plain services in progress on this daemon, so that a graceful
// shutdown waits for them.
type callTracker struct {
	service *once.Service
	log     *event.Log
	active  atomic.Int64
}

// Call implements api.Calls.
func (c *callTracker) Call(ctx context.Context, account *site.Account, service *site.Service, key string, call plain.Call) (plain.Response, error) {
	c.active.Add(1)
	defer c.active.Add(-1)
	return c.service.Handle(ctx, once.Request{Account: account, Service: service, Key: key, Call: call})
}

// activeCount returns the number of calls in progress.
func (c *callTracker) activeCount() int { return int(c.active.Load()) }

// handOverKeys hands the idempotency keys bound to this daemon over to other entry VMs.
func (c *callTracker) handOverKeys(ctx context.Context) {
	if err := c.service.Leave(ctx); err != nil {
		c.log.Emit(event.HandoverIncomplete, err.Error())
	}
}

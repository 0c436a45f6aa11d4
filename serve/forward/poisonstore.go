package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/telemetry/event"
)

// storeRetryInterval is the mean delay before a failed store write is retried.
const storeRetryInterval = time.Second

// wakeWriter makes run write the pending entries.
func (p *poisonRegistry) wakeWriter() { wake(p.wakeup) }

// wake puts a value into a channel with a buffer of one, unless it holds one.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run fetches the marks of other daemons once the feed knows some, and writes refusals to the store
// until ctx ends.
func (p *poisonRegistry) run(ctx context.Context) {
	select {
	case <-p.h.opts.Feed.ConfigReady():
		p.fetchMarks(ctx)
	case <-ctx.Done():
	}
	for {
		changed := p.h.opts.Feed.ControlChanged()
		p.mu.Lock()
		p.syncView(p.h.opts.Feed.View())
		p.mu.Unlock()
		select {
		case <-p.wakeup:
			if !p.writePending(ctx) {
				time.AfterFunc(storeRetryInterval/2+rand.N(storeRetryInterval), p.wakeWriter)
			}
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// writePending writes the pending entries to the store. It reports whether none is left to retry.
func (p *poisonRegistry) writePending(ctx context.Context) bool {
	p.mu.Lock()
	pending := slices.Collect(maps.Values(p.pending))
	p.mu.Unlock()
	done := true
	for _, request := range pending {
		err := p.h.opts.Feed.AddRefused(ctx, feed.RefusedRequest{
			Digest: request.GetDigest(), Parts: request.GetParts(), Account: request.GetAccount(), Route: request.GetRoute(), Servers: request.GetServers(),
		})
		p.h.opts.Log.Emit(event.PoisonWritten, request.GetDigest(), err)
		if err != nil && !errors.Is(err, feed.ErrTooManyRefused) {
			done = false
			continue
		}
		p.mu.Lock()
		delete(p.pending, request.GetDigest())
		p.mu.Unlock()
	}
	return done
}

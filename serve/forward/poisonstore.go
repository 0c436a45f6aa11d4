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

const (
	// writeAgain is the mean pause before an entry is written that could not be.
	writeAgain = time.Second
	// settleEvery is how often the view is looked at where no request comes.
	settleEvery = time.Second
)

// rouse has run look at what is pending.
func (p *poisonRegistry) rouse() {
	select {
	case p.roused <- struct{}{}:
	default:
	}
}

// run asks other daemons what they were told, once some are known, and writes refusals to
// the store until ctx ends.
func (p *poisonRegistry) run(ctx context.Context) {
	select {
	case <-p.h.opts.Feed.ConfigReady():
		p.fetchMarks(ctx)
	case <-ctx.Done():
	}
	look := time.NewTicker(settleEvery)
	defer look.Stop()
	for {
		select {
		case <-p.roused:
			if !p.writePending(ctx) {
				time.AfterFunc(writeAgain/2+rand.N(writeAgain), p.rouse)
			}
		case <-look.C:
			p.mu.Lock()
			p.syncView(p.h.opts.Feed.View())
			p.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// writePending writes what is pending to the store. It reports whether nothing is pending any more.
func (p *poisonRegistry) writePending(ctx context.Context) bool {
	p.mu.Lock()
	pending := slices.Collect(maps.Values(p.pending))
	p.mu.Unlock()
	done := true
	for _, one := range pending {
		err := p.h.opts.Feed.AddRefused(ctx, feed.RefusedRequest{
			Digest: one.GetDigest(), Account: one.GetAccount(), Route: one.GetRoute(), Servers: one.GetServers(),
		})
		p.h.opts.Log.Emit(event.PoisonWritten, one.GetDigest(), err)
		if err != nil && !errors.Is(err, feed.ErrTooManyRefused) {
			done = false
			continue
		}
		p.mu.Lock()
		delete(p.pending, one.GetDigest())
		p.mu.Unlock()
	}
	return done
}

package forward

import (
	"context"
	"time"

	"mallowwind.dev/control/feed"
)

// placeOrdered is placeAdmitted. Where requests of the service differ in priority, it records when
// prompts ask for room and find it.
func (r *relay) placeOrdered(ctx context.Context, view *feed.View) (sampledEngine, error) {
	if !r.hasPriorities() {
		return r.placeAdmitted(ctx, view)
	}
	r.h.pressure.recordDemand(time.Now(), r.service, r.rank)
	c, err := r.placeAdmitted(ctx, view)
	if err == nil {
		r.h.pressure.recordPlacement(time.Now(), r.service)
	}
	return c, err
}

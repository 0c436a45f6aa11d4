package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/stand"
)

// settlePoll is how often the system is looked at while it may settle.
const settlePoll = 500 * time.Millisecond

// settle checks that the system comes back to normal after all is healed: that
// every daemon follows the last accepted text, and that every entry VM answers
// each kind of request.
func (r *run) settle(ctx context.Context) {
	healed := time.Now()
	r.within(healed, inForceLimit, func() error { return r.allInForce(ctx) })
	c := r.newCaller(rand.New(rand.NewPCG(r.opts.Plan.Seed, 0)), 0)
	for _, e := range r.fleet.all() {
		r.within(healed, lookupsBack, func() error { return r.serves(ctx, c, e) })
	}
}

// within repeats check until it holds; it is broken when the limit passes first.
func (r *run) within(since time.Time, limit time.Duration, check func() error) {
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Since(since) >= limit {
			r.violate("%v after all was healed: %v", limit, err)
			return
		}
		time.Sleep(settlePoll)
	}
}

func (r *run) allInForce(ctx context.Context) error {
	head, err := r.stand.Operator().Get(ctx)
	if err != nil {
		return errors.Wrap(err, "the accepted text cannot be read")
	}
	for _, e := range r.fleet.all() {
		if s := e.Daemon.CurrentSite(); s == nil || s.Revision < head.Revision {
			return errors.Errorf("%s does not follow revision %d", e.ID, head.Revision)
		}
	}
	return nil
}

func (r *run) serves(ctx context.Context, c *caller, e *stand.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	to := c.client(e.Address)
	lookup := &answer{c: c, service: "orders", prompt: c.unique("after"), tokens: lookupTokens}
	if err := lookup.post(ctx, to); err != nil {
		return errors.Wrapf(err, "an urgent lookup at %s", e.ID)
	}
	review := &answer{c: c, service: "reviews", prompt: c.unique("after"), tokens: wholeTokens}
	if err := review.post(ctx, to); err != nil {
		return errors.Wrapf(err, "a review at %s", e.ID)
	}
	key := strings.ReplaceAll(c.unique("after"), " ", "-")
	refused, err := r.send(ctx, to, key)
	if err == nil && refused != nil && r.opts.Plan.losesKeys() {
		return nil // an honest refusal with its verdict is all that can be had
	}
	if err != nil || refused != nil {
		return errors.Errorf("a call at %s: %v, %v", e.ID, refused, err)
	}
	return nil
}

// judge checks what can only be known at the end.
func (r *run) judge(ctx context.Context) {
	r.calls.judge(r)
	r.owed.judge(r)
	head, err := r.stand.Operator().Get(ctx)
	if err != nil {
		r.violate("the accepted text cannot be read at the end: %v", err)
		return
	}
	r.texts.judge(r, head.Revision)
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"mallowwind.dev/lab/stand"
)

// settle checks that the system comes back to normal after all is healed.
func (r *run) settle(ctx context.Context) {
	time.Sleep(inForceLimit)
	r.allInForce(ctx)
	time.Sleep(lookupsBack - inForceLimit)
	r.allServe(ctx)
}

// allInForce checks that every daemon follows the last accepted text.
func (r *run) allInForce(ctx context.Context) {
	head, err := r.stand.Operator().Get(ctx)
	if err != nil {
		r.violate("the accepted text cannot be read: %v", err)
		return
	}
	for _, e := range r.fleet.all() {
		if s := e.Daemon.InForce(); s == nil || s.Revision < head.Revision {
			r.violate("%s does not follow revision %d %v after healing", e.ID, head.Revision, inForceLimit)
		}
	}
	r.texts.judge(r, head.Revision)
}

// allServe checks that every entry VM answers each kind of request again.
func (r *run) allServe(ctx context.Context) {
	c := r.newCaller(rand.New(rand.NewPCG(r.opts.Plan.Seed, 0)), 0)
	for _, e := range r.fleet.all() {
		once, cancel := context.WithTimeout(ctx, requestLimit)
		r.serves(once, c, e)
		cancel()
	}
}

func (r *run) serves(ctx context.Context, c *caller, e *stand.Entry) {
	to := c.client(e.Address)
	lookup := &answer{c: c, service: "orders", prompt: "after " + e.ID, tokens: lookupTokens}
	if err := lookup.post(ctx, to); err != nil {
		r.violate("after healing, an urgent lookup at %s failed: %v", e.ID, err)
	}
	review := &answer{c: c, service: "reviews", prompt: "review after " + e.ID, tokens: wholeTokens}
	if err := review.post(ctx, to); err != nil {
		r.violate("after healing, a review at %s failed: %v", e.ID, err)
	}
	key := fmt.Sprintf("confirm-after-%s", e.ID)
	if verdict, err := r.send(ctx, to, key); err != nil || verdict != "ran" {
		r.violate("after healing, a call at %s ended with %q: %v", e.ID, verdict, err)
	}
}

// judge checks what can only be known at the end.
func (r *run) judge() {
	r.calls.judge(r)
	r.owed.judge(r)
}

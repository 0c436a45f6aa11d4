package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/stand"
)

// recoveryPollInterval is the time between checks of the recovery.
const recoveryPollInterval = 500 * time.Millisecond

// checkRecovery checks that the deployment recovers after all faults are healed: every daemon
// follows the last accepted text, and every entry VM serves each kind of request.
func (r *run) checkRecovery(ctx context.Context) {
	healed := time.Now()
	r.eventually(healed, inForceLimit, func() error { return r.checkAllInForce(ctx) })
	c := r.newCaller(rand.New(rand.NewPCG(r.opts.Plan.Seed, 0)), 0)
	for _, e := range r.fleet.allEntries() {
		r.eventually(healed, lookupRecoveryLimit, func() error { return r.checkServes(ctx, c, e) })
	}
}

// eventually repeats check until it succeeds, and records a violation if limit passes first.
func (r *run) eventually(since time.Time, limit time.Duration, check func() error) {
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Since(since) >= limit {
			r.recordViolation("not recovered %v after all faults were healed: %v", limit, err)
			return
		}
		time.Sleep(recoveryPollInterval)
	}
}

func (r *run) checkAllInForce(ctx context.Context) error {
	head, err := r.deployment.Operator().Get(ctx)
	if err != nil {
		return errors.Wrap(err, "the accepted text cannot be read")
	}
	for _, e := range r.fleet.allEntries() {
		if s := e.Daemon.CurrentSite(); s == nil || s.Revision < head.Revision {
			return errors.Errorf("%s does not follow revision %d", e.ID, head.Revision)
		}
	}
	return nil
}

func (r *run) checkServes(ctx context.Context, c *caller, e *stand.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	to := c.client(e.Address)
	lookup := &completion{caller: c, service: "orders", prompt: c.uniqueName("after"), maxTokens: lookupTokens}
	if err := lookup.post(ctx, to); err != nil {
		return errors.Wrapf(err, "an urgent lookup at %s", e.ID)
	}
	review := &completion{caller: c, service: "reviews", prompt: c.uniqueName("after"), maxTokens: shortReviewTokens}
	if err := review.post(ctx, to); err != nil {
		return errors.Wrapf(err, "a review at %s", e.ID)
	}
	key := strings.ReplaceAll(c.uniqueName("after"), " ", "-")
	refused, err := r.send(ctx, to, key)
	if err == nil && refused != nil && r.opts.Plan.mayLoseKeys() {
		return nil // the key may be undecided, so a refusal with a verdict is allowed
	}
	if err != nil || refused != nil {
		return errors.Errorf("a call at %s: %v, %v", e.ID, refused, err)
	}
	return nil
}

// checkFinal checks the invariants that can only be decided at the end of a run.
func (r *run) checkFinal(ctx context.Context) {
	r.calls.check(r)
	r.notRun.check(r)
	head, err := r.deployment.Operator().Get(ctx)
	if err != nil {
		r.recordViolation("the accepted text cannot be read at the end: %v", err)
		return
	}
	r.texts.check(r, head.Revision)
}

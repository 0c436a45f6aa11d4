package forward

import (
	"context"
	"slices"
	"time"

	"mallowwind.dev/telemetry/event"
)

// trialClaimTimeout bounds the store calls that claim one trial: the caller waits for them.
const trialClaimTimeout = 500 * time.Millisecond

// claimTrials reports whether a request may be sent to one server in spite of its refusals, to find out
// whether it still crashes servers. A prompt with refused parts is tried if nothing else refuses it: another
// reason would decide the trial. The caller holds the lock, which is released during the store calls.
func (p *poisonRegistry) claimTrials(ctx context.Context, in *inbound, refusals []poisonRefusal) bool {
	ofParts := func(r poisonRefusal) bool { return r.ofParts }
	if len(refusals) > 1 && slices.ContainsFunc(refusals, ofParts) {
		return false
	}
	if slices.ContainsFunc(refusals, func(r poisonRefusal) bool { return !p.mayClaim(r.digest) }) {
		return false
	}
	// Requests that differ in their queries share the last digest: one of them is tried.
	for _, r := range slices.Backward(refusals) {
		if !p.claimTrial(ctx, in.call.ID, r.digest) {
			return false
		}
	}
	return true
}

// mayClaim reports whether a trial is due, as far as this daemon knows, and not being claimed here. None is
// made while the refusal is not in the store. The caller holds the lock.
func (p *poisonRegistry) mayClaim(digest string) bool {
	refused, stored := p.view.Refused[digest]
	return stored && !p.claims[digest] && refused.History().IsDue(time.Now())
}

// claimTrial claims a trial in the store, so that one daemon makes it. The caller holds the lock, which is
// released during the store calls.
func (p *poisonRegistry) claimTrial(ctx context.Context, id, digest string) bool {
	p.claims[digest] = true
	defer delete(p.claims, digest)
	p.mu.Unlock()
	defer p.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	claimed, err := p.h.opts.Feed.ClaimTrial(ctx, digest)
	if claimed || err != nil {
		p.h.opts.Log.Emit(event.PoisonTried, id, digest, err)
	}
	return claimed
}

// asTrial makes a request the trial of its refusals: it is sent to one server only.
func (in *inbound) asTrial(refusals []poisonRefusal) {
	route := *in.route
	route.MaxAttempts = 1
	in.route = &route
	for _, r := range refusals {
		in.trial = append(in.trial, r.digest)
	}
}

// lift removes a refusal whose trial got a complete answer. If the store cannot be reached, the next trial
// decides.
func (p *poisonRegistry) lift(id, digest string) {
	err := p.h.opts.Feed.LiftRefused(context.Background(), digest)
	p.h.opts.Log.Emit(event.PoisonLifted, id, digest, err)
}

package flow

import (
	"slices"
	"time"

	"mallowwind.dev/decision/admit"
	"mallowwind.dev/decision/budget"
	"mallowwind.dev/decision/limit"
	"mallowwind.dev/decision/verdict"
)

// accountBucket is one account's limit at this VM.
type accountBucket struct {
	limit.TokenBucket
	limitShare   float64 // share of the account's limit
	fleetVersion uint64  // Core.fleetVersion for which limitShare was computed
}

// precheck refuses a request that is excluded from every server of its group. It
// charges a retry or continuation to the retry budget, and any other request to
// the account's limit.
func (c *Core) precheck(now time.Time, w *Waiter) *verdict.Error {
	if w.group.allExcluded(w.request.Exclude) {
		return verdict.New(verdict.NotRun, verdict.CodeNoBackend, "every backend server failed this request")
	}
	if w.request.Resume || len(w.request.Exclude) > 0 {
		return c.chargeBudget(now, w)
	}
	a := w.request.Account
	if a == nil || a.TokensPerSecond <= 0 {
		return nil
	}
	bucket, ok := c.accounts[a.Name]
	if !ok {
		bucket = &accountBucket{}
		c.accounts[a.Name] = bucket
	}
	if bucket.fleetVersion != c.fleetVersion {
		bucket.limitShare, bucket.fleetVersion = c.accountShare(a.Name), c.fleetVersion
	}
	rate := a.TokensPerSecond * bucket.limitShare
	if wait := bucket.Take(now, w.item.Cost, rate); wait > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeAccountLimit,
			"account %s is above its limit of %g tokens a second", a.Name, a.TokensPerSecond).WithRetryAfter(wait)
	}
	return nil
}

// allExcluded reports whether the group has servers and all of them are excluded.
// Such a request would wait for a server that it must not use.
func (g *group) allExcluded(exclude []string) bool {
	if len(exclude) == 0 {
		return false
	}
	for _, s := range g.servers {
		if !slices.Contains(exclude, s.backend.ID) {
			return false
		}
	}
	return len(g.servers) > 0
}

// chargeBudget charges a retry or a takeover to the service's retry budget. A
// continuation that is not speculative is charged but never refused, because its
// caller holds a partial answer.
func (c *Core) chargeBudget(now time.Time, w *Waiter) *verdict.Error {
	waiting, _ := w.group.queue.Waiting()
	cost := w.request.ExtraTokens
	if cost == 0 {
		cost = w.item.Cost
	}
	b := c.budgetFor(w.request.Service.Name)
	reason := b.Withdraw(now, budget.Withdrawal{
		Tokens:    cost,
		Forced:    w.request.Resume && !w.request.Speculative,
		Saturated: waiting > 0,
	})
	c.observer.recordBudgetDecision(w, reason, b.Balance())
	if reason == budget.Granted || reason == budget.Forced {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"no room for repeated work: %s", reason).WithRetryAfter(b.Wait(cost))
}

// budgetFor returns the retry budget of a service.
func (c *Core) budgetFor(service string) *budget.Budget {
	b, ok := c.budgets[service]
	if !ok {
		b = &budget.Budget{}
		c.budgets[service] = b
	}
	return b
}

// refusalError converts a refusal by the queue into the error for the caller.
func refusalError(d admit.Decision) *verdict.Error {
	code, message := verdict.CodeOverloaded, "cannot start before its deadline"
	switch d.Reason {
	case admit.ReasonExpired:
		code, message = verdict.CodeDeadlineExceeded, "the deadline passed before a backend server was free"
	case admit.ReasonNoCapacity:
		code, message = verdict.CodeNoBackend, "no backend server is ready for this service"
		if d.RetryAfter == 0 {
			d.RetryAfter = noServerRetryAfter
		}
	}
	return verdict.New(verdict.NotRun, code, "%s (%s)", message, d.Reason).WithRetryAfter(d.RetryAfter)
}

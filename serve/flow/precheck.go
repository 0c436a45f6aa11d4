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
	share float64 // of the account's limit
	fleet uint64  // version for which share holds
}

// precheck asks the account's limit and the budget for extra work.
func (c *Core) precheck(now time.Time, w *Waiter) *verdict.Error {
	if w.group.allExcluded(w.ask.Exclude) {
		return verdict.New(verdict.NotRun, verdict.CodeNoBackend, "every backend server failed this request")
	}
	if w.ask.Resume || len(w.ask.Exclude) > 0 {
		return c.afford(now, w)
	}
	a := w.ask.Account
	if a == nil || a.TokensPerSecond <= 0 {
		return nil
	}
	bucket, ok := c.accounts[a.Name]
	if !ok {
		bucket = &accountBucket{}
		c.accounts[a.Name] = bucket
	}
	if bucket.fleet != c.fleetVersion {
		bucket.share, bucket.fleet = c.share(a.Name), c.fleetVersion
	}
	rate := a.TokensPerSecond * bucket.share
	if wait := bucket.Take(now, w.item.Cost, rate); wait > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeAccountLimit,
			"account %s is above its limit of %g tokens a second", a.Name, a.TokensPerSecond).WithRetryAfter(wait)
	}
	return nil
}

// allExcluded reports whether the group has servers and all are excluded. Such
// a request would wait for a server that it may not use.
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

// afford charges a retry or a takeover. A continuation whose engine is
// certainly gone is always paid: its caller holds half an answer.
func (c *Core) afford(now time.Time, w *Waiter) *verdict.Error {
	waiting, _ := w.group.queue.Waiting()
	cost := w.ask.ExtraTokens
	if cost == 0 {
		cost = w.item.Cost
	}
	b := c.budget(w.ask.Service.Name)
	why := b.Withdraw(now, budget.Withdrawal{
		Tokens:    cost,
		Forced:    w.ask.Resume && !w.ask.Speculative,
		Saturated: waiting > 0,
	})
	c.observe.budget(w, why, b.Balance())
	if why == budget.Granted || why == budget.Forced {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"no room for repeated work: %s", why).WithRetryAfter(b.Wait(cost))
}

// budget returns the balance of a service.
func (c *Core) budget(service string) *budget.Budget {
	b, ok := c.budgets[service]
	if !ok {
		b = &budget.Budget{}
		c.budgets[service] = b
	}
	return b
}

// refusal turns a decision of the queue into the error callers get.
func refusal(d admit.Decision) *verdict.Error {
	code, text := verdict.CodeOverloaded, "cannot start before its deadline"
	switch d.Reason {
	case admit.ReasonExpired:
		code, text = verdict.CodeDeadlineExceeded, "the deadline passed before a backend server was free"
	case admit.ReasonNoCapacity:
		code, text = verdict.CodeNoBackend, "no backend server is ready for this service"
		if d.RetryAfter == 0 {
			d.RetryAfter = noServerRetry
		}
	}
	return verdict.New(verdict.NotRun, code, "%s (%s)", text, d.Reason).WithRetryAfter(d.RetryAfter)
}

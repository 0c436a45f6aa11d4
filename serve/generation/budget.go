package generation

import "sync"

const (
	// prefillCost is what reading one token of prompt or prefix costs an engine
	// beside generating one: prefill works on many tokens at once.
	prefillCost = 0.1
	// minShare and maxShare are the extra work allowed per released token, at
	// weight 0 and 1 of resume latency. A service that weighs cost spends under
	// one token in a hundred on takeovers that may prove needless.
	minShare, maxShare = 0.005, 0.05
	// budgetBurst is the largest balance, in tokens: enough for the takeovers of
	// one engine's batch of long answers, too little for those of a whole pool.
	budgetBurst = 20_000
	// budgetStart lets a fresh daemon take over before it has earned anything.
	budgetStart = 4_000
	// charactersPerToken is the usual ratio for estimating a prompt's tokens.
	charactersPerToken = 4
	// prefixBlock is the length of the prompt's head, in bytes, by which an
	// engine that may hold it is recognised.
	prefixBlock = 512
)

// takeoverBudget bounds the takeovers that race a suspected attempt. The load
// pattern: many engines turn slow without being dead, each suspicion costs a
// prefill elsewhere, which slows the rest. Takeovers of failed attempts are not
// charged: those answers are owed and nothing else produces them. It is safe
// for concurrent use.
type takeoverBudget struct {
	mu      sync.Mutex
	balance float64
}

func newTakeoverBudget() *takeoverBudget { return &takeoverBudget{balance: budgetStart} }

// earn credits n released tokens of a service with this weight.
func (b *takeoverBudget) earn(n int, weight float64) {
	weight = min(max(weight, 0), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+float64(n)*(minShare+weight*(maxShare-minShare)), budgetBurst)
}

// covers reports whether cost tokens are left.
func (b *takeoverBudget) covers(cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance >= cost
}

// spend takes cost tokens, which covers allowed.
func (b *takeoverBudget) spend(cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance -= cost
}

// promptTokens estimates the number of tokens of a prompt.
func promptTokens(prompt string) int { return len(prompt)/charactersPerToken + 1 }

package proxy

import (
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// budgets bound the retries and the resumed streams of all requests. They are
// safe for concurrent use.
type budgets struct {
	mu      sync.Mutex
	retries *balance.Budget
	resumes *balance.Budget
}

func newBudgets() *budgets {
	now := time.Now()
	return &budgets{retries: balance.NewRetryBudget(now), resumes: balance.NewResumeBudget(now)}
}

// earn counts a caller's request.
func (b *budgets) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.Earn()
	b.resumes.Earn()
}

// spend takes a retry or a resumed stream from its budget, or returns false
// where none is left.
func (b *budgets) spend(resumed bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if resumed {
		return b.resumes.Spend(time.Now())
	}
	return b.retries.Spend(time.Now())
}

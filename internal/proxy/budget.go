package proxy

import (
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// retryBudgets bounds the retries and the resumed streams of all requests. It is
// safe for concurrent use.
type retryBudgets struct {
	mu      sync.Mutex
	retries *balance.Budget
	resumes *balance.Budget
}

func newRetryBudgets() *retryBudgets {
	now := time.Now()
	return &retryBudgets{retries: balance.NewRetryBudget(now), resumes: balance.NewResumeBudget(now)}
}

// earn credits both budgets with a caller's request.
func (b *retryBudgets) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.Earn()
	b.resumes.Earn()
}

// spend takes a retry or a resumed stream from its budget. It returns false if the
// budget is exhausted.
func (b *retryBudgets) spend(resumed bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if resumed {
		return b.resumes.Spend(time.Now())
	}
	return b.retries.Spend(time.Now())
}

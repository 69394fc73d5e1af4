package proxy

import "sync"

// Limits of the retry budget: each request earns retryRatio of a retry.
const (
	retryRatio   = 0.2
	retryBurst   = 500.0
	retryInitial = 100.0
)

// budget is a token bucket that ties the number of retries and resumed streams
// to the number of requests, so that retries never amplify an overload. It is
// safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: retryInitial} }

// earn counts a caller's request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// spend takes a retry from the budget, or returns false where none is left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

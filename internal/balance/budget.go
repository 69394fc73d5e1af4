package balance

import "time"

// Budget bounds extra attempts, such as retries, to a share of the first attempts
// plus a small constant rate. It is not safe for concurrent use.
type Budget struct {
	share      float64
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// Parameters of the budgets: the extra attempts earned per first attempt, the extra
// attempts earned per second, and the maximum that can be saved.
const (
	retryShare = 0.1
	retryRate  = 0.5
	retryBurst = 10
	// A failed server breaks all its streams at once, and each of them resumes at
	// its offset on another server.
	resumeShare = 0.1
	resumeRate  = 10
	resumeBurst = 500
)

// NewRetryBudget returns a full budget for retries.
func NewRetryBudget(now time.Time) *Budget {
	return &Budget{share: retryShare, rate: retryRate, burst: retryBurst, tokens: retryBurst, refilledAt: now}
}

// NewResumeBudget returns a full budget for streams that resume on another server.
func NewResumeBudget(now time.Time) *Budget {
	return &Budget{share: resumeShare, rate: resumeRate, burst: resumeBurst, tokens: resumeBurst, refilledAt: now}
}

// Earn records a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.burst) }

// Spend reports whether the budget allows one more extra attempt, and deducts it.
func (b *Budget) Spend(now time.Time) bool {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.burst)
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

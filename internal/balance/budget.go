package balance

import "time"

// Budget bounds extra attempts, such as retries, to a share of the
// first attempts plus a small constant rate. It is not safe for concurrent use.
type Budget struct {
	share  float64
	rate   float64
	burst  float64
	tokens float64
	filled time.Time
}

// Parameters of the budgets: the share of the requests, the rate in attempts a
// second that is always granted, and the most attempts saved up.
const (
	retryShare = 0.1
	retryRate  = 0.5
	retryBurst = 10
	// A failed server breaks all its streams at once; each goes on at its offset.
	resumeShare = 0.1
	resumeRate  = 10
	resumeBurst = 500
)

// NewRetryBudget returns the budget of retries.
func NewRetryBudget(now time.Time) *Budget {
	return &Budget{share: retryShare, rate: retryRate, burst: retryBurst, tokens: retryBurst, filled: now}
}

// NewResumeBudget returns the budget of streams that go on at another server.
func NewResumeBudget(now time.Time) *Budget {
	return &Budget{share: resumeShare, rate: resumeRate, burst: resumeBurst, tokens: resumeBurst, filled: now}
}

// Earn records a first attempt.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, b.burst) }

// Spend reports whether one more extra attempt is within the budget, and takes it.
func (b *Budget) Spend(now time.Time) bool {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.burst)
		b.filled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

package placement

import "time"

const (
	// Retries are counted over a sliding window of budgetWindow, divided into
	// budgetBuckets.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
	// retryShare is the share of its requests that a router may retry. All routers
	// of a service together may retry a fifth; the share is lower because a single
	// router receives an uneven part of the requests.
	retryShare = 0.15
	// retryAllowance allows a router with few requests to retry as well. The users'
	// sites allow, in ten seconds, 50 additional retries for 6 routers and 200 for
	// 80.
	retryAllowance = 2.0
)

// RetryBudget bounds the retries of a pool's requests. It is not safe for concurrent
// use.
type RetryBudget struct {
	start    time.Time
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
	bucket   int64
}

// NewRetryBudget returns a budget that counts from start.
func NewRetryBudget(start time.Time) *RetryBudget { return &RetryBudget{start: start} }

// Earn records the first attempt of a request.
func (b *RetryBudget) Earn(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%budgetBuckets]++
}

// Spend reports whether the budget allows one more retry, and deducts it.
func (b *RetryBudget) Spend(now time.Time) bool {
	if b.Available(now) <= 0 {
		return false
	}
	b.retries[b.bucket%budgetBuckets]++
	return true
}

// Available returns the number of retries that are allowed now; a retry is allowed
// if it is positive, even if below one.
func (b *RetryBudget) Available(now time.Time) float64 {
	b.advance(now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return retryShare*float64(requests) + retryAllowance - float64(retries)
}

func (b *RetryBudget) advance(now time.Time) {
	bucket := int64(now.Sub(b.start) / (budgetWindow / budgetBuckets))
	if bucket-b.bucket >= budgetBuckets {
		*b = RetryBudget{start: b.start, bucket: bucket}
		return
	}
	for b.bucket < bucket {
		b.bucket++
		b.requests[b.bucket%budgetBuckets], b.retries[b.bucket%budgetBuckets] = 0, 0
	}
}

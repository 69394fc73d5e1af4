package placement

import "time"

const (
	// budgetWindow and budgetParts divide the time in which repeats are counted.
	budgetWindow = 10 * time.Second
	budgetParts  = 10
	// repeatShare is the share of its requests that a router may send once more.
	// All routers of a service together may repeat a fifth; one sees an uneven part.
	repeatShare = 0.15
	// repeatExtra lets a router with few requests repeat as well. The users' sites
	// allow 50 on top for 6 routers and 200 for 80 in ten seconds.
	repeatExtra = 2.0
)

// RetryBudget bounds the repeats of a pool's requests. It is not safe for concurrent use.
type RetryBudget struct {
	start    time.Time
	requests [budgetParts]int
	repeats  [budgetParts]int
	part     int64
}

// NewRetryBudget returns a budget that counts from start on.
func NewRetryBudget(start time.Time) *RetryBudget { return &RetryBudget{start: start} }

// Earn notes a request's first send.
func (b *RetryBudget) Earn(now time.Time) {
	b.advance(now)
	b.requests[b.part%budgetParts]++
}

// Spend reports whether a request may be sent once more, and notes that it is.
func (b *RetryBudget) Spend(now time.Time) bool {
	if b.Available(now) <= 0 {
		return false
	}
	b.repeats[b.part%budgetParts]++
	return true
}

// Available returns how many repeats are allowed now; a part of one allows one.
func (b *RetryBudget) Available(now time.Time) float64 {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range budgetParts {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return repeatShare*float64(requests) + repeatExtra - float64(repeats)
}

func (b *RetryBudget) advance(now time.Time) {
	part := int64(now.Sub(b.start) / (budgetWindow / budgetParts))
	if part-b.part >= budgetParts {
		*b = RetryBudget{start: b.start, part: part}
		return
	}
	for b.part < part {
		b.part++
		b.requests[b.part%budgetParts], b.repeats[b.part%budgetParts] = 0, 0
	}
}

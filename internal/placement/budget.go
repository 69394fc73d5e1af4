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

// Budget bounds the repeats of a pool's requests. It is not safe for concurrent use.
type Budget struct {
	start    time.Time
	requests [budgetParts]int
	repeats  [budgetParts]int
	part     int64
}

// NewBudget returns a budget that counts from start on.
func NewBudget(start time.Time) *Budget { return &Budget{start: start} }

// Request notes a request's first send.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.part%budgetParts]++
}

// Repeat reports whether a request may be sent once more, and notes that it is.
func (b *Budget) Repeat(now time.Time) bool {
	if b.Left(now) <= 0 {
		return false
	}
	b.repeats[b.part%budgetParts]++
	return true
}

// Left returns how many repeats are allowed now; a part of one allows one.
func (b *Budget) Left(now time.Time) float64 {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range budgetParts {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return repeatShare*float64(requests) + repeatExtra - float64(repeats)
}

func (b *Budget) advance(now time.Time) {
	part := int64(now.Sub(b.start) / (budgetWindow / budgetParts))
	if part-b.part >= budgetParts {
		*b = Budget{start: b.start, part: part}
		return
	}
	for b.part < part {
		b.part++
		b.requests[b.part%budgetParts], b.repeats[b.part%budgetParts] = 0, 0
	}
}

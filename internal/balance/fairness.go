package balance

import (
	"math"
	"slices"
	"time"
)

// shares counts the requests in flight of each customer.
type shares map[string]int

func (s shares) add(customer string, change int) {
	if s[customer] += change; s[customer] <= 0 {
		delete(s, customer)
	}
}

// flow is the queue of one customer within a class, by deadline.
type flow struct {
	customer string
	weight   float64
	waiters  []*Waiter
	// skipped says that the head cannot be served in this pass.
	skipped bool
}

// classQueue holds the waiters of a class. The next slot goes to the customer
// with the least work in flight by its weight.
type classQueue struct {
	flows    []*flow
	len      int
	inFlight shares
	rate     rateMeter
	// promises counts the waiters that were promised a slot.
	promises int
	latency  latencyMeter
}

func (c *classQueue) find(customer string) int {
	return slices.IndexFunc(c.flows, func(f *flow) bool { return f.customer == customer })
}

func (c *classQueue) push(waiter *Waiter) {
	c.len++
	i := c.find(waiter.Request.Customer)
	if i < 0 {
		c.flows = append(c.flows, &flow{customer: waiter.Request.Customer})
		i = len(c.flows) - 1
	}
	c.flows[i].push(waiter)
}

func (f *flow) push(waiter *Waiter) {
	f.weight = float64(max(waiter.Request.Weight, 1))
	at := len(f.waiters)
	for at > 0 && waiter.Deadline.Before(f.waiters[at-1].Deadline) {
		at--
	}
	f.waiters = slices.Insert(f.waiters, at, waiter)
}

func (c *classQueue) remove(waiter *Waiter) {
	i := c.find(waiter.Request.Customer)
	if i < 0 {
		return
	}
	at := slices.Index(c.flows[i].waiters, waiter)
	if at < 0 {
		return
	}
	waiter.removed = true
	if waiter.promised {
		c.promises--
	}
	c.len--
	c.flows[i].waiters = slices.Delete(c.flows[i].waiters, at, at+1)
	if len(c.flows[i].waiters) == 0 {
		c.flows = slices.Delete(c.flows, i, i+1)
	}
}

// oldest returns the waiter that comes first by its deadline.
func (c *classQueue) oldest() *Waiter {
	var oldest *Waiter
	for _, f := range c.flows {
		if oldest == nil || f.waiters[0].Deadline.Before(oldest.Deadline) {
			oldest = f.waiters[0]
		}
	}
	return oldest
}

// level is a customer's work in flight by its weight, with some more requests.
func (c *classQueue) level(f *flow, more int) float64 {
	return float64(c.inFlight[f.customer]+more) / f.weight
}

// next offers the heads of the flows in their order and takes the first that
// is served.
func (c *classQueue) next(now time.Time, serve func(*Waiter) bool) *Waiter {
	for _, f := range c.flows {
		f.skipped = false
	}
	for range min(len(c.flows), maxSkipped) {
		f := c.first(now)
		waiter := f.waiters[0]
		if serve(waiter) {
			c.remove(waiter)
			return waiter
		}
		f.skipped = true
	}
	return nil
}

// first returns the flow whose head comes next: an aged one by its deadline,
// else that of the customer with the lowest level.
func (c *classQueue) first(now time.Time) *flow {
	var best *flow
	for _, f := range c.flows {
		if !f.skipped && (best == nil || c.before(now, f, best)) {
			best = f
		}
	}
	return best
}

func (c *classQueue) before(now time.Time, a, b *flow) bool {
	agedA, agedB := !now.Before(a.waiters[0].agedAt()), !now.Before(b.waiters[0].agedAt())
	if agedA != agedB {
		return agedA
	}
	levelA, levelB := c.level(a, 0), c.level(b, 0)
	if agedA || levelA == levelB {
		return a.waiters[0].Deadline.Before(b.waiters[0].Deadline)
	}
	return levelA < levelB
}

// ahead returns how many waiters come before one, by the levels of their
// customers as they get slots.
func (c *classQueue) ahead(waiter *Waiter) int {
	own := c.flows[c.find(waiter.Request.Customer)]
	count := slices.Index(own.waiters, waiter)
	level := c.level(own, count)
	for _, f := range c.flows {
		if f == own {
			continue
		}
		room := int(math.Ceil(level*f.weight)) - c.inFlight[f.customer]
		count += min(max(room, 0), len(f.waiters))
	}
	return count
}

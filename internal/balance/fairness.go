package balance

import (
	"math"
	"slices"
	"time"
)

// customerInFlight counts the requests in flight of each customer.
type customerInFlight map[string]int

func (c customerInFlight) add(customer string, change int) {
	if c[customer] += change; c[customer] <= 0 {
		delete(c, customer)
	}
}

// flow is the queue of one customer within a class, ordered by deadline.
type flow struct {
	customer string
	weight   float64
	waiters  []*Waiter
	// skipped means that the head of the flow cannot be served in this pass.
	skipped bool
}

// classQueue holds the waiters of a class and schedules them by weighted fair
// queueing: the next slot goes to the customer with the fewest requests in flight
// relative to its weight.
type classQueue struct {
	flows    []*flow
	len      int
	inFlight customerInFlight
	rate     rateMeter
	// promises counts the waiters with a promised slot.
	promises int
	latency  latencyMeter
}

func (c *classQueue) flowIndex(customer string) int {
	return slices.IndexFunc(c.flows, func(f *flow) bool { return f.customer == customer })
}

func (c *classQueue) push(waiter *Waiter) {
	c.len++
	i := c.flowIndex(waiter.Request.Customer)
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
	i := c.flowIndex(waiter.Request.Customer)
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

// earliest returns the waiter with the earliest deadline.
func (c *classQueue) earliest() *Waiter {
	var earliest *Waiter
	for _, f := range c.flows {
		if earliest == nil || f.waiters[0].Deadline.Before(earliest.Deadline) {
			earliest = f.waiters[0]
		}
	}
	return earliest
}

// weightedLoad returns a customer's requests in flight, plus extra ones, divided by
// its weight.
func (c *classQueue) weightedLoad(f *flow, extra int) float64 {
	return float64(c.inFlight[f.customer]+extra) / f.weight
}

// next offers the heads of the flows to serve in scheduling order and removes and
// returns the first that is served. It skips heads that cannot be served, up to
// maxTriedPerPass, to avoid head-of-line blocking.
func (c *classQueue) next(now time.Time, serve func(*Waiter) bool) *Waiter {
	for _, f := range c.flows {
		f.skipped = false
	}
	for range min(len(c.flows), maxTriedPerPass) {
		f := c.nextFlow(now)
		waiter := f.waiters[0]
		if serve(waiter) {
			c.remove(waiter)
			return waiter
		}
		f.skipped = true
	}
	return nil
}

// nextFlow returns the flow to serve next: by deadline among flows with an aged
// head, else the flow with the lowest weighted load.
func (c *classQueue) nextFlow(now time.Time) *flow {
	var best *flow
	for _, f := range c.flows {
		if !f.skipped && (best == nil || c.precedes(now, f, best)) {
			best = f
		}
	}
	return best
}

func (c *classQueue) precedes(now time.Time, a, b *flow) bool {
	agedA, agedB := !now.Before(a.waiters[0].agedAt()), !now.Before(b.waiters[0].agedAt())
	if agedA != agedB {
		return agedA
	}
	loadA, loadB := c.weightedLoad(a, 0), c.weightedLoad(b, 0)
	if agedA || loadA == loadB {
		return a.waiters[0].Deadline.Before(b.waiters[0].Deadline)
	}
	return loadA < loadB
}

// countAhead returns the number of waiters that get slots before the given one,
// assuming that customers' weighted loads grow as they get slots.
func (c *classQueue) countAhead(waiter *Waiter) int {
	own := c.flows[c.flowIndex(waiter.Request.Customer)]
	count := slices.Index(own.waiters, waiter)
	load := c.weightedLoad(own, count)
	for _, f := range c.flows {
		if f == own {
			continue
		}
		startsBefore := int(math.Ceil(load*f.weight)) - c.inFlight[f.customer]
		count += min(max(startsBefore, 0), len(f.waiters))
	}
	return count
}

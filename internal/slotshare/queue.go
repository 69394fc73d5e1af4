package slotshare

import (
	"slices"
	"time"
)

// waiting is a request that waits for a slot.
type waiting struct {
	Ask
	router   string
	sequence uint64
}

// canBeOnTime reports whether a request that is sent at the given time probably meets its
// objective.
func (c *Coordinator) canBeOnTime(w *waiting, at time.Time) bool {
	return !at.Add(c.margin()).After(w.OnTime)
}

// before reports whether a request is served before another: those that can still be on time
// first, then by priority, by the customer's requests in flight, by the latest time at which it
// can still be on time, and by arrival.
func (c *Coordinator) before(a, b *waiting, now time.Time) bool {
	if x, y := c.canBeOnTime(a, now), c.canBeOnTime(b, now); x != y {
		return x
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if x, y := c.inFlight[a.Customer], c.inFlight[b.Customer]; x != y {
		return x < y
	}
	if !a.OnTime.Equal(b.OnTime) {
		return a.OnTime.Before(b.OnTime)
	}
	return a.sequence < b.sequence
}

// next returns the request that is served next and its server, or nil if no free slot suits any
// request.
func (c *Coordinator) next(now time.Time) (first *waiting, on *server) {
	if !c.hasFree(now) {
		return nil, nil
	}
	for _, w := range c.queue {
		if first != nil && !c.before(w, first, now) {
			continue
		}
		if s := c.freeServer(w, now); s != nil {
			first, on = w, s
		}
	}
	return first, on
}

// isOvertaking reports whether a waiting request that has a free slot would be served before a new
// one.
func (c *Coordinator) isOvertaking(w *waiting, now time.Time) bool {
	first, _ := c.next(now)
	return first != nil && c.before(first, w, now)
}

// freeServer returns the server with a free slot on which the request is expected to end first,
// or nil if there is none. If all slots are taken, a server that queues requests may get one more.
func (c *Coordinator) freeServer(w *waiting, now time.Time) (best *server) {
	if best = c.quickestServer(w, 0, now); best == nil {
		best = c.quickestServer(w, maxAhead, now)
	}
	return best
}

// quickestServer returns the server on which the request is expected to end first among those that
// hold less than ahead requests beyond their slots, or nil if there is none.
func (c *Coordinator) quickestServer(w *waiting, ahead int, now time.Time) (best *server) {
	lowest := time.Duration(0)
	for _, s := range c.order {
		if !s.isFree(ahead, now) || slices.Contains(w.Unusable, s.Hash) {
			continue
		}
		cost := c.expected(s, now)
		cost += time.Duration(loadWeight * float64(cost) * float64(len(s.grants)) / float64(s.Slots))
		if s.Domain != w.Domain {
			cost += crossDomainCost
		}
		if best == nil || cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// isFree reports whether the server may be granted with ahead requests beyond its slots. A server
// that has failed gets one request at a time until it answers one.
func (s *server) isFree(ahead int, now time.Time) bool {
	slots := s.Slots
	if now.Sub(s.fullAt) > fullMemory {
		slots += ahead
	}
	if s.failures >= minFailures || s.failures > 0 && !s.blockedUntil.IsZero() {
		slots = 1
	}
	return len(s.grants) < slots && !now.Before(s.blockedUntil)
}

func (c *Coordinator) hasFree(now time.Time) bool {
	return slices.ContainsFunc(c.order, func(s *server) bool { return s.isFree(maxAhead, now) })
}

// canServe reports whether any server is not blocked and can be used for the request.
func (c *Coordinator) canServe(w *waiting, now time.Time) bool {
	return slices.ContainsFunc(c.order, func(s *server) bool {
		return s.Slots > 0 && !now.Before(s.blockedUntil) && !slices.Contains(w.Unusable, s.Hash)
	})
}

// expectedWait returns the expected time until a new request gets a slot: one slot becomes free
// each time that the service time is divided by the slots.
func (c *Coordinator) expectedWait(w *waiting, now time.Time) time.Duration {
	slots, sum := 0, time.Duration(0)
	for _, s := range c.order {
		if !now.Before(s.blockedUntil) && !slices.Contains(w.Unusable, s.Hash) {
			slots += s.Slots
			sum += time.Duration(s.Slots) * c.expected(s, now)
		}
	}
	if slots == 0 {
		return 0
	}
	ahead := 1
	for _, other := range c.queue {
		if c.before(other, w, now) {
			ahead++
		}
	}
	return time.Duration(ahead) * sum / time.Duration(slots*slots)
}

// refuseExpired removes the waiting requests that cannot be served before their deadlines, and
// those that no server can serve any more.
func (c *Coordinator) refuseExpired(now time.Time) (out []Decision) {
	c.queue = slices.DeleteFunc(c.queue, func(w *waiting) bool {
		verdict := VerdictRefused
		if !now.Add(c.typical).After(w.Deadline) {
			if c.canServe(w, now) {
				return false
			}
			verdict = VerdictPassed
		}
		out = append(out, Decision{Router: w.router, ID: w.ID, Verdict: verdict, RetryAfter: c.typical})
		return true
	})
	return out
}

// evictFor refuses the request that is served last if the new one is served before it, and reports
// whether it did: a full queue must not keep urgent requests out.
func (c *Coordinator) evictFor(w *waiting, now time.Time) bool {
	last := slices.MaxFunc(c.queue, func(a, b *waiting) int {
		if c.before(a, b, now) {
			return -1
		}
		return 1
	})
	if !c.before(w, last, now) {
		return false
	}
	c.removeWaiting(last)
	c.evicted = append(c.evicted, Decision{Router: last.router, ID: last.ID, Verdict: VerdictRefused, RetryAfter: c.expectedWait(last, now)})
	return true
}

func (c *Coordinator) removeWaiting(w *waiting) {
	if i := slices.Index(c.queue, w); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
	}
}

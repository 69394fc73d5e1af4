package slotshare

import (
	"slices"
	"time"
)

// Coordinator grants the slots of one pool. It is not safe for concurrent use.
type Coordinator struct {
	servers map[uint64]*server
	// order holds the servers in the order in which control lists them.
	order  []*server
	grants map[grantKey]*grant
	// inFlight is the number of slots that each customer holds.
	inFlight map[uint64]int
	queue    []*waiting
	// evicted holds refusals of requests that made room for others, for the next Dispatch.
	evicted []Decision
	// typical is the median of the servers' service times, 0 before the first one; deviation is
	// the mean deviation from it.
	typical   time.Duration
	deviation time.Duration
	sequence  uint64
}

// server is a server with the slots that are taken on it.
type server struct {
	Server
	// grants also holds requests that routers sent without a grant, so there may be more than
	// there are slots.
	grants  map[*grant]struct{}
	service serviceTime
	// failures is the number of consecutive failures, blockedUntil until when the server gets no
	// grant because of them.
	failures     int
	blockedUntil time.Time
	// fullAt is when the server last refused a request because it was full.
	fullAt time.Time
}

type grantKey struct {
	router string
	id     uint64
}

// grant is a slot that a request holds.
type grant struct {
	key      grantKey
	server   *server
	customer uint64
	at       time.Time
	// expires is when the slot counts as free even if it was not released.
	expires time.Time
	// lostUntil is until when the slot of a router that was lost stays taken.
	lostUntil time.Time
}

// New returns a coordinator without servers.
func New() *Coordinator {
	return &Coordinator{servers: make(map[uint64]*server), grants: make(map[grantKey]*grant), inFlight: make(map[uint64]int)}
}

// SetServers replaces the servers that may be granted. Slots on other servers stay recorded until
// they are released.
func (c *Coordinator) SetServers(servers []Server) {
	known := c.servers
	c.servers = make(map[uint64]*server, len(servers))
	c.order = c.order[:0]
	for _, info := range servers {
		s := known[info.Hash]
		if s == nil {
			s = &server{grants: make(map[*grant]struct{})}
		}
		s.Server = info
		c.servers[info.Hash] = s
		c.order = append(c.order, s)
	}
}

// Ask answers a router's ask. A repeated ID replaces what the router had under it.
func (c *Coordinator) Ask(router string, ask Ask, now time.Time) Decision {
	key := grantKey{router, ask.ID}
	c.drop(key)
	w := &waiting{Ask: ask, router: router, sequence: c.sequence}
	c.sequence++
	decision := Decision{Router: router, ID: ask.ID, Verdict: VerdictPassed}
	if !c.canServe(w, now) || len(c.grants) >= maxGrants {
		return decision
	}
	if !c.isOvertaking(w, now) {
		if s := c.freeServer(w, now); s != nil {
			return c.grant(w, s, now)
		}
	}
	wait := c.expectedWait(w, now)
	decision.Verdict, decision.RetryAfter = VerdictRefused, wait
	if now.Add(wait + c.typical).After(ask.Deadline) {
		return decision
	}
	if len(c.queue) >= maxQueued && !c.evictFor(w, now) {
		return decision
	}
	c.queue = append(c.queue, w)
	decision.Verdict = VerdictQueued
	return decision
}

// Take records that a router has sent a request to a server without a grant.
func (c *Coordinator) Take(router string, ask Ask, hash uint64, now time.Time) {
	c.drop(grantKey{router, ask.ID})
	if s := c.servers[hash]; s != nil && len(c.grants) < maxGrants {
		c.grant(&waiting{Ask: ask, router: router}, s, now)
	}
}

// Release ends the request with an ID, whether it waits or holds a slot.
func (c *Coordinator) Release(router string, id uint64, outcome Outcome, now time.Time) {
	key := grantKey{router, id}
	g := c.grants[key]
	c.drop(key)
	if g == nil {
		return
	}
	s := g.server
	switch outcome {
	case OutcomeUnknown:
	case OutcomeAnswered:
		s.failures, s.blockedUntil = 0, time.Time{}
		c.recordService(s, now.Sub(g.at), now)
	case OutcomeFull:
		// Routers without a grant use the server too.
		s.blockedUntil, s.fullAt = now.Add(c.typical), now
	case OutcomeFailed:
		if s.failures++; s.failures >= minFailures {
			s.block(s.failures-minFailures, now)
		}
	case OutcomeLost:
		s.block(s.failures, now)
		s.failures++
	}
}

// block blocks a server for a time that doubles with each earlier failure.
func (s *server) block(earlier int, now time.Time) {
	until := now.Add(min(firstBlock<<min(earlier, 8), maxBlock))
	if until.After(s.blockedUntil) {
		s.blockedUntil = until
	}
}

// RouterLost removes the waiting requests of a router whose stream has ended. Its slots stay taken
// for some time, as its servers may still run the requests.
func (c *Coordinator) RouterLost(router string, now time.Time) {
	c.queue = slices.DeleteFunc(c.queue, func(w *waiting) bool { return w.router == router })
	until := now.Add(min(orphanFactor*c.typical, maxOrphanTime))
	for key, g := range c.grants {
		if key.router == router && g.lostUntil.IsZero() {
			g.lostUntil = until
		}
	}
}

// RouterReturned drops the slots that were recorded for a router. It states those that it holds
// with Take.
func (c *Coordinator) RouterReturned(router string) {
	for key := range c.grants {
		if key.router == router {
			c.drop(key)
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(w *waiting) bool { return w.router == router })
}

// Dispatch returns the decisions on waiting requests that are due: grants of free slots, and
// refusals of requests that cannot be served before their deadlines any more. It has to be called
// after each call that may free a slot, and at short intervals while requests wait.
func (c *Coordinator) Dispatch(now time.Time) (out []Decision) {
	c.expire(now)
	out, c.evicted = append(c.evicted, c.refuseExpired(now)...), nil
	for len(c.queue) > 0 {
		w, s := c.next(now)
		if w == nil {
			return out
		}
		c.removeWaiting(w)
		out = append(out, c.grant(w, s, now))
	}
	return out
}

// Waiting returns the number of requests that wait.
func (c *Coordinator) Waiting() int { return len(c.queue) }

// Held returns the number of slots that are taken, and the number of all slots.
func (c *Coordinator) Held() (taken, slots int) {
	for _, s := range c.order {
		taken += len(s.grants)
		slots += s.Slots
	}
	return taken, slots
}

// grant records a slot for a request.
func (c *Coordinator) grant(w *waiting, s *server, now time.Time) Decision {
	g := &grant{key: grantKey{w.router, w.ID}, server: s, customer: w.Customer, at: now, expires: w.Deadline.Add(grantOverrun)}
	c.grants[g.key] = g
	s.grants[g] = struct{}{}
	c.inFlight[w.Customer]++
	return Decision{Router: w.router, ID: w.ID, Verdict: VerdictGranted, Server: s.Hash}
}

// drop removes what is recorded under a key.
func (c *Coordinator) drop(key grantKey) {
	if g := c.grants[key]; g != nil {
		delete(c.grants, key)
		delete(g.server.grants, g)
		if c.inFlight[g.customer]--; c.inFlight[g.customer] <= 0 {
			delete(c.inFlight, g.customer)
		}
		return
	}
	for _, w := range c.queue {
		if w.ID == key.id && w.router == key.router {
			c.removeWaiting(w)
			return
		}
	}
}

// expire removes the slots of lost routers, and those that were not released.
func (c *Coordinator) expire(now time.Time) {
	for key, g := range c.grants {
		if now.After(g.expires) || !g.lostUntil.IsZero() && now.After(g.lostUntil) {
			c.drop(key)
		}
	}
}

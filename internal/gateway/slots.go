package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/slotrpc"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// SetSlots makes the gateway share the slots of small pools with other routers, for routes whose
// latency objective is at least minObjective or that have none. It must be called before the gateway
// serves.
func (g *Gateway) SetSlots(slots *slotrpc.Node, minObjective time.Duration) {
	g.slots, g.minSharedObjective = slots, minObjective
}

// sharedSlots returns the node that shares slots if the call's route takes part in it, or nil.
func (c *call) sharedSlots() *slotrpc.Node {
	if objective := c.route.LatencyObjective; objective > 0 && objective < c.gateway.minSharedObjective {
		return nil
	}
	return c.gateway.slots
}

// acquire takes a slot on a server: one that the coordinator of the pool's slots grants, or one
// that this router chooses.
func (c *call) acquire() (*lease, error) {
	start := time.Now()
	lease, err := c.acquireShared(start)
	if lease == nil && err == nil {
		if c.ctx.Err() != nil {
			// The request ended while it waited at the coordinator.
			return nil, c.contextError(context.Cause(c.ctx))
		}
		lease, err = c.acquireAlone()
	}
	if err == nil {
		c.gateway.metrics.recordPlacement(lease, time.Since(start))
	}
	if err != nil && c.ctx.Err() != nil {
		return nil, c.contextError(context.Cause(c.ctx))
	}
	if unavailable := (*unavailableError)(nil); errors.As(err, &unavailable) {
		c.availableAt = unavailable.availableAt
		return nil, api.Errorf(api.CodeOverloaded, "%v", err)
	}
	return lease, err
}

// acquireAlone takes a slot on the server that this router chooses.
func (c *call) acquireAlone() (*lease, error) {
	queueTimeout := time.Duration(queueTimeoutShare * float64(c.route.LatencyObjective))
	if c.sends > 0 {
		queueTimeout /= 2
	}
	queueTimeout = min(queueTimeout, time.Until(c.deadline)/2)
	lease, err := c.pool.acquire(c.ctx, c.placementRequest(), c.priority(), queueTimeout)
	if slots := c.sharedSlots(); err == nil && slots != nil && c.pool.isShared() {
		lease.slot = slots.Take(c.poolName, lease.hash, c.slotAsk(nil))
	}
	return lease, err
}

// acquireShared takes a slot that the coordinator of the pool's slots grants. It returns neither a
// lease nor an error if this router has to choose the server itself.
func (c *call) acquireShared(start time.Time) (*lease, error) {
	slots := c.sharedSlots()
	if slots == nil {
		return nil, nil
	}
	request := c.placementRequest()
	unusable, isShared := c.pool.unusable(request, start)
	if !isShared {
		return nil, nil
	}
	c.aloneReason = ""
	result := slots.Acquire(c.ctx, c.poolName, c.slotAsk(unusable), slotshare.Patience(c.route.LatencyObjective))
	switch result.Verdict {
	case slotshare.VerdictGranted:
		lease := c.pool.acquireGranted(result, request)
		if lease == nil {
			c.aloneReason = "unusable"
			result.Slot.Release(slotshare.OutcomeUnknown)
		}
		return lease, nil
	case slotshare.VerdictRefused:
		c.availableAt = time.Now().Add(result.RetryAfter)
		return nil, api.Errorf(api.CodeOverloaded, "no slot becomes free before the request's deadline; the next one is expected in %v",
			result.RetryAfter.Round(time.Millisecond))
	}
	c.aloneReason = result.Reason
	return nil, nil
}

// slotAsk returns the ask for a slot of the call's pool.
func (c *call) slotAsk(unusable []uint64) slotshare.Ask {
	ask := slotshare.Ask{Priority: c.priority(), OnTime: c.receivedAt.Add(c.route.LatencyObjective), Deadline: c.deadline, Unusable: unusable}
	if c.route.LatencyObjective <= 0 {
		ask.OnTime = c.deadline
	}
	if c.customer != nil {
		ask.Customer = xxhash.Sum64String(c.customer.Name)
	}
	return ask
}

func (p *pool) unusable(request placement.Request, now time.Time) (hashes []uint64, isShared bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers.Unusable(request, now)
}

func (p *pool) isShared() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers.IsShared()
}

// acquireGranted takes the slot that the coordinator granted, or returns nil if this router cannot
// use the server any more.
func (p *pool) acquireGranted(result slotrpc.Result, request placement.Request) *lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	s := p.servers.ChooseGranted(result.Server, request, result.Queued, now)
	if s == nil {
		return nil
	}
	l := p.newLease(p.take(s, now), request, now)
	l.slot = result.Slot
	return l
}

// release releases the slot and records the result. Further calls do nothing.
func (l *lease) release(result placement.Result) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.cancelReservation()
	l.slot.Release(slotOutcome(result.Kind))
	l.pool.metrics.recordSend(l.Domain, result.Kind)
	now := time.Now()
	l.pool.servers.RecordResult(l.Server, result, now)
	l.pool.serveQueued(now)
}

// slotOutcome returns what the coordinator is told about a result.
func slotOutcome(kind placement.ResultKind) slotshare.Outcome {
	switch kind {
	case placement.ResultAnswered:
		return slotshare.OutcomeAnswered
	case placement.ResultRefused:
		return slotshare.OutcomeFull
	case placement.ResultFailed:
		return slotshare.OutcomeFailed
	case placement.ResultLost, placement.ResultUnreachable:
		return slotshare.OutcomeLost
	}
	return slotshare.OutcomeUnknown
}

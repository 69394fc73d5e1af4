package dispatch

import (
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
)

// Summarized is a Source with load summaries of other failure domains.
type Summarized interface {
	// Summaries returns the unexpired summaries of other failure domains' pools.
	Summaries() []membership.PoolSummary
}

// overflowSlotShare is the share of another failure domain's slots that overflow
// may fill; the rest is reserved for that domain's own callers.
const overflowSlotShare = 0.8

// overflow returns a lease on a router of the failure domain with the most free
// slots of the pool, or nil if no failure domain has any. Each router uses only
// its share of the free slots, divided by the number of live routers here, so that
// the routers together do not overload the other failure domain.
func (d *Dispatcher) overflow(current *catalog.Catalog, target catalog.Pool, request balance.Request) *Lease {
	source, ok := d.source.(Summarized)
	if !ok || request.NoOverflow {
		return nil
	}
	summaries := source.Summaries()
	rank := rankOf(d.source)
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *membership.PoolSummary
	bestFree := 0.0
	for i := range summaries {
		summary := &summaries[i]
		summarized, ok := current.Pool(summary.Pool)
		if !ok || summarized.UID != target.UID || len(summary.Callers) == 0 {
			continue
		}
		free := overflowSlotShare*float64(summary.Slots) - float64(summary.Load)
		free = free/float64(rank.Count) - float64(d.overflowLeases[summary.Domain])
		if free >= 1 && free > bestFree {
			best, bestFree = summary, free
		}
	}
	if best == nil {
		return nil
	}
	return d.remoteLease(best, rank)
}

// remoteLease returns a lease on one of the failure domain's routers, in round-robin
// order.
func (d *Dispatcher) remoteLease(summary *membership.PoolSummary, rank balance.RouterRank) *Lease {
	domain := summary.Domain
	d.overflowLeases[domain]++
	d.overflowTotal++
	router := summary.Callers[(rank.Rank+d.overflowTotal)%len(summary.Callers)]
	return &Lease{
		Server: balance.ServerID(router),
		Remote: true,
		release: func(balance.Result) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.overflowLeases[domain]--
		},
	}
}

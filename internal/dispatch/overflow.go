package dispatch

import (
	"peridotwinch.example/peridotwinch/internal/balance"
	"peridotwinch.example/peridotwinch/internal/catalog"
	"peridotwinch.example/peridotwinch/internal/membership"
)

// Summarized is a source that knows the load of other failure domains.
type Summarized interface {
	// Summaries returns the fresh summaries of other failure domains' pools.
	Summaries() []membership.PoolSummary
}

// overflowFill is the share of another failure domain's slots that overflow
// may fill up; the rest is left for its own callers.
const overflowFill = 0.8

// overflow returns a lease on a router of the failure domain with the most free
// slots of the pool, or nil where none has any. This router's part of the free
// slots is one by the number of routers here, so that together they do not rush.
func (d *Dispatcher) overflow(view *catalog.Catalog, target catalog.Pool, request balance.Request) *Lease {
	source, ok := d.source.(Summarized)
	if !ok || request.NoOverflow {
		return nil
	}
	summaries := source.Summaries()
	place := placeOf(d.source)
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *membership.PoolSummary
	bestFree := 0.0
	for i := range summaries {
		summary := &summaries[i]
		announced, ok := view.Pool(summary.Pool)
		if !ok || announced.UID != target.UID || len(summary.Callers) == 0 {
			continue
		}
		free := overflowFill*float64(summary.Slots) - float64(summary.Load)
		free = free/float64(place.Count) - float64(d.overflowing[summary.Domain])
		if free >= 1 && free > bestFree {
			best, bestFree = summary, free
		}
	}
	if best == nil {
		return nil
	}
	return d.remoteLease(best, place)
}

// remoteLease returns a lease on one of the failure domain's routers in turn.
func (d *Dispatcher) remoteLease(summary *membership.PoolSummary, place balance.RouterRank) *Lease {
	domain := summary.Domain
	d.overflowing[domain]++
	d.overflowed++
	callers := summary.Callers[(place.Rank+d.overflowed)%len(summary.Callers)]
	return &Lease{
		Server: balance.ServerID(callers),
		Remote: true,
		release: func(balance.Result) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.overflowing[domain]--
		},
	}
}

package balance

import (
	"math"
	"time"
)

// longCapacityLimiter is implemented by balancers that limit the long requests on
// their servers.
type longCapacityLimiter interface {
	// longCapacity returns how many more long requests this router may have in
	// flight.
	longCapacity(now time.Time, request *Request, view *View) int
}

// longCapacity implements longCapacityLimiter.
func (b *Bounded) longCapacity(now time.Time, request *Request, view *View) int {
	p := &pick{now: now, request: request, view: view, states: b.viewStates(now, view)}
	p.minLongScore = b.minLongScore(p)
	capacity := 0
	for i, state := range p.states {
		if state.ejection.ejected || rendezvousScore(longWorkKey, state.hash, 1) < p.minLongScore {
			continue
		}
		capacity += max(p.longSlots(i)-state.longInFlight, 0)
	}
	return capacity
}

// longSlots returns the number of slots of the i-th server that this router may fill
// with long requests.
func (p *pick) longSlots(i int) int {
	share := longSlotShare * float64(p.view.servers[i].Slots) / float64(p.view.rank.Count)
	return int(math.Floor(share + p.view.roundingOffset(i)))
}

package balance

import (
	"math"
	"time"
)

// longRoomer is a balancer that bounds the long work on its servers.
type longRoomer interface {
	// longRoom returns how many more long requests the router may have in flight.
	longRoom(now time.Time, request *Request, view *View) int
}

// longRoom implements longRoomer.
func (b *Bounded) longRoom(now time.Time, request *Request, view *View) int {
	p := &pick{now: now, request: request, view: view, states: b.bind(now, view)}
	p.longLimit = b.longLimit(p)
	room := 0
	for i, state := range p.states {
		if state.latency.ejected || rendezvousScore(longKey, state.hash, 1) < p.longLimit {
			continue
		}
		room += max(p.longSlots(i)-state.long, 0)
	}
	return room
}

// longSlots is the number of the i-th server's slots that this router may fill
// with long work.
func (p *pick) longSlots(i int) int {
	share := longSlotShare * float64(p.view.servers[i].Slots) / float64(p.view.place.Count)
	return int(math.Floor(share + p.view.offset(i)))
}

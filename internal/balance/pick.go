package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// pick is one decision of the bounded policy.
type pick struct {
	now     time.Time
	request *Request
	view    *View
	states  []*serverState
	// mean is this router's requests in flight for each slot, and wholeMean those
	// of all routers, the new one included.
	mean      float64
	wholeMean float64
	longLimit float64
}

func (p *pick) means() (own, whole float64) {
	ownTotal, wholeTotal := 1, 1
	for i, state := range p.states {
		ownTotal += state.inFlight
		wholeTotal += p.whole(i)
	}
	least := minMeanLoad * float64(len(p.states))
	own = max(float64(ownTotal), least/float64(p.view.place.Count))
	whole = max(float64(wholeTotal), least)
	return own / float64(p.view.slots), whole / float64(p.view.slots)
}

// whole is the load of the i-th server as far as this router knows it. A load
// report is late, so it counts only where it tells of much that no router has
// told, such as the work of one that has failed.
func (p *pick) whole(i int) int {
	server, state := &p.view.servers[i], p.states[i]
	whole := state.inFlight + server.PeerInFlight
	mayHide := p.owner(i) == OwnerNone || p.view.place.Missing > 0
	believed := mayHide && float64(state.unexplained) > unexplainedShare*float64(server.Slots)
	if believed && p.now.Sub(state.reportedAt) <= reportAge {
		whole += state.unexplained
	}
	return whole
}

// owner returns who grants places on the i-th server to this request.
func (p *pick) owner(i int) Ownership {
	if p.request.SkipReservation {
		return OwnerNone
	}
	return p.view.servers[i].Owner
}

// hasPeerReport reports whether the other routers' reports of the i-th server are fresh.
func (p *pick) hasPeerReport(i int) bool {
	return p.view.place.Count == 1 || p.now.Sub(p.view.servers[i].PeerInFlightAt) <= peerReportAge
}

// choose returns the hinted server where it is under its bound, else the chat's
// first choice under its bound, else the server that is least over its bound.
func (p *pick) choose(random *rand.Rand) (int, bool) {
	chat := hashString(p.request.Chat)
	if p.request.Chat == "" {
		chat = random.Uint64()
	}
	best, bestScore := -1, 0.0
	for i := range p.view.servers {
		if !p.allowed(i) {
			continue
		}
		if p.excess(i) > 0 {
			continue
		}
		if p.request.hints(&p.view.servers[i]) {
			return i, true
		}
		if score := rendezvousScore(chat, p.states[i].hash, p.weight(i)); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 || p.request.IgnoreLoadBound || len(p.request.Refused) >= maxAffine {
		best = p.leastLoaded()
	}
	return best, best >= 0
}

// leastLoaded returns the server with the least load for its bound, or -1.
func (p *pick) leastLoaded() int {
	least, leastExcess := -1, 0.0
	for i := range p.view.servers {
		if !p.allowed(i) {
			continue
		}
		if excess := p.excess(i); least < 0 || excess < leastExcess {
			least, leastExcess = i, excess
		}
	}
	return least
}

// allowed reports whether the i-th server may take the request at all.
func (p *pick) allowed(i int) bool {
	server, state := &p.view.servers[i], p.states[i]
	if p.request.excludes(server.ID) || state.latency.ejected {
		return false
	}
	if state.latency.onTrial() && state.inFlight > 0 {
		return false
	}
	if !p.hasSlot(i) {
		return false
	}
	return !isLong(p.request) || p.allowedLong(i)
}

// allowedLong reports whether the i-th server has room for long work.
func (p *pick) allowedLong(i int) bool {
	state := p.states[i]
	if rendezvousScore(longKey, state.hash, 1) < p.longLimit {
		return false
	}
	share := longSlotShare * float64(p.view.servers[i].Slots) / float64(p.view.place.Count)
	return float64(state.long)+1 <= share+p.view.offset(i)
}

// excess is by how much the request would exceed the bound on the i-th server's
// load; it is at most zero while the server is under its bound.
func (p *pick) excess(i int) float64 {
	if p.owner(i) != OwnerNone {
		return p.overReserved(i)
	}
	slots := float64(p.view.servers[i].Slots)
	if !p.hasPeerReport(i) {
		return p.overShare(i, p.view.loadBound*p.mean*slots)
	}
	margin := boundMargin + marginPerRouter*float64(p.view.place.Count)
	limit := (p.view.loadBound-margin)*p.wholeMean*slots + boundPlus
	return max(float64(p.whole(i)+1)-limit, p.overLease(i, limit))
}

// overReserved is by how much the request would exceed the bound on a server
// whose owner knows its whole load. A router that does not own it only decides
// whether to ask.
func (p *pick) overReserved(i int) float64 {
	server := &p.view.servers[i]
	mean, plus := p.wholeMean, 1+askSlack
	if p.owner(i) == OwnerSelf {
		mean, plus = p.certainMean(), 1
	}
	return float64(p.whole(i)+1) - p.view.loadBound*mean*float64(server.Slots) - plus
}

// certainMean is the mean load of which an owner may be certain: requests that
// have ended unheard lower it.
func (p *pick) certainMean() float64 {
	if p.view.place.Count == 1 {
		return p.wholeMean
	}
	total := p.wholeMean * float64(p.view.slots)
	slack := exactSlack
	if !p.view.exact {
		slack += peerReportSlack * math.Sqrt(total)
	}
	return max(total-slack, minMeanLoad*float64(len(p.states))) / float64(p.view.slots)
}

// overShare is by how much the request would exceed this router's share. The
// shares are rounded by offsets that are spread over the routers, so that they
// add up to the bound without any message between them.
func (p *pick) overShare(i int, share float64) float64 {
	return float64(p.states[i].inFlight+1) - share - p.view.offset(i)
}

// overLease is by how much the request would exceed what this router may take
// up of the free load since it last heard of the other routers. It keeps them
// from rushing to the same server.
func (p *pick) overLease(i int, limit float64) float64 {
	if p.view.place.Count == 1 {
		return p.overShare(i, limit)
	}
	server, state := &p.view.servers[i], p.states[i]
	free := limit - float64(state.ownThen+server.PeerInFlight)
	part := min(leaseFactor/float64(p.view.place.Count), maxLease)
	lease := float64(state.ownThen) + max(part*free, 0)
	return p.overShare(i, lease)
}

// hasSlot reports whether the i-th server has a slot for this router.
func (p *pick) hasSlot(i int) bool {
	server := &p.view.servers[i]
	slots := float64(server.Slots)
	switch p.owner(i) {
	case OwnerPeer:
		return p.whole(i) < server.Slots
	case OwnerSelf:
		contended := p.now.Sub(p.states[i].contendedAt) <= contendedTime
		fair := !contended || p.overShare(i, slots/float64(p.view.place.Count)) <= 0
		return p.whole(i) < server.Slots && fair
	}
	if !p.hasPeerReport(i) {
		return p.overShare(i, slots/float64(p.view.place.Count)) <= 0
	}
	return p.whole(i) < server.Slots && p.overLease(i, slots) <= 0
}

// weight is the rendezvous weight of the i-th server: its slots, less while it
// is new.
func (p *pick) weight(i int) float64 {
	server := &p.view.servers[i]
	weight := float64(server.Slots)
	age := p.now.Sub(server.Since)
	if server.Since.IsZero() || age >= warmUp {
		return weight
	}
	return weight * (warmUpStart + (1-warmUpStart)*float64(max(age, 0))/float64(warmUp))
}

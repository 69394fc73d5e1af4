package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// pick is one placement by the Bounded policy.
type pick struct {
	now     time.Time
	request *Request
	view    *View
	states  []*serverState
	// ownMean is the mean number of this router's requests in flight per slot, and
	// totalMean that of all routers' requests; both include the new request.
	ownMean      float64
	totalMean    float64
	minLongScore float64
}

func (p *pick) meanLoads() (own, total float64) {
	ownLoad, totalLoad := 1, 1
	for i, state := range p.states {
		ownLoad += state.inFlight
		totalLoad += p.totalLoad(i)
	}
	minLoad := minMeanLoad * float64(len(p.states))
	own = max(float64(ownLoad), minLoad/float64(p.view.rank.Count))
	total = max(float64(totalLoad), minLoad)
	return own / float64(p.view.slots), total / float64(p.view.slots)
}

// totalLoad returns the estimated load of the i-th server from all routers. Load
// reports are delayed, so a report adds to the load only if it contains much load
// that no router accounts for, such as that of a failed router.
func (p *pick) totalLoad(i int) int {
	server, state := &p.view.servers[i], p.states[i]
	load := state.inFlight + server.PeerInFlight
	mayMissLoad := p.owner(i) == OwnerNone || p.view.rank.Missing > 0
	isSignificant := mayMissLoad && float64(state.unattributedLoad) > minUnattributedShare*float64(server.Slots)
	if isSignificant && p.now.Sub(state.loadReportAt) <= maxLoadReportAge {
		load += state.unattributedLoad
	}
	return load
}

// owner returns the ownership of the i-th server that applies to this request.
func (p *pick) owner(i int) Ownership {
	if p.request.SkipReservation {
		return OwnerNone
	}
	return p.view.servers[i].Owner
}

// hasFreshPeerReport reports whether the other routers' reports of the i-th server
// are fresh.
func (p *pick) hasFreshPeerReport(i int) bool {
	return p.view.rank.Count == 1 || p.now.Sub(p.view.servers[i].PeerInFlightAt) <= maxPeerReportAge
}

// choose returns the hinted server if it is within its load bound, else the server
// within its bound that rendezvous hashing ranks first for the chat, else the server
// with the least excess over its bound.
func (p *pick) choose(random *rand.Rand) (int, bool) {
	chat := hashString(p.request.Chat)
	if p.request.Chat == "" {
		chat = random.Uint64()
	}
	best, bestScore := -1, 0.0
	for i := range p.view.servers {
		if !p.isEligible(i) {
			continue
		}
		if p.excess(i) > 0 {
			continue
		}
		if p.request.isHinted(&p.view.servers[i]) {
			return i, true
		}
		if score := rendezvousScore(chat, p.states[i].hash, p.rendezvousWeight(i)); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 || p.request.IgnoreLoadBound || len(p.request.Refused) >= maxAffinityRefusals {
		best = p.leastLoaded()
	}
	return best, best >= 0
}

// leastLoaded returns the eligible server with the lowest load relative to its
// bound, or -1.
func (p *pick) leastLoaded() int {
	least, leastExcess := -1, 0.0
	for i := range p.view.servers {
		if !p.isEligible(i) {
			continue
		}
		if excess := p.excess(i); least < 0 || excess < leastExcess {
			least, leastExcess = i, excess
		}
	}
	return least
}

// isEligible reports whether the i-th server may take the request, regardless of the
// load bound.
func (p *pick) isEligible(i int) bool {
	server, state := &p.view.servers[i], p.states[i]
	if p.request.excludes(server.ID) || state.ejection.ejected {
		return false
	}
	if state.ejection.onProbation() && state.inFlight > 0 {
		return false
	}
	if !p.hasFreeSlot(i) {
		return false
	}
	return !isLong(p.request) || p.isEligibleForLong(i)
}

// isEligibleForLong reports whether the i-th server may take another long request.
func (p *pick) isEligibleForLong(i int) bool {
	state := p.states[i]
	if rendezvousScore(longWorkKey, state.hash, 1) < p.minLongScore {
		return false
	}
	share := longSlotShare * float64(p.view.servers[i].Slots) / float64(p.view.rank.Count)
	return float64(state.longInFlight)+1 <= share+p.view.roundingOffset(i)
}

// excess returns the load by which the request would exceed the load bound of the
// i-th server. It is zero or negative if the server stays within its bound.
func (p *pick) excess(i int) float64 {
	if p.owner(i) != OwnerNone {
		return p.excessWithOwner(i)
	}
	slots := float64(p.view.servers[i].Slots)
	if !p.hasFreshPeerReport(i) {
		return p.excessOverShare(i, p.view.loadBound*p.ownMean*slots)
	}
	margin := boundMargin + marginPerRouter*float64(p.view.rank.Count)
	limit := (p.view.loadBound-margin)*p.totalMean*slots + boundAllowance
	return max(float64(p.totalLoad(i)+1)-limit, p.excessOverQuota(i, limit))
}

// excessWithOwner returns the excess on a server whose reachable owner has its exact
// load. A router that is not the owner uses it only to decide whether to request a
// reservation.
func (p *pick) excessWithOwner(i int) float64 {
	server := &p.view.servers[i]
	mean, allowance := p.totalMean, 1+reservationSlack
	if p.owner(i) == OwnerSelf {
		mean, allowance = p.meanLowerBound(), 1
	}
	return float64(p.totalLoad(i)+1) - p.view.loadBound*mean*float64(server.Slots) - allowance
}

// meanLowerBound returns a lower bound on the mean load, which limits the servers that
// this router owns. It is below totalMean because the estimated total may still count
// completed requests whose completion has not been reported yet.
func (p *pick) meanLowerBound() float64 {
	if p.view.rank.Count == 1 {
		return p.totalMean
	}
	total := p.totalMean * float64(p.view.slots)
	slack := ownerMeanSlack
	if !p.view.ownsAll {
		slack += peerReportSlack * math.Sqrt(total)
	}
	return max(total-slack, minMeanLoad*float64(len(p.states))) / float64(p.view.slots)
}

// excessOverShare returns the load by which the request would exceed this router's
// share of the i-th server. Shares are rounded with offsets spread over the routers,
// so they add up to the bound without messages between routers.
func (p *pick) excessOverShare(i int, share float64) float64 {
	return float64(p.states[i].inFlight+1) - share - p.view.roundingOffset(i)
}

// excessOverQuota returns the load by which the request would exceed this router's
// quota on the i-th server: the part of the free load that it may use between two
// reports of the other routers. The quota prevents all routers from choosing the
// same server at once.
func (p *pick) excessOverQuota(i int, limit float64) float64 {
	if p.view.rank.Count == 1 {
		return p.excessOverShare(i, limit)
	}
	server, state := &p.view.servers[i], p.states[i]
	freeLoad := limit - float64(state.inFlightAtPeerReport+server.PeerInFlight)
	quotaShare := min(quotaFactor/float64(p.view.rank.Count), maxQuotaShare)
	quota := float64(state.inFlightAtPeerReport) + max(quotaShare*freeLoad, 0)
	return p.excessOverShare(i, quota)
}

// hasFreeSlot reports whether the i-th server has a free slot that this router may
// use.
func (p *pick) hasFreeSlot(i int) bool {
	server := &p.view.servers[i]
	slots := float64(server.Slots)
	switch p.owner(i) {
	case OwnerPeer:
		return p.totalLoad(i) < server.Slots
	case OwnerSelf:
		contended := p.now.Sub(p.states[i].contendedAt) <= contentionPeriod
		isWithinShare := !contended || p.excessOverShare(i, slots/float64(p.view.rank.Count)) <= 0
		return p.totalLoad(i) < server.Slots && isWithinShare
	}
	if !p.hasFreshPeerReport(i) {
		return p.excessOverShare(i, slots/float64(p.view.rank.Count)) <= 0
	}
	return p.totalLoad(i) < server.Slots && p.excessOverQuota(i, slots) <= 0
}

// rendezvousWeight returns the weight of the i-th server in rendezvous hashing: its
// slots, reduced while the server warms up.
func (p *pick) rendezvousWeight(i int) float64 {
	server := &p.view.servers[i]
	weight := float64(server.Slots)
	age := p.now.Sub(server.Since)
	if server.Since.IsZero() || age >= warmUpPeriod {
		return weight
	}
	return weight * (warmUpInitialShare + (1-warmUpInitialShare)*float64(max(age, 0))/float64(warmUpPeriod))
}

package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the Bounded policy.
const (
	// minMeanLoad is the mean load per server below which the load bound does not
	// tighten further, because affinity then matters more than even load.
	minMeanLoad = 2.0
	// reservationSlack is the excess over the load bound, by this router's estimate,
	// up to which it still requests a reservation: the owner has the exact load.
	reservationSlack = 0.5
	// boundMargin is subtracted from the load bound, and boundAllowance added to the
	// limit, because the other routers' reports of a server's load are slightly
	// stale.
	boundMargin = 0.04
	// marginPerRouter is subtracted from the load bound for each router, because
	// each router's report is slightly stale.
	marginPerRouter = 0.004
	boundAllowance  = 0.75
	// quotaFactor is the number of equal shares, one per router, of a server's free
	// load that a router may use until the next report of the other routers.
	quotaFactor = 2.5
	// maxQuotaShare bounds the share of the free load in a router's quota.
	maxQuotaShare = 0.75
	// maxAffinityRefusals is the number of refused reservations after which a
	// request drops affinity and tries the servers with the least load, and
	// maxRefusals the number after which it ignores the load bound.
	maxAffinityRefusals = 3
	maxRefusals         = 5
	// ownerMeanSlack is the number of completed requests that may not have been
	// reported yet to a router that owns all servers. If the router counts other
	// owners' servers by the routers' reports, peerReportSlack times the square root
	// of the total load is added.
	ownerMeanSlack  = 1.0
	peerReportSlack = 1.5
	// contentionPeriod is the time for which a router that has refused a slot on its
	// own server limits itself to an equal share of the slots.
	contentionPeriod = time.Second
	// maxPeerReportAge is the age after which another router's report is stale.
	maxPeerReportAge = 3 * time.Second
	// warmUpPeriod is the time over which a new server takes over its chats.
	warmUpPeriod = 10 * time.Second
	// warmUpInitialShare is the share of its rendezvous weight with which a new
	// server starts.
	warmUpInitialShare = 0.1
	// longSlotShare is the share of a server's slots that long requests may use.
	longSlotShare = 0.5
	// longServerShare is the share of the servers that take long requests.
	longServerShare = 0.5
	// maxLoadReportAge is the age after which a load report is stale.
	maxLoadReportAge = 3 * time.Second
	// minUnattributedShare is the share of a server's slots above which reported
	// load that no router accounts for is added to the estimated load.
	minUnattributedShare = 0.25
)

// longWorkKey is the rendezvous key that ranks the servers for long requests.
var longWorkKey = hashString("long work")

// Bounded is the default policy: chat affinity by rendezvous hashing, limited by a
// bound on each server's load relative to the mean and by the servers' slots.
type Bounded struct {
	inFlightTracker
	random     *rand.Rand
	ejector    *ejector
	longScores []float64
}

// NewBounded returns a balancer without requests in flight that draws random numbers
// from random.
func NewBounded(random *rand.Rand) *Bounded {
	return &Bounded{inFlightTracker: newInFlightTracker(), random: random, ejector: newEjector()}
}

// Pick implements Balancer.
func (b *Bounded) Pick(now time.Time, request Request, view *View) (ServerID, bool) {
	if view.Len() == 0 {
		return "", false
	}
	p := &pick{now: now, request: &request, view: view, states: b.viewStates(now, view)}
	p.ownMean, p.totalMean = p.meanLoads()
	p.minLongScore = b.minLongScore(p)
	b.ejector.review(now, p.states)
	chosen, ok := p.choose(b.random)
	if !ok {
		return "", false
	}
	b.recordStart(p.states[chosen], &request)
	return view.servers[chosen].ID, true
}

// MayGrant reports whether another router may get one more reservation on a server
// that this router owns. With ignoreLoadBound only a lack of slots refuses it.
func (b *Bounded) MayGrant(now time.Time, id ServerID, ignoreLoadBound bool, view *View) bool {
	i, found := view.index(id)
	if !found {
		return false
	}
	p := &pick{now: now, request: &Request{}, view: view, states: b.viewStates(now, view)}
	p.ownMean, p.totalMean = p.meanLoads()
	if p.totalLoad(i) >= view.servers[i].Slots {
		p.states[i].contendedAt = now
		return false
	}
	return ignoreLoadBound || p.excessWithOwner(i) <= 0
}

// AfterRefusal returns the request to retry after the owner of server has refused a
// reservation. The retry excludes the servers that refused; after
// maxAffinityRefusals it drops affinity, and after maxRefusals it ignores the load
// bound.
func AfterRefusal(request Request, server ServerID) Request {
	request.Refused = append(request.Refused, server)
	if len(request.Refused) >= maxRefusals {
		return IgnoringLoadBound(request)
	}
	return request
}

// IgnoringLoadBound returns the request exempted from the load bound and without its
// list of refused servers, so that only the slots limit its placement.
func IgnoringLoadBound(request Request) Request {
	request.Refused = nil
	request.IgnoreLoadBound = true
	return request
}

// CancelPick undoes a pick after the server's owner has refused the reservation.
func (b *Bounded) CancelPick(request Request, server ServerID) { b.recordDone(&request, server) }

// FirstByte implements FirstByteObserver.
func (b *Bounded) FirstByte(_ time.Time, request Request, server ServerID, firstByte time.Duration) {
	if state := b.byID[server]; state != nil {
		b.ejector.recordFirstByte(state, &request, attributableFirstByte(state, &request, server, firstByte))
	}
}

// Done implements Balancer.
func (b *Bounded) Done(now time.Time, request Request, server ServerID, result Result) {
	state := b.recordDone(&request, server)
	if state != nil {
		result.FirstByte = attributableFirstByte(state, &request, server, result.FirstByte)
		b.ejector.recordResult(state, &request, result)
	}
}

// attributableFirstByte returns the time to the first byte that is recorded for a
// server. A chat that moved from another server has to process its whole prefix
// again, so its time is capped at the server's average. On probation the measured
// time counts in full.
func attributableFirstByte(state *serverState, request *Request, server ServerID, firstByte time.Duration) time.Duration {
	if request.Hint == "" || request.Hint == server || state.ejection.onProbation() {
		return firstByte
	}
	return min(firstByte, time.Duration(state.ejection.averageSeconds*float64(time.Second)))
}

// minLongScore returns the lowest rendezvous score of the servers that take long
// requests.
func (b *Bounded) minLongScore(p *pick) float64 {
	if !isLong(p.request) {
		return 0
	}
	b.longScores = b.longScores[:0]
	for _, state := range p.states {
		b.longScores = append(b.longScores, rendezvousScore(longWorkKey, state.hash, 1))
	}
	return nthHighest(b.longScores, int(math.Ceil(longServerShare*float64(len(b.longScores)))))
}

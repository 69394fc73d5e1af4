package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the bounded policy.
const (
	// minMeanLoad is the load a server below which the relative bound does not
	// tighten any more: there affinity counts for more.
	minMeanLoad = 2.0
	// askSlack is how far over its bound, as far as known, a server may be
	// whose owner is asked for a place: the owner knows better.
	askSlack = 0.5
	// boundMargin is taken off the bound on a server's whole load, and boundPlus
	// is added, because the other routers' reports of it are a little old.
	boundMargin = 0.04
	// marginPerRouter is taken off for each router whose report is a little old.
	marginPerRouter = 0.004
	boundPlus       = 0.75
	// leaseFactor is how many equal parts of a server's free load a router may
	// take up before it hears of the other routers again.
	leaseFactor = 2.5
	// maxLease bounds that part of the free load.
	maxLease = 0.75
	// maxAffine is how many refusals a request takes from the owners of its
	// chat's first servers before it asks for those with the least load, and
	// maxRefusals how many before it asks firmly.
	maxAffine   = 3
	maxRefusals = 5
	// exactSlack is how many requests may have ended that the owner of a whole
	// pool has not heard of, and peerReportSlack how many more, in square roots of all
	// requests, where it has other owners' servers by the routers' reports.
	exactSlack      = 1.0
	peerReportSlack = 1.5
	// contendedTime is how long a router that has refused a slot of its own server
	// keeps to an equal part of the slots itself.
	contendedTime = time.Second
	// peerReportAge is the age at which another router's report of its work counts no more.
	peerReportAge = 3 * time.Second
	// warmUp is the time over which a new server takes over chats.
	warmUp = 10 * time.Second
	// warmUpStart is the share of its weight that a new server starts with.
	warmUpStart = 0.1
	// longSlotShare is the share of a server's slots that long work may hold.
	longSlotShare = 0.5
	// longServerShare is the share of the servers that take long work.
	longServerShare = 0.5
	// reportAge is the age at which a load report counts no more.
	reportAge = 3 * time.Second
	// unexplainedShare is the share of a server's slots from which on a reported
	// load that no router has told is believed.
	unexplainedShare = 0.25
)

// longKey is the rendezvous key that orders the servers for long work.
var longKey = hashString("long work")

// Bounded is the product's policy: rendezvous affinity within a bound on the
// load of each server relative to the mean, and within its slots.
type Bounded struct {
	tracker
	random   *rand.Rand
	ejection *ejector
	scratch  []float64
}

// NewBounded returns a balancer without requests in flight.
func NewBounded(random *rand.Rand) *Bounded {
	return &Bounded{tracker: newTracker(), random: random, ejection: newEjector()}
}

// Pick implements Balancer.
func (b *Bounded) Pick(now time.Time, request Request, view *View) (ServerID, bool) {
	if view.Len() == 0 {
		return "", false
	}
	p := &pick{now: now, request: &request, view: view, states: b.bind(now, view)}
	p.mean, p.wholeMean = p.means()
	p.longLimit = b.longLimit(p)
	b.ejection.review(now, p.states)
	chosen, ok := p.choose(b.random)
	if !ok {
		return "", false
	}
	b.start(p.states[chosen], &request)
	return view.servers[chosen].ID, true
}

// MayGrant reports whether another router may have a further place on a server
// that this router owns. A firm question is refused for lack of a slot only.
func (b *Bounded) MayGrant(now time.Time, id ServerID, firm bool, view *View) bool {
	i, found := view.index(id)
	if !found {
		return false
	}
	p := &pick{now: now, request: &Request{}, view: view, states: b.bind(now, view)}
	p.mean, p.wholeMean = p.means()
	if p.whole(i) >= view.servers[i].Slots {
		p.states[i].contendedAt = now
		return false
	}
	return firm || p.overReserved(i) <= 0
}

// AfterRefusal returns how a request goes on whose place a server's owner has
// refused: it tries other servers, in the end those with the least load, and
// once all have refused it asks firmly.
func AfterRefusal(request Request, server ServerID) Request {
	request.Refused = append(request.Refused, server)
	if len(request.Refused) >= maxRefusals {
		return IgnoringLoadBound(request)
	}
	return request
}

// IgnoringLoadBound returns a request that only a lack of slots keeps from a server.
func IgnoringLoadBound(request Request) Request {
	request.Refused = nil
	request.IgnoreLoadBound = true
	return request
}

// CancelPick takes a pick back whose place the server's owner has refused.
func (b *Bounded) CancelPick(request Request, server ServerID) { b.done(&request, server) }

// FirstByte implements FirstByteObserver.
func (b *Bounded) FirstByte(_ time.Time, request Request, server ServerID, took time.Duration) {
	if state := b.byID[server]; state != nil {
		b.ejection.observeFirstByte(state, &request, judged(state, &request, server, took))
	}
}

// Done implements Balancer.
func (b *Bounded) Done(now time.Time, request Request, server ServerID, result Result) {
	state := b.done(&request, server)
	if state != nil {
		result.FirstByte = judged(state, &request, server, result.FirstByte)
		b.ejection.observe(state, &request, result)
	}
}

// judged returns the time to the first byte that a server is judged by. A chat
// that was on another server before has its whole prefix processed anew, so a
// long time tells nothing of the server, but where that is on trial.
func judged(state *serverState, request *Request, server ServerID, took time.Duration) time.Duration {
	if request.Hint == "" || request.Hint == server || state.latency.onTrial() {
		return took
	}
	return min(took, time.Duration(state.latency.average*float64(time.Second)))
}

// longLimit returns the lowest score that a server for long work has.
func (b *Bounded) longLimit(p *pick) float64 {
	if !isLong(p.request) {
		return 0
	}
	b.scratch = b.scratch[:0]
	for _, state := range p.states {
		b.scratch = append(b.scratch, rendezvousScore(longKey, state.hash, 1))
	}
	return highest(b.scratch, int(math.Ceil(longServerShare*float64(len(b.scratch)))))
}

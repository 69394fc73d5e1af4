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
	// peerOptimism is how far over its bound, as far as known, a server may be
	// whose owner is asked for a place: the owner knows better.
	peerOptimism = 0.5
	// boundMargin is taken off the bound on a server's whole load, and boundPlus
	// is added, because the other routers' word on it is a little old.
	boundMargin = 0.04
	// marginPerRouter is taken off for each router whose word is a little old.
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
	// pool has not heard of, and wordSlack how many more, in square roots of all
	// requests, where it has other owners' servers by the routers' word.
	exactSlack = 1.0
	wordSlack  = 1.5
	// contendedTime is how long a router that has refused a slot of its own server
	// keeps to an equal part of the slots itself.
	contendedTime = time.Second
	// wordAge is the age at which the other routers' word counts no more.
	wordAge = 3 * time.Second
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

// Grants reports whether another router may have a further place on a server
// that this router owns. A firm question is refused for lack of a slot only.
func (b *Bounded) Grants(now time.Time, id ServerID, firm bool, view *View) bool {
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
		return Firm(request)
	}
	return request
}

// Firm returns a request that only a lack of slots keeps from a server.
func Firm(request Request) Request {
	request.Refused = nil
	request.Firm = true
	return request
}

// Unpick takes a pick back whose place the server's owner has refused.
func (b *Bounded) Unpick(request Request, server ServerID) { b.done(&request, server) }

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
	whole := state.inFlight + server.Others
	mayHide := p.owner(i) == OwnerNone || p.view.place.Missing > 0
	believed := mayHide && float64(state.unexplained) > unexplainedShare*float64(server.Slots)
	if believed && p.now.Sub(state.reportedAt) <= reportAge {
		whole += state.unexplained
	}
	return whole
}

// owner returns who grants places on the i-th server to this request.
func (p *pick) owner(i int) Ownership {
	if p.request.Unreserved {
		return OwnerNone
	}
	return p.view.servers[i].Owner
}

// hasWord reports whether the other routers' word on the i-th server is fresh.
func (p *pick) hasWord(i int) bool {
	return p.view.place.Count == 1 || p.now.Sub(p.view.servers[i].OthersAt) <= wordAge
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
	if best < 0 || p.request.Firm || len(p.request.Refused) >= maxAffine {
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
	if !p.hasWord(i) {
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
	mean, plus := p.wholeMean, 1+peerOptimism
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
		slack += wordSlack * math.Sqrt(total)
	}
	return max(total-slack, minMeanLoad*float64(len(p.states))) / float64(p.view.slots)
}

// overShare is by how much the request would exceed this router's share. The
// shares are rounded by offsets that are spread over the routers, so that they
// add up to the bound without any word between them.
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
	free := limit - float64(state.ownThen+server.Others)
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
	if !p.hasWord(i) {
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

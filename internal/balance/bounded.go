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
	minMeanLoad = 1.0
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
	// shareReturn is the part of its surplus of slots that a router gives back
	// with each load report, so that others can grow.
	shareReturn = 0.1
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
	p.mean = p.ownMean()
	p.longLimit = b.longLimit(p)
	b.ejection.review(now, p.states)
	chosen, ok := p.choose(b.random)
	if !ok {
		return "", false
	}
	b.start(p.states[chosen], &request)
	return view.servers[chosen].ID, true
}

// Done implements Balancer.
func (b *Bounded) Done(now time.Time, request Request, server ServerID, result Result) {
	state := b.done(&request, server)
	if state != nil {
		b.ejection.observe(now, state, &request, result)
	}
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
	// mean is this router's requests in flight for each slot, the new one included.
	mean      float64
	longLimit float64
}

func (p *pick) ownMean() float64 {
	total := 1
	for _, state := range p.states {
		total += state.inFlight
	}
	least := minMeanLoad * float64(len(p.states)) / float64(p.view.place.Count)
	return max(float64(total), least) / float64(p.view.slots)
}

// choose returns the hinted server where it is under its bound, else the chat's
// first choice under its bound, else the server that is least over its bound.
func (p *pick) choose(random *rand.Rand) (int, bool) {
	chat := hashString(p.request.Chat)
	if p.request.Chat == "" {
		chat = random.Uint64()
	}
	best, bestScore := -1, 0.0
	least, leastExcess := -1, 0.0
	for i := range p.view.servers {
		if !p.allowed(i) {
			continue
		}
		excess := p.excess(i)
		if excess > 0 {
			if least < 0 || excess < leastExcess {
				least, leastExcess = i, excess
			}
			continue
		}
		if p.request.hints(&p.view.servers[i]) {
			return i, true
		}
		if score := rendezvousScore(chat, p.states[i].hash, p.weight(i)); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		best = least
	}
	return best, best >= 0
}

// allowed reports whether the i-th server may take the request at all.
func (p *pick) allowed(i int) bool {
	server, state := &p.view.servers[i], p.states[i]
	if p.request.excludes(server.ID) || state.latency.ejected {
		return false
	}
	if state.inFlight >= p.slotLimit(i) {
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
	bound := p.view.loadBound * p.mean * float64(p.view.servers[i].Slots)
	return float64(p.states[i].inFlight+1) - bound - p.view.offset(i)
}

// slotLimit is the number of the i-th server's slots that this router may hold.
// A load report is split among the routers: each keeps what it held, gets a
// part of the free slots, and gives a part of its surplus over an equal share
// back. The limits of all routers add up to the server's slots.
func (p *pick) slotLimit(i int) int {
	server, state := &p.view.servers[i], p.states[i]
	count := float64(p.view.place.Count)
	slots := float64(server.Slots)
	if count == 1 {
		return server.Slots
	}
	if p.now.Sub(state.reportedAt) > reportAge || server.ReportedLoad == 0 {
		return int(slots/count + p.view.offset(i))
	}
	load := float64(max(server.ReportedLoad, state.ownAtReport))
	own := float64(state.ownAtReport)
	free := (slots - load) * (0.5/count + 0.5*own/load)
	surplus := shareReturn * (own - load/count)
	limit := int(own + free - surplus + p.view.offset(i))
	return min(limit, server.Slots)
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

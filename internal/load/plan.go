package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is a planned request. It is sent at a fixed time, independently of the
// progress of other requests.
type arrival struct {
	// at is the time since the start of the run.
	at       time.Duration
	shape    int
	customer int
	// returning selects a paused chat instead of a new one, if one is due.
	returning bool
	// inHomeDomain routes the request to a router in the failure domain of its
	// chat.
	inHomeDomain bool
	// routerDraw and domainDraw are random numbers that select the router of the
	// request and the home domain of a new chat.
	routerDraw, domainDraw uint64
	// pause is the time between the answer and the next turn of the chat.
	pause time.Duration
}

// plan is the arrival process of a mix: a Poisson process whose rate follows the
// crest. The same mix and seed always yield the same arrivals. It does no I/O and
// reads no clock.
type plan struct {
	mix    *Mix
	random *rand.Rand
	now    time.Duration
}

func newPlan(mix *Mix) *plan {
	return &plan{mix: mix, random: rand.New(rand.NewPCG(mix.Seed, 0))}
}

// next returns the next arrival, or false after the duration of the mix. It thins a
// Poisson process at the peak rate: a candidate is kept with the probability of the
// current rate over the peak rate.
func (p *plan) next() (arrival, bool) {
	peak := p.rate(p.peakFactor())
	for {
		p.now += time.Duration(p.random.ExpFloat64() / peak * float64(time.Second))
		if p.now >= p.mix.Duration() {
			return arrival{}, false
		}
		if p.random.Float64()*peak < p.rate(p.factorAt(p.now)) {
			return p.drawArrival(), true
		}
	}
}

func (p *plan) drawArrival() arrival {
	return arrival{
		at:           p.now,
		shape:        weightedIndex(p.random, p.mix.Shapes, func(s Shape) float64 { return s.Share }),
		customer:     weightedIndex(p.random, p.mix.Customers, func(c Customer) float64 { return c.Share * p.customerFactor(c, p.factorAt(p.now)) }),
		returning:    p.random.Float64() < p.mix.Chats.ReturnShare,
		inHomeDomain: p.random.Float64() < p.mix.HomeShare,
		routerDraw:   p.random.Uint64(),
		domainDraw:   p.random.Uint64(),
		pause:        time.Duration(p.random.ExpFloat64() * float64(milliseconds(p.mix.Chats.PauseMS))),
	}
}

// rate returns the arrivals per second of all customers if those in the crest have
// the given factor.
func (p *plan) rate(factor float64) float64 {
	total, surging := 0.0, 0.0
	for _, customer := range p.mix.Customers {
		total += customer.Share
		surging += customer.Share * p.customerFactor(customer, factor)
	}
	return p.mix.RatePerSecond * surging / total
}

// customerFactor returns factor for a customer in the crest, and 1 for others.
func (p *plan) customerFactor(customer Customer, factor float64) float64 {
	crest := p.mix.Crest
	if crest == nil || (len(crest.Customers) > 0 && !slices.Contains(crest.Customers, customer.Name)) {
		return 1
	}
	return factor
}

func (p *plan) peakFactor() float64 {
	if p.mix.Crest == nil {
		return 1
	}
	return p.mix.Crest.Factor
}

func (p *plan) factorAt(at time.Duration) float64 {
	if p.mix.inCrest(at) {
		return p.mix.Crest.Factor
	}
	return 1
}

// inCrest reports whether the crest is active at a time after the start.
func (m *Mix) inCrest(at time.Duration) bool {
	if m.Crest == nil {
		return false
	}
	since := at - milliseconds(m.Crest.StartMS)
	return since >= 0 && since < milliseconds(m.Crest.LengthMS)
}

// weightedIndex returns a random index with a probability proportional to its
// weight. items must not be empty.
func weightedIndex[T any](random *rand.Rand, items []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	left := random.Float64() * total
	for i, item := range items {
		left -= weight(item)
		if left < 0 {
			return i
		}
	}
	return len(items) - 1
}

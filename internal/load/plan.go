package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is a request that the plan sends at a fixed time after the start.
type arrival struct {
	at       time.Duration
	shape    int
	customer int
	// returns asks for a chat that has been there before.
	returns bool
	// home says that the request arrives in its chat's own failure domain.
	home bool
	// router and domain choose among the targets.
	router, domain uint64
	pause          time.Duration
}

// plan draws arrivals from a seed: a Poisson process whose rate follows the
// crest. It is pure.
type plan struct {
	mix    *Mix
	random *rand.Rand
	now    time.Duration
}

func newPlan(mix *Mix) *plan {
	return &plan{mix: mix, random: rand.New(rand.NewPCG(mix.Seed, 0))}
}

// next returns the next arrival, or false when the mix's time is over.
func (p *plan) next() (arrival, bool) {
	peak := p.rate(p.crestFactor())
	for {
		p.now += time.Duration(p.random.ExpFloat64() / peak * float64(time.Second))
		if p.now >= p.mix.Duration() {
			return arrival{}, false
		}
		if p.random.Float64()*peak < p.rate(p.factorAt(p.now)) {
			return p.draw(), true
		}
	}
}

func (p *plan) draw() arrival {
	return arrival{
		at:       p.now,
		shape:    pick(p.random, p.mix.Shapes, func(s Shape) float64 { return s.Share }),
		customer: pick(p.random, p.mix.Customers, func(c Customer) float64 { return c.Share * p.surge(c, p.factorAt(p.now)) }),
		returns:  p.random.Float64() < p.mix.Chats.ReturnShare,
		home:     p.random.Float64() < p.mix.HomeShare,
		router:   p.random.Uint64(),
		domain:   p.random.Uint64(),
		pause:    time.Duration(p.random.ExpFloat64() * float64(milliseconds(p.mix.Chats.PauseMS))),
	}
}

// rate returns the arrivals a second while the crest has the given factor.
func (p *plan) rate(factor float64) float64 {
	total, surging := 0.0, 0.0
	for _, customer := range p.mix.Customers {
		total += customer.Share
		surging += customer.Share * p.surge(customer, factor)
	}
	return p.mix.RatePerSecond * surging / total
}

func (p *plan) surge(customer Customer, factor float64) float64 {
	crest := p.mix.Crest
	if crest == nil || (len(crest.Customers) > 0 && !slices.Contains(crest.Customers, customer.Name)) {
		return 1
	}
	return factor
}

func (p *plan) crestFactor() float64 {
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

// inCrest reports whether the crest lasts at a time after the start.
func (m *Mix) inCrest(at time.Duration) bool {
	if m.Crest == nil {
		return false
	}
	since := at - milliseconds(m.Crest.StartMS)
	return since >= 0 && since < milliseconds(m.Crest.LengthMS)
}

// pick returns an index drawn by weight.
func pick[T any](random *rand.Rand, items []T, weight func(T) float64) int {
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

package slotshare_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// modelLength and modelSeeds are the virtual time and the number of the runs of a rule. Figures in
// documents are those of more and longer runs than the default, which take seconds.
var (
	modelLength = flag.Duration("model.length", 40*time.Second, "virtual time of each run of the model")
	modelSeeds  = flag.Uint64("model.seeds", 2, "number of runs of each rule of the model")
)

// rule decides where the requests of a model are sent.
type rule interface{ arrive(a arrival) }

// oneQueue is the bound: all requests wait in one queue, in the order of their arrival, and are
// sent to a server that is known not to be slow, if one has a free slot.
type oneQueue struct {
	model *model
	queue []arrival
	held  []int
}

func (q *oneQueue) arrive(a arrival) {
	q.queue = append(q.queue, a)
	q.dispatch()
}

func (q *oneQueue) dispatch() {
	for len(q.queue) > 0 {
		best := -1
		for i, s := range q.model.servers {
			if q.held[i] >= modelSlots {
				continue
			}
			slow, _ := s.isSlow(q.model.now)
			bestSlow := false
			if best >= 0 {
				bestSlow, _ = q.model.servers[best].isSlow(q.model.now)
			}
			if best < 0 || bestSlow && !slow || bestSlow == slow && q.held[i] < q.held[best] {
				best = i
			}
		}
		if best < 0 {
			return
		}
		a := q.queue[0]
		q.queue = q.queue[1:]
		q.held[best]++
		q.model.send(a.router, q.model.servers[best], a.work, func(bool) {
			q.held[best]--
			q.model.finish(a, false)
			q.dispatch()
		})
	}
}

// todaysRule lets each router decide alone.
type todaysRule struct{ routers []*localRule }

func newTodaysRule(m *model) *todaysRule {
	t := &todaysRule{}
	for i := range modelRouters {
		t.routers = append(t.routers, newLocalRule(m, i))
	}
	return t
}

func (t *todaysRule) arrive(a arrival) {
	t.routers[a.router].serve(a, nil, func(int) {}, func(bool) {})
}

// coordinated asks a coordinator for each slot, with the same delay to it for all routers. A router
// whose ask is not answered within the patience decides alone.
type coordinated struct {
	model       *model
	coordinator *slotshare.Coordinator
	local       *todaysRule
	delay       time.Duration
	nextID      uint64
	asks        map[uint64]*pendingAsk
	ticking     bool
	links       []slotshare.Monitor
	// frozen returns whether the coordinator's process is stopped; its messages wait.
	frozen   func(time.Time) bool
	isFrozen bool
	// isDead drops all messages.
	isDead bool
	inbox  []func()
	// late counts the slots that were granted after the router had decided alone.
	late int
}

type pendingAsk struct {
	arrival
	answered bool
}

func newCoordinated(m *model, delay time.Duration) *coordinated {
	c := &coordinated{model: m, coordinator: slotshare.New(), local: newTodaysRule(m), delay: delay, asks: make(map[uint64]*pendingAsk), links: make([]slotshare.Monitor, modelRouters)}
	var servers []slotshare.Server
	for _, s := range m.servers {
		servers = append(servers, slotshare.Server{Hash: uint64(s.id) + 1, Domain: s.domain, Slots: modelSlots})
	}
	c.coordinator.SetServers(servers)
	return c
}

// deliver runs a message's effect at the coordinator.
func (c *coordinated) deliver(run func()) {
	if c.isDead {
		return
	}
	c.model.after(c.delay, func() {
		if c.isFrozen || c.frozen != nil && c.frozen(c.model.now) {
			c.inbox = append(c.inbox, run)
			if !c.isFrozen {
				c.isFrozen = true
				c.thaw()
			}
			return
		}
		run()
		c.dispatch()
	})
}

func (c *coordinated) thaw() {
	if c.frozen(c.model.now) {
		c.model.after(10*time.Millisecond, c.thaw)
		return
	}
	c.isFrozen = false
	for _, run := range c.inbox {
		run()
	}
	c.inbox = nil
	c.dispatch()
}

// isUsable reports whether a router uses the coordinator, and pings it if it does not.
func (c *coordinated) isUsable(router int) bool {
	link := &c.links[router]
	if number := link.Ping(c.model.now); number > 0 {
		c.deliver(func() { c.model.after(c.delay, func() { link.Pong(number, c.model.now) }) })
	}
	return link.IsUsable()
}

// decideAlone sends a request by the router's own rule, and tells the coordinator.
func (c *coordinated) decideAlone(a arrival) {
	router := routerName(a.router)
	var id uint64
	c.local.routers[a.router].serve(a, nil, func(server int) {
		c.nextID++
		id = c.nextID
		ask := slotshare.Ask{ID: id, Customer: a.customer, Deadline: a.at.Add(lifetime)}
		c.deliver(func() { c.coordinator.Take(router, ask, uint64(server)+1, c.model.now) })
	}, func(full bool) {
		released, outcome := id, slotshare.OutcomeAnswered
		if full {
			outcome = slotshare.OutcomeFull
		}
		c.deliver(func() { c.coordinator.Release(router, released, outcome, c.model.now) })
	})
}

func (c *coordinated) arrive(a arrival) {
	if !c.isUsable(a.router) {
		c.decideAlone(a)
		return
	}
	c.nextID++
	id := c.nextID
	p := &pendingAsk{arrival: a}
	c.asks[id] = p
	ask := slotshare.Ask{
		ID: id, Customer: a.customer, Priority: a.priority, Domain: routerDomain(a.router),
		OnTime: a.at.Add(objective), Deadline: a.at.Add(lifetime),
	}
	c.deliver(func() { c.reply(c.coordinator.Ask(routerName(a.router), ask, c.model.now)) })
	c.model.after(slotshare.Patience(objective), func() {
		if !p.answered && c.asks[id] == p {
			c.links[a.router].Lost(c.model.now)
			c.settle(a.router)
		}
	})
}

func (c *coordinated) reply(d slotshare.Decision) {
	c.model.after(c.delay, func() { c.handle(d) })
}

func (c *coordinated) handle(d slotshare.Decision) {
	p := c.asks[d.ID]
	if p == nil {
		if d.Verdict == slotshare.VerdictGranted {
			c.late++
			c.deliver(func() { c.coordinator.Release(d.Router, d.ID, slotshare.OutcomeUnknown, c.model.now) })
		}
		return
	}
	p.answered = true
	router := routerName(p.router)
	if d.Verdict != slotshare.VerdictQueued {
		delete(c.asks, d.ID)
	}
	switch d.Verdict {
	case slotshare.VerdictRefused:
		c.model.finish(p.arrival, true)
	case slotshare.VerdictPassed:
		c.decideAlone(p.arrival)
	case slotshare.VerdictGranted:
		c.model.send(p.router, c.model.servers[d.Server-1], p.work, func(full bool) {
			outcome := slotshare.OutcomeAnswered
			if full {
				outcome = slotshare.OutcomeFull
			}
			c.deliver(func() { c.coordinator.Release(router, d.ID, outcome, c.model.now) })
			if full {
				c.decideAlone(p.arrival)
				return
			}
			c.model.finish(p.arrival, false)
		})
	}
}

// settle lets a router decide alone on the requests that wait for the coordinator.
func (c *coordinated) settle(router int) {
	for _, id := range slices.Sorted(maps.Keys(c.asks)) {
		if p := c.asks[id]; p.router == router {
			delete(c.asks, id)
			c.deliver(func() { c.coordinator.Release(routerName(router), id, slotshare.OutcomeUnknown, c.model.now) })
			c.decideAlone(p.arrival)
		}
	}
}

func (c *coordinated) dispatch() {
	for _, d := range c.coordinator.Dispatch(c.model.now) {
		c.reply(d)
	}
	if c.coordinator.Waiting() > 0 && !c.ticking {
		c.ticking = true
		c.model.after(10*time.Millisecond, func() {
			c.ticking = false
			if c.frozen == nil || !c.frozen(c.model.now) {
				c.dispatch()
			}
		})
	}
}

// summary is the outcome of a run.
type summary struct {
	late, refused, full float64
	p99                 time.Duration
	// others is the share of late and refused requests of the customers other than the one with
	// many requests.
	others float64
}

func play(seed uint64, perSecond float64, length time.Duration, build func(*model) rule) (summary, rule) {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &model{now: modelStart, servers: newModelServers(length, rng), rng: rand.New(rand.NewPCG(seed, 2))}
	requests := arrivals(perSecond, length, rng)
	r := build(m)
	for _, a := range requests {
		m.after(a.at.Sub(modelStart), func() { r.arrive(a) })
	}
	m.run()
	return summarize(m), r
}

func summarize(m *model) (s summary) {
	var times []time.Duration
	otherCount, otherBad := 0.0, 0.0
	for _, r := range m.served {
		late := !r.refused && r.took > objective
		if r.customer != 1 {
			otherCount++
		}
		switch {
		case r.refused:
			s.refused++
		default:
			times = append(times, r.took)
			if late {
				s.late++
			}
		}
		if (late || r.refused) && r.customer != 1 {
			otherBad++
		}
	}
	slices.Sort(times)
	n := float64(len(m.served))
	s.late, s.refused, s.others = s.late/n, s.refused/n, otherBad/otherCount
	s.full = float64(m.full) / float64(m.sends)
	s.p99 = times[len(times)*99/100]
	return s
}

var rules = []struct {
	name  string
	build func(*model) rule
}{
	{"one queue for all", func(m *model) rule { return &oneQueue{model: m, held: make([]int, len(m.servers))} }},
	{"today's rule", func(m *model) rule { return newTodaysRule(m) }},
	{"two choices, loads 100 ms old", func(m *model) rule { return &twoChoices{model: m} }},
	{"coordinator at 0.1 ms", func(m *model) rule { return newCoordinated(m, 100*time.Microsecond) }},
	{"coordinator at 1.4 ms", func(m *model) rule { return newCoordinated(m, 1400*time.Microsecond) }},
	{"coordinator at 3.5 ms", func(m *model) rule { return newCoordinated(m, 3500*time.Microsecond) }},
}

// TestCoordinatorBeatsRoutersThatDecideAlone guards against a coordinator that serves the small
// pool of a platform worse than routers that know nothing of each other, by late requests, by
// refused ones, or by both of the customers that keep to their usual load.
func TestCoordinatorBeatsRoutersThatDecideAlone(t *testing.T) {
	for _, load := range []float64{274, 380, 480} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			results := make(map[string]summary)
			for _, r := range rules {
				sum := playAll(load, r.build)
				results[r.name] = sum
				t.Logf("%3.0f/s %-30s late %6.2f%%  refused %5.2f%%  p99 %4d ms  full %5.2f%%  others late or refused %6.2f%%", load, r.name,
					100*sum.late, 100*sum.refused, sum.p99.Milliseconds(), 100*sum.full, 100*sum.others)
			}
			g := NewWithT(t)
			today := results["today's rule"]
			for _, name := range []string{"coordinator at 0.1 ms", "coordinator at 1.4 ms", "coordinator at 3.5 ms"} {
				c := results[name]
				g.Expect(c.late+c.refused).To(BeNumerically("<", today.late+today.refused), name)
				g.Expect(c.refused).To(BeNumerically("<=", today.refused+0.001), name)
				g.Expect(c.others).To(BeNumerically("<", today.others), name)
			}
		})
	}
}

// playAll returns the mean of the runs of a rule, and their highest p99.
func playAll(load float64, build func(*model) rule) (sum summary) {
	n := float64(*modelSeeds)
	for seed := range *modelSeeds {
		one, _ := play(seed+1, load, *modelLength, build)
		sum.late += one.late / n
		sum.refused += one.refused / n
		sum.full += one.full / n
		sum.others += one.others / n
		sum.p99 = max(sum.p99, one.p99)
	}
	return sum
}

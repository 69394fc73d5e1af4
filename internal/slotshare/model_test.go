package slotshare_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// Load of the model: the small pool of a platform on a day with high load. Routers, servers, slots
// and rates are those of docs/design/uneven-load.md.
const (
	modelRouters  = 32
	modelSlots    = 6
	modelQueue    = 24
	meanWork      = 60 * time.Millisecond
	objective     = 300 * time.Millisecond
	lifetime      = 1500 * time.Millisecond
	slowFactor    = 2.5
	slowShare     = 0.15
	meanSlowTime  = 600 * time.Millisecond
	burstFactor   = 2.2
	burstTime     = 4 * time.Second
	burstInterval = 20 * time.Second
	localDelay    = 100 * time.Microsecond
	remoteDelay   = 1400 * time.Microsecond
	bookShare     = 196.0 / 274.5
)

var (
	modelDomains = []string{"a", "a", "a", "b", "b", "c", "c"}
	modelStart   = time.Unix(1_000_000, 0)
)

// arrival is a request of the model, the same for every rule.
type arrival struct {
	at       time.Time
	router   int
	customer uint64
	priority int
	// retryable requests are idempotent.
	retryable bool
	work      time.Duration
}

// arrivals returns requests with a mean rate per second. Customer 1 sends ten times its usual
// requests in every other burst.
func arrivals(perSecond float64, length time.Duration, rng *rand.Rand) (out []arrival) {
	burst := burstTime.Seconds() / burstInterval.Seconds()
	base := perSecond / (1 - burst + burst*burstFactor)
	for at := time.Duration(0); at < length; {
		rate, heavy := base, false
		if at%burstInterval >= burstInterval-burstTime {
			rate = base * burstFactor
			heavy = at/burstInterval%2 == 1
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		a := arrival{at: modelStart.Add(at), router: rng.IntN(modelRouters), customer: 1 + uint64(rng.IntN(40)), priority: 4, retryable: true}
		if heavy && rng.Float64() < (burstFactor-1)/burstFactor {
			a.customer = 1
		}
		if rng.Float64() < bookShare {
			a.priority, a.retryable = 2, false
		}
		const sigma = 0.5
		a.work = time.Duration(math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2) * float64(meanWork) * 0.95)
		if rng.Float64() < 0.02 {
			a.work *= 4
		}
		out = append(out, a)
	}
	return out
}

// modelServer is a server with slots and a queue, on a machine that is slow for intervals.
type modelServer struct {
	id      int
	domain  string
	slow    []time.Time
	running int
	waiting []func()
}

func newModelServers(length time.Duration, rng *rand.Rand) (out []*modelServer) {
	for i, domain := range modelDomains {
		s := &modelServer{id: i, domain: domain}
		for at := modelStart; at.Before(modelStart.Add(2 * length)); {
			at = at.Add(time.Duration(rng.ExpFloat64() * float64(meanSlowTime) * (1 - slowShare) / slowShare))
			s.slow = append(s.slow, at)
			at = at.Add(time.Duration(rng.ExpFloat64() * float64(meanSlowTime)))
			s.slow = append(s.slow, at)
		}
		out = append(out, s)
	}
	return out
}

// isSlow reports whether the machine is slow, and until when its state lasts.
func (s *modelServer) isSlow(at time.Time) (bool, time.Time) {
	i, _ := slices.BinarySearchFunc(s.slow, at, func(t, target time.Time) int {
		if t.After(target) {
			return 1
		}
		return -1
	})
	if i == len(s.slow) {
		return false, at.Add(time.Hour)
	}
	return i%2 == 1, s.slow[i]
}

// endOf returns when work that starts now is done.
func (s *modelServer) endOf(work time.Duration, at time.Time) time.Time {
	for {
		slow, until := s.isSlow(at)
		factor := 1.0
		if slow {
			factor = slowFactor
		}
		needed := time.Duration(float64(work) * factor)
		if !at.Add(needed).After(until) {
			return at.Add(needed)
		}
		work -= time.Duration(float64(until.Sub(at)) / factor)
		at = until
	}
}

// model runs events in virtual time.
type model struct {
	now     time.Time
	events  eventHeap
	servers []*modelServer
	rng     *rand.Rand
	full    int
	sends   int
	served  []result
	// sequence is the number of the latest event.
	sequence int
}

// result is how a request ended.
type result struct {
	arrival
	took    time.Duration
	refused bool
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (m *model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{m.now.Add(d), m.sequence, run})
}

func (m *model) run() {
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

func routerDomain(router int) string { return []string{"a", "b", "c"}[router%3] }

func routerName(router int) string { return "router-" + strconv.Itoa(router) }

func delayTo(router int, domain string) time.Duration {
	if routerDomain(router) == domain {
		return localDelay
	}
	return remoteDelay
}

// send sends a request to a server; done is called with the answer, or with full set if the server
// refused the request.
func (m *model) send(router int, s *modelServer, work time.Duration, done func(full bool)) {
	delay := delayTo(router, s.domain)
	m.sends++
	m.after(delay, func() {
		if s.running >= modelSlots && len(s.waiting) >= modelQueue {
			m.full++
			m.after(delay, func() { done(true) })
			return
		}
		start := func() {
			s.running++
			m.after(s.endOf(work, m.now).Sub(m.now), func() {
				s.running--
				if len(s.waiting) > 0 {
					next := s.waiting[0]
					s.waiting = s.waiting[1:]
					next()
				}
				m.after(delay, func() { done(false) })
			})
		}
		if s.running < modelSlots {
			start()
			return
		}
		s.waiting = append(s.waiting, start)
	})
}

func (m *model) finish(a arrival, refused bool) {
	m.served = append(m.served, result{a, m.now.Sub(a.at), refused})
}

// localRule is what a router does alone: the placement of this product, with the router's own
// requests and retries.
type localRule struct {
	model  *model
	router int
	pool   *placement.Pool
	budget *placement.RetryBudget
}

func newLocalRule(m *model, router int) *localRule {
	r := &localRule{model: m, router: router, pool: placement.NewPool(false), budget: placement.NewRetryBudget(modelStart)}
	var infos []placement.ServerInfo
	for _, s := range m.servers {
		infos = append(infos, placement.ServerInfo{ID: strconv.Itoa(s.id), Domain: s.domain, Slots: modelSlots, Hash: uint64(s.id) + 1})
	}
	r.pool.SetServers(infos, modelStart)
	return r
}

// serve sends a request by this rule. taken and released are called with each server.
func (r *localRule) serve(a arrival, exclude []string, taken func(server int), released func(full bool)) {
	m := r.model
	if len(exclude) == 0 {
		r.budget.Earn(m.now)
	}
	s := r.pool.Choose(placement.Request{Exclude: exclude, Domain: routerDomain(r.router), Retryable: a.retryable}, m.now)
	if s == nil {
		m.finish(a, true)
		return
	}
	r.pool.RecordSend(s, m.now)
	index, _ := strconv.Atoi(s.ID)
	taken(index)
	sentAt := m.now
	m.send(r.router, m.servers[index], a.work, func(full bool) {
		released(full)
		kind := placement.ResultAnswered
		if full {
			kind = placement.ResultRefused
		}
		r.pool.RecordResult(s, placement.Result{Kind: kind, FirstByte: m.now.Sub(sentAt)}, m.now)
		switch {
		case !full:
			m.finish(a, false)
		case len(exclude) < 3 && r.budget.Spend(m.now):
			r.serve(a, append(slices.Clone(exclude), s.ID), taken, released)
		default:
			m.finish(a, true)
		}
	})
}

// twoChoices sends each request to the less loaded of two random servers, by loads that are
// 100 ms old.
type twoChoices struct {
	model  *model
	loads  []int
	loadAt time.Time
}

func (t *twoChoices) arrive(a arrival) {
	m := t.model
	if m.now.Sub(t.loadAt) > 100*time.Millisecond {
		t.loadAt = m.now
		t.loads = t.loads[:0]
		for _, s := range m.servers {
			t.loads = append(t.loads, s.running+len(s.waiting))
		}
	}
	t.serve(a, 0)
}

func (t *twoChoices) serve(a arrival, sends int) {
	m := t.model
	first := m.rng.IntN(len(m.servers))
	second := (first + 1 + m.rng.IntN(len(m.servers)-1)) % len(m.servers)
	if t.loads[second] < t.loads[first] {
		first = second
	}
	m.send(a.router, m.servers[first], a.work, func(full bool) {
		if full && sends < 3 {
			t.serve(a, sends+1)
			return
		}
		m.finish(a, full)
	})
}

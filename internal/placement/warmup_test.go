package placement_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/placement"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// The simulated load: lessons of 90 routers and 140 servers, of which a third is one failure domain.
const (
	simRouters, simServers = 90, 140
	simPerSecond           = 1000.0
	simPrompts             = 3000
	simWarmup              = 3 * time.Second
	simTotal               = 17
)

type simEvent struct {
	at  time.Time
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simServer is a server process. Each start is an incarnation.
type simServer struct {
	incarnation int
	down        bool
	startedAt   time.Time
	arrivals    []time.Time
}

type simRouter struct {
	pool *placement.Pool
	// conns has the incarnation to which the router has an idle connection, by server.
	conns map[string]int
	infos []placement.ServerInfo
	// frozenUntil is the end of a pause of the process.
	frozenUntil time.Time
}

type sim struct {
	rng     *rand.Rand
	now     time.Time
	events  simEvents
	servers map[string]*simServer
	routers []*simRouter
	served  int
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.events, simEvent{s.now.Add(d), run}) }

// onRouter runs an event of a router once the router is not frozen.
func (s *sim) onRouter(r *simRouter, d time.Duration, run func()) {
	s.after(d, func() {
		if wait := r.frozenUntil.Sub(s.now); wait > 0 {
			s.onRouter(r, wait, run)
			return
		}
		run()
	})
}

func (s *sim) random(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func newSim(seed uint64, w ratelimit.Warmup) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, seed)), now: start, servers: make(map[string]*simServer)}
	infos := serverInfos(simServers)
	for i := range infos {
		infos[i].Hash = uint64(i+1) * 0x9e3779b97f4a7c15
		s.servers[infos[i].ID] = &simServer{}
	}
	for i := range simRouters {
		r := &simRouter{pool: placement.NewPool(true), conns: make(map[string]int), infos: slices.Clone(infos)}
		r.pool.SetWarmup(w, start.Add(-time.Hour))
		r.pool.SetPosition(ratelimit.Position{Index: i, Count: simRouters}, start.Add(-time.Hour))
		r.pool.SetServers(r.infos, start)
		s.routers = append(s.routers, r)
		s.onRouter(r, s.random(200*time.Millisecond), func() { s.probe(r) })
	}
	s.arrive()
	return s
}

func (s *sim) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/simPerSecond*float64(time.Second)), s.arrive)
	r := s.routers[s.rng.IntN(len(s.routers))]
	request := promptRequest(10 + uint64(s.rng.IntN(simPrompts)))
	request.Retryable = true
	s.onRouter(r, 0, func() { s.send(r, request, s.now.Add(300*time.Millisecond), 0) })
}

// send assigns the request to a server, or queues it until the deadline.
func (s *sim) send(r *simRouter, request placement.Request, deadline time.Time, sends int) {
	server := r.pool.Choose(request, s.now)
	if server == nil || sends >= 4 {
		if sends < 4 && s.now.Before(deadline) {
			s.onRouter(r, 20*time.Millisecond, func() { s.send(r, request, deadline, sends) })
		}
		return
	}
	reserved := r.pool.RecordSend(server, s.now)
	id, process := server.ID, s.servers[server.ID]
	incarnation, connected := r.conns[id]
	isReused := connected && incarnation == process.incarnation && !process.down
	setup := time.Millisecond
	if !isReused {
		setup += s.random(150 * time.Millisecond)
	}
	delete(r.conns, id)
	s.onRouter(r, setup, func() {
		retry := func(kind placement.ResultKind, exclude ...string) {
			r.pool.RecordResult(server, placement.Result{Kind: kind}, s.now)
			request.Exclude = append(request.Exclude, exclude...)
			s.send(r, request, deadline, sends+len(exclude))
		}
		if process.down {
			r.pool.CancelSend(server)
			retry(placement.ResultUnreachable, id)
			return
		}
		if !r.pool.ConfirmSend(server, placement.Connection{New: !isReused, LostIdle: connected && !isReused}, reserved, s.now) {
			retry(placement.ResultUnknown)
			return
		}
		process.arrivals = append(process.arrivals, s.now)
		sentTo := process.incarnation
		s.onRouter(r, 500*time.Millisecond+s.random(time.Second), func() {
			if process.incarnation != sentTo || process.down {
				retry(placement.ResultLost, id)
				return
			}
			s.served++
			r.conns[id] = sentTo
			r.pool.RecordResult(server, placement.Result{Kind: placement.ResultAnswered}, s.now)
		})
	})
}

func (s *sim) probe(r *simRouter) {
	s.onRouter(r, 200*time.Millisecond, func() { s.probe(r) })
	for _, server := range r.pool.ServersToProbe(s.now) {
		process := s.servers[server.ID]
		s.onRouter(r, s.random(20*time.Millisecond), func() {
			if process.down {
				r.pool.RecordConnectFailure(server, s.now)
				return
			}
			r.conns[server.ID] = process.incarnation
			r.pool.RecordConnectSuccess(server, s.now)
		})
	}
}

// restart ends a server and starts it again. Routers learn of the new incarnation from control within
// news after the start.
func (s *sim) restart(id string, downtime, news time.Duration) {
	process := s.servers[id]
	process.down = true
	s.after(downtime, func() {
		process.down, process.startedAt = false, s.now
		process.incarnation++
		incarnation := process.incarnation
		for _, r := range s.routers {
			s.onRouter(r, 300*time.Millisecond+s.random(news), func() {
				for i := range r.infos {
					if r.infos[i].ID == id {
						r.infos[i].Hash++
						r.infos[i].StartedMS = int64(incarnation)
						r.infos[i].AppearedAt, r.infos[i].HeardAt = s.now, s.now
					}
				}
				r.pool.SetServers(r.infos, s.now)
			})
		}
	})
}

// worst returns the highest number of requests in a second at a server that is warming up.
func (s *sim) worst() (worst int) {
	for _, process := range s.servers {
		first, _ := slices.BinarySearchFunc(process.arrivals, process.startedAt, time.Time.Compare)
		for last, at := range process.arrivals {
			if at.Before(process.startedAt) || at.After(process.startedAt.Add(simWarmup)) {
				continue
			}
			for at.Sub(process.arrivals[first]) > time.Second {
				first++
			}
			worst = max(worst, last-first+1)
		}
	}
	return worst
}

// warmupOfLessons is the warm-up of the simulated pool.
var warmupOfLessons = ratelimit.Warmup{PerSecond: 8.6, Duration: simWarmup, Overage: 1.5, Slack: 5}

// TestDomainThatComesBackGetsNoMoreThanItsTotal guards against routers that all send to the servers of a
// failure domain once they reach them again, seconds before control lists the new incarnations, and
// against single servers that restart unnoticed, while some routers freeze.
func TestDomainThatComesBackGetsNoMoreThanItsTotal(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(2) {
		s := newSim(seed, warmupOfLessons)
		s.runUntil(start.Add(5 * time.Second))
		for _, info := range serverInfos(simServers) {
			if info.Domain == "zone-0" {
				s.restart(info.ID, 3*time.Second+s.random(300*time.Millisecond), 2*time.Second)
			}
		}
		for range 10 {
			s.routers[s.rng.IntN(simRouters)].frozenUntil = s.now.Add(s.random(6 * time.Second))
		}
		s.runUntil(start.Add(14 * time.Second))
		servedBefore := s.served
		s.runUntil(start.Add(20 * time.Second))
		g.Expect(s.worst()).To(BeNumerically("<=", simTotal), "seed %d", seed)
		g.Expect(float64(s.served-servedBefore)).To(BeNumerically(">", 0.95*6*simPerSecond), "seed %d", seed)
		t.Logf("seed %d: at most %d requests in a second, %d served", seed, s.worst(), s.served)
	}
}

// TestServersThatRestartUnnoticedGetNoMoreThanTheirTotal guards against the requests of routers to which
// control has not yet told a restart, together with those of the others.
func TestServersThatRestartUnnoticedGetNoMoreThanTheirTotal(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(2) {
		s := newSim(seed, warmupOfLessons)
		s.runUntil(start.Add(4 * time.Second))
		for i, info := range serverInfos(48) {
			s.after(time.Duration(i)*100*time.Millisecond, func() { s.restart(info.ID, 100*time.Millisecond+s.random(300*time.Millisecond), time.Second) })
		}
		s.runUntil(start.Add(14 * time.Second))
		g.Expect(s.worst()).To(BeNumerically("<=", simTotal), "seed %d", seed)
		t.Logf("seed %d: at most %d requests in a second", seed, s.worst())
	}
}

// TestLostServerCountsAsWarmingUp guards against sends to a server that the router reaches again without
// proof that it is the same process, and against a server that never counts as warm again.
func TestLostServerCountsAsWarmingUp(t *testing.T) {
	g := NewWithT(t)
	newPool := func() (*placement.Pool, *placement.Server) {
		p := placement.NewPool(false)
		p.SetWarmup(warmupOfLessons, start)
		p.SetServers(serverInfos(1), start)
		s := p.Choose(placement.Request{}, start)
		g.Expect(s).NotTo(BeNil())
		p.RecordSend(s, start)
		p.RecordResult(s, placement.Result{Kind: placement.ResultLost}, start)
		return p, s
	}
	at := func(d time.Duration) time.Time { return start.Add(d) }

	p, s := newPool()
	g.Expect(p.Choose(placement.Request{}, at(5*time.Second))).To(BeNil(), "not reached yet")
	g.Expect(p.ServersToProbe(at(5*time.Second))).To(HaveLen(1), "a probe finds out")
	p.RecordConnectSuccess(s, at(6*time.Second))
	g.Expect(p.Choose(placement.Request{}, at(8900*time.Millisecond))).To(BeNil())
	g.Expect(p.Choose(placement.Request{}, at(9100*time.Millisecond))).NotTo(BeNil())

	p, _ = newPool()
	infos := serverInfos(1)
	infos[0].HeardAt = at(3 * time.Second)
	p.SetServers(infos, at(3*time.Second))
	g.Expect(p.Choose(placement.Request{}, at(6*time.Second))).NotTo(BeNil(), "control has heard the same incarnation since")
}

// TestReturnedDomainCountsAsWarmingUp guards against full load on the servers of a domain to which requests
// return.
func TestReturnedDomainCountsAsWarmingUp(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPool(false)
	p.SetWarmup(warmupOfLessons, start)
	p.SetServers(serverInfos(6), start)
	p.MarkDomainWarming("zone-1", start)
	warming, usedUp := p.WarmingUp(start)
	g.Expect([]int{warming, usedUp}).To(Equal([]int{2, 2}))
	g.Expect(p.TakeWarmupEvents()).To(HaveLen(2))
	s := p.Choose(placement.Request{}, start.Add(time.Second))
	g.Expect(s.Domain).NotTo(Equal("zone-1"))
	g.Expect(s.Choice.WarmingUp).To(Equal(2))
}

// TestLossesByTheRouterAreNoSignOfARestart guards against servers that count as restarted because they
// were slow: after attempt timeouts at two of them, all servers of their failure domain did.
func TestLossesByTheRouterAreNoSignOfARestart(t *testing.T) {
	g := NewWithT(t)
	for _, byRouter := range []bool{true, false} {
		p := placement.NewPool(false)
		p.SetWarmup(warmupOfLessons, start)
		infos := serverInfos(9)
		p.SetServers(infos, start)
		servers := map[string]*placement.Server{}
		for range infos {
			s := p.Choose(placement.Request{Domain: "zone-0"}, start)
			p.RecordSend(s, start)
			servers[s.ID] = s
		}
		lost := placement.Result{Kind: placement.ResultLost, ByRouter: byRouter}
		p.RecordResult(servers["i-00"], lost, start)
		p.RecordResult(servers["i-03"], lost, start.Add(500*time.Millisecond))
		p.RecordResult(servers["i-06"], placement.Result{Kind: placement.ResultAnswered}, start.Add(1500*time.Millisecond))
		p.AvailableAt(start.Add(1500 * time.Millisecond))
		for range 20 {
			p.Choose(placement.Request{Domain: "zone-0"}, start.Add(2*time.Second))
		}
		warming, _ := p.WarmingUp(start.Add(2 * time.Second))
		g.Expect(warming).To(Equal(map[bool]int{true: 0, false: 3}[byRouter]), "by the router: %t", byRouter)
	}
}

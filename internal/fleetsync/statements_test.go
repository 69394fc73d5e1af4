package fleetsync_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/registry"
)

// serverCounter records how many servers a router has received, and the statements on rate limits
// and the position.
type serverCounter struct {
	servers atomic.Int64

	mu      sync.Mutex
	entries []registry.Entry
	// loads returns the loads that the router reports; it may be nil.
	loads    func() map[uint64]fleetsync.ServerLoad
	unsent   map[uint64]ratelimit.Statement
	received map[uint64]ratelimit.Statement
	position ratelimit.Position
	// lowestCount is the lowest number of routers that the router has been told, or 0.
	lowestCount int
	// evacuated are the sets of evacuated domains that were put in force.
	evacuated [][]string
	// returned are the domains whose evacuation was withdrawn, in order.
	returned []string
}

func (c *serverCounter) SetServers(servers []registry.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.Store(int64(len(servers)))
	c.entries = servers
}

// entry returns the latest entry of a server, or an empty one.
func (c *serverCounter) entry(id string) (entry registry.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.ID == id {
			entry = e
		}
	}
	return entry
}

func (c *serverCounter) TakeLoadReports() map[uint64]fleetsync.ServerLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		return nil
	}
	return c.loads()
}

func (c *serverCounter) setLoads(loads func() map[uint64]fleetsync.ServerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads = loads
}
func (c *serverCounter) RecordPeerLoads(loads map[uint64]fleetsync.ServerLoad) {}
func (c *serverCounter) RecordPoolLoads(pools map[string]fleetsync.PoolLoad)   {}

// stateOf returns the state of a server, or 0 if the router does not have it.
func (c *serverCounter) stateOf(id string) registry.State {
	e := c.entry(id)
	return e.State
}

func (c *serverCounter) TakeRateStatements() map[uint64]ratelimit.Statement {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.unsent
	c.unsent = nil
	return out
}

func (c *serverCounter) RecordPeerRateStatements(statements map[uint64]ratelimit.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == nil {
		c.received = make(map[uint64]ratelimit.Statement)
	}
	maps.Copy(c.received, statements)
}

func (c *serverCounter) SetEvacuated(domains, returned []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = append(c.returned, returned...)
	c.evacuated = append(c.evacuated, domains)
}

// evacuations returns the evacuated domains that the router has had in force, in order.
func (c *serverCounter) evacuations() [][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.evacuated)
}

// returnedDomains returns the domains whose evacuation was withdrawn, in order.
func (c *serverCounter) returnedDomains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.returned)
}

func (c *serverCounter) SetPosition(position ratelimit.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position = position
	if c.lowestCount == 0 || position.Count < c.lowestCount {
		c.lowestCount = position.Count
	}
}

// answer makes the router report a statement that it received from a server.
func (c *serverCounter) answer(server uint64, statement ratelimit.Statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsent == nil {
		c.unsent = make(map[uint64]ratelimit.Statement)
	}
	c.unsent[server] = statement
}

// rateOf returns the rate that other routers reported last for a server, -1 if none did and 0 if
// the limit has ended.
func (c *serverCounter) rateOf(server uint64) func() float64 {
	return func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		statement, found := c.received[server]
		switch {
		case !found:
			return -1
		case !statement.Limited:
			return 0
		default:
			return statement.PerSecond
		}
	}
}

func (c *serverCounter) positionNow() ratelimit.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

func (c *serverCounter) lowestCountNow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowestCount
}

func limited(rate float64, at time.Time) ratelimit.Statement {
	return ratelimit.Statement{PerSecond: rate, Limited: true, StatedAt: at}
}

// startTwoReplicas starts two control replicas with table generation 1 and routers of one failure
// domain, of which most follow through relays, and returns when all have the table.
func startTwoReplicas(t *testing.T, count int) []*relayingRouter {
	g := NewWithT(t)
	addresses := []string{reserveAddress(t), reserveAddress(t)}
	for _, address := range addresses {
		replica := newFakeReplica(addresses...)
		replica.table = newTable(t, 1)
		serve(t, newTestService(t, replica, address), address)
	}
	var routers []*relayingRouter
	for i := range count {
		routers = append(routers, startRelayingRouter(t, fmt.Sprintf("router-%02d", i), "domain-a", addresses...))
	}
	relayed := 0
	for _, r := range routers {
		g.Eventually(generationOf(r.view), 10*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
		if r.view.Depth() > 1 {
			relayed++
		}
	}
	g.Expect(relayed).To(BeNumerically(">=", count/3), "routers that follow a relay")
	return routers
}

// deepest returns the router that is furthest from control.
func deepest(routers []*relayingRouter) *relayingRouter {
	out := routers[0]
	for _, r := range routers {
		if r.view.Depth() > out.view.Depth() {
			out = r
		}
	}
	return out
}

// TestRateLimitReachesAllRouters guards against routers that exceed a limit because they have not
// heard of it, or keep to one that has ended: those that send a server nothing learn it only
// from others.
func TestRateLimitReachesAllRouters(t *testing.T) {
	g := NewWithT(t)
	routers := startTwoReplicas(t, 30)
	teller := deepest(routers)
	expectAll := func(rate float64) {
		start := time.Now()
		for _, r := range routers {
			if r != teller {
				g.Eventually(r.fleet.rateOf(7), 2*time.Second, 5*time.Millisecond).Should(Equal(rate))
			}
		}
		t.Logf("rate %v reached all %d routers from depth %d within %v", rate, len(routers), teller.view.Depth(), time.Since(start))
	}
	teller.fleet.answer(7, limited(2.5, time.Now()))
	expectAll(2.5)
	time.Sleep(600 * time.Millisecond)
	teller.fleet.answer(7, limited(1.5, time.Now()))
	expectAll(1.5)
	teller.fleet.answer(7, ratelimit.Statement{StatedAt: time.Now()})
	expectAll(0)
	// A statement of before the end that arrives late changes nothing.
	late := routers[0]
	if late == teller {
		late = routers[1]
	}
	late.fleet.answer(7, limited(2.5, time.Now().Add(-3*time.Second)))
	time.Sleep(1500 * time.Millisecond)
	expectAll(0)
}

// TestNewRouterReceivesCurrentRateLimits guards against a router that has just started and sends a
// server what others have learned not to.
func TestNewRouterReceivesCurrentRateLimits(t *testing.T) {
	g := NewWithT(t)
	_, _, proxy, routers := startRelayedFleet(t, 12)
	routers[0].fleet.answer(7, limited(2.5, time.Now().Add(-4*time.Second)))
	routers[0].fleet.answer(8, limited(2.5, time.Now().Add(-11*time.Second)))
	g.Eventually(routers[1].fleet.rateOf(7), 2*time.Second, 5*time.Millisecond).Should(Equal(2.5))
	time.Sleep(2 * time.Second)
	late := startRelayingRouter(t, "router-late", "domain-a", proxy.address)
	g.Eventually(generationOf(late.view), 3*time.Second, time.Millisecond).Should(Equal(uint64(1)))
	g.Eventually(late.fleet.rateOf(7), 100*time.Millisecond, time.Millisecond).Should(Equal(2.5))
	g.Expect(late.fleet.rateOf(8)()).To(Equal(-1.0), "older than the age up to which statements are forwarded")
}

// TestRestartedRouterReceivesItsOwnStatements guards against a router that forgets with a restart
// what it had told the others.
func TestRestartedRouterReceivesItsOwnStatements(t *testing.T) {
	g := NewWithT(t)
	_, _, proxy, routers := startRelayedFleet(t, 2)
	routers[0].fleet.answer(7, limited(2.5, time.Now()))
	g.Eventually(routers[1].fleet.rateOf(7), 2*time.Second, 5*time.Millisecond).Should(Equal(2.5))
	routers[0].stop()
	restarted := startRelayingRouter(t, "router-0", "domain-a", proxy.address)
	g.Eventually(restarted.fleet.rateOf(7), 3*time.Second, 5*time.Millisecond).Should(Equal(2.5))
}

// TestRateLimitSurvivesLossOfSource guards against a statement that is lost with the router that
// received it and the replica to which it reported: the other followers have it.
func TestRateLimitSurvivesLossOfSource(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	replica := newFakeReplica(address)
	replica.table = newTable(t, 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	stopped := serveUntil(t, ctx, newTestService(t, replica, address), address)
	teller := startRelayingRouter(t, "router-1", "domain-a", address)
	witness := startRelayingRouter(t, "router-2", "domain-a", address)
	for _, r := range []*relayingRouter{teller, witness} {
		g.Eventually(generationOf(r.view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	}
	teller.fleet.answer(7, limited(2.5, time.Now()))
	g.Eventually(witness.fleet.rateOf(7), 2*time.Second, 5*time.Millisecond).Should(Equal(2.5))
	teller.stop()
	stop()
	<-stopped
	serve(t, newTestService(t, replica, address), address)
	other := startRelayingRouter(t, "router-3", "domain-a", address)
	g.Eventually(other.fleet.rateOf(7), 5*time.Second, 5*time.Millisecond).Should(Equal(2.5))
}

// TestRepeatedStatementsTakeFewBytes guards against a link that is filled by servers that repeat
// their limit in each answer.
func TestRepeatedStatementsTakeFewBytes(t *testing.T) {
	g := NewWithT(t)
	const seconds = 6
	cost := make(map[int]int64)
	for _, servers := range []int{0, 50, 200} {
		_, _, proxy, routers := startRelayedFleet(t, 3)
		teller := routers[2]
		answer := func() {
			for server := range uint64(servers) {
				teller.fleet.answer(server, limited(2.5, time.Now()))
			}
		}
		answer()
		if servers > 0 {
			g.Eventually(routers[1].fleet.rateOf(0), 2*time.Second, 5*time.Millisecond).Should(Equal(2.5))
		}
		time.Sleep(time.Second)
		before := proxy.bytes.Load()
		for range 10 * seconds {
			answer()
			time.Sleep(100 * time.Millisecond)
		}
		cost[servers] = (proxy.bytes.Load() - before) / seconds
		t.Logf("%d limited servers: %d bytes/s from control to the two other routers", servers, cost[servers])
	}
	g.Expect(cost[200]-cost[0]).To(BeNumerically("<", 2*200*14/2), "bytes/s: each statement at most each 2 s")
}

// TestPositionsAreUniqueThroughRelays guards against two routers that take the same share of a rate.
func TestPositionsAreUniqueThroughRelays(t *testing.T) {
	g := NewWithT(t)
	routers := startTwoReplicas(t, 30)
	indices := func(routers []*relayingRouter) func() map[int]int {
		return func() map[int]int {
			out := make(map[int]int)
			for _, r := range routers {
				position := r.fleet.positionNow()
				if position.Count == len(routers) && position.Index < len(routers) {
					out[position.Index]++
				}
			}
			return out
		}
	}
	start := time.Now()
	g.Eventually(indices(routers), 10*time.Second, 20*time.Millisecond).Should(HaveLen(30))
	t.Logf("positions of 30 routers settled within %v", time.Since(start))
	routers[29].stop()
	start = time.Now()
	g.Eventually(indices(routers[:29]), 10*time.Second, 20*time.Millisecond).Should(HaveLen(29))
	t.Logf("positions settled within %v after the loss of one router", time.Since(start))
}

// TestRouterKeepsPositionWithoutSource guards against a router that takes the whole rate for its
// own once it has lost control.
func TestRouterKeepsPositionWithoutSource(t *testing.T) {
	g := NewWithT(t)
	_, _, proxy, routers := startRelayedFleet(t, 3)
	counts := func() (out []int) {
		for _, r := range routers {
			out = append(out, r.fleet.positionNow().Count)
		}
		return out
	}
	g.Eventually(counts, 5*time.Second, 20*time.Millisecond).Should(Equal([]int{3, 3, 3}))
	proxy.cut()
	proxy.closeConnections()
	g.Consistently(counts, 3*time.Second, 50*time.Millisecond).Should(Equal([]int{3, 3, 3}))
}

// TestStartedReplicaCountsAllRouters guards against a replica that has just started and tells its
// first router that it is the only one: the router would take the whole rate for its own.
func TestStartedReplicaCountsAllRouters(t *testing.T) {
	g := NewWithT(t)
	addresses := []string{reserveAddress(t), reserveAddress(t)}
	start := func(address string) {
		replica := newFakeReplica(addresses...)
		replica.table = newTable(t, 1)
		serve(t, newTestService(t, replica, address), address)
	}
	start(addresses[0])
	var routers []*relayingRouter
	for i := range 3 {
		routers = append(routers, startRelayingRouter(t, fmt.Sprintf("router-%d", i), "domain-a", addresses[0]))
	}
	for _, r := range routers {
		g.Eventually(func() int { return r.fleet.positionNow().Count }, 10*time.Second, 20*time.Millisecond).Should(Equal(3))
	}
	start(addresses[1])
	last := startRelayingRouter(t, "router-last", "domain-a", addresses[1])
	g.Eventually(last.fleet.lowestCountNow, 5*time.Second, 5*time.Millisecond).Should(Equal(4))
	g.Consistently(last.fleet.lowestCountNow, 3*time.Second, 50*time.Millisecond).Should(Equal(4))
}

// TestContinuedReplicaCountsAllRouters guards against a replica whose process was stopped, and that
// takes those whose reports have become too old for gone.
func TestContinuedReplicaCountsAllRouters(t *testing.T) {
	g := NewWithT(t)
	service := newTestService(t, newFakeReplica(), "127.0.0.1:1")
	now := time.Now()
	g.Expect(service.KnowsRouters(now)).To(BeFalse(), "the process has just started")
	now = now.Add(time.Second)
	g.Expect(service.KnowsRouters(now)).To(BeTrue())
	now = now.Add(3 * time.Second)
	g.Expect(service.KnowsRouters(now)).To(BeFalse(), "the process was stopped")
	now = now.Add(time.Second)
	g.Expect(service.KnowsRouters(now)).To(BeTrue())
}

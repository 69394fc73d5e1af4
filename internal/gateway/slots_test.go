package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/routetable"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/slotrpc"
	"peridotwinch.example/peridotwinch/internal/slotshare"
)

// sharedRouter is a gateway that shares slots.
type sharedRouter struct {
	url, address string
	node         *slotrpc.Node
	gateway      *gateway.Gateway
}

// startSharedRouter starts a router whose servers have two slots each.
func startSharedRouter(t *testing.T, instance string, table *routetable.Table, servers ...*testServer) *sharedRouter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &sharedRouter{address: listener.Addr().String()}
	// On a busy machine, answers take longer than the 40 ms of the product.
	r.node = slotrpc.New(slotrpc.Config{Instance: instance, FailureDomain: "zone", Address: r.address, AnswerLimit: time.Second}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	rpcServer := rpc.NewServer()
	NewWithT(t).Expect(r.node.Register(rpcServer.Mux())).To(Succeed())
	go func() { _ = rpcServer.Serve(ctx, listener) }()
	go func() { _ = r.node.Run(ctx) }()
	g := gateway.New("zone", testDialect{}, 0, quarantine.NewStore(instance, zerolog.Nop()), zerolog.Nop())
	g.SetTableSource(staticTable{table})
	g.SetSlots(r.node, 0)
	r.gateway = g
	entries := entriesOf(servers)
	for i := range entries {
		entries[i].Slots = 2
	}
	g.SetServers(entries)
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	r.url = server.URL
	return r
}

// use makes the router use a coordinator.
func (r *sharedRouter) use(t *testing.T, address string) {
	t.Helper()
	r.node.SetCoordinator(address)
	NewWithT(t).Eventually(func() slotshare.Verdict {
		ask := slotshare.Ask{OnTime: time.Now().Add(time.Second), Deadline: time.Now().Add(2 * time.Second)}
		result := r.node.Acquire(context.Background(), "p", ask, time.Second)
		result.Slot.Release(slotshare.OutcomeUnknown)
		return result.Verdict
	}, "10s", "20ms").Should(Equal(slotshare.VerdictGranted))
}

// countingServer answers after some time, and counts the requests at the same time.
type countingServer struct {
	mu           sync.Mutex
	running, max int
}

func (c *countingServer) handle(_ int, conn net.Conn, r *http.Request) bool {
	c.mu.Lock()
	c.running++
	c.max = max(c.max, c.running)
	c.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	return answerOK(0, conn, r)
}

// sendAll sends requests through the routers at once, and returns the statuses.
func sendAll(t *testing.T, routers []*sharedRouter, count int) map[int]int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i := range count {
		wait.Go(func() {
			got := send(t, routers[i%len(routers)].url, "/unsafe/x", "Id", fmt.Sprint(i))
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
		})
	}
	wait.Wait()
	return statuses
}

// TestRoutersShareTheSlotsOfASmallPool guards against routers that send to a server without a free
// slot while another has one, and against requests that are sent twice.
func TestRoutersShareTheSlotsOfASmallPool(t *testing.T) {
	g := NewWithT(t)
	first, second := &countingServer{}, &countingServer{}
	a, b := startTestServer(t, "a", first.handle), startTestServer(t, "b", second.handle)
	var routers []*sharedRouter
	for i := range 4 {
		routers = append(routers, startSharedRouter(t, fmt.Sprint("r", i), newTable(t), a, b))
		routers[i].use(t, routers[0].address)
	}
	g.Expect(sendAll(t, routers, 40)).To(Equal(map[int]int{200: 40}))
	g.Expect(a.requestCount() + b.requestCount()).To(Equal(40))
	g.Expect(first.max).To(BeNumerically("<=", 3), "two slots and one request beyond them")
	g.Expect(second.max).To(BeNumerically("<=", 3))
}

// TestRouterWithoutCoordinatorDecidesAlone guards against requests that are refused or sent twice
// because the coordinator has ended or was never named.
func TestRouterWithoutCoordinatorDecidesAlone(t *testing.T) {
	g := NewWithT(t)
	a, b := startTestServer(t, "a", answerOK), startTestServer(t, "b", answerOK)
	alone := startSharedRouter(t, "r1", newTable(t), a, b)
	g.Expect(sendAll(t, []*sharedRouter{alone}, 10)).To(Equal(map[int]int{200: 10}))
	alone.node.SetCoordinator("127.0.0.1:1")
	g.Expect(sendAll(t, []*sharedRouter{alone}, 10)).To(Equal(map[int]int{200: 10}))
	g.Expect(a.requestCount() + b.requestCount()).To(Equal(20))
}

// TestRouterDoesNotUseAServerThatItCannotReach guards against a grant that outweighs what the
// router itself knows of the server.
func TestRouterDoesNotUseAServerThatItCannotReach(t *testing.T) {
	g := NewWithT(t)
	a, b := startTestServer(t, "a", answerOK), startTestServer(t, "b", answerOK)
	r := startSharedRouter(t, "r1", newTable(t), a, b)
	r.use(t, r.address)
	a.end()
	for range 20 {
		g.Expect(send(t, r.url, "/safe/x").status).To(Equal(200))
	}
	g.Expect(b.requestCount()).To(Equal(20))
}

// TestHopelessRequestIsRefusedAsNotRun guards against a request that waits for a slot that cannot
// become free before its deadline, and against a refusal that leaves open whether it ran.
func TestHopelessRequestIsRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	slow := func(_ int, conn net.Conn, r *http.Request) bool {
		time.Sleep(800 * time.Millisecond)
		return answerOK(0, conn, r)
	}
	a := startTestServer(t, "a", slow)
	r := startSharedRouter(t, "r1", newTable(t), a)
	r.use(t, r.address)
	g.Expect(send(t, r.url, "/unsafe/x").status).To(Equal(200), "the coordinator learns the service time")
	statuses := sendAll(t, []*sharedRouter{r}, 12)
	g.Expect(statuses[503]).To(BeNumerically(">", 0))
	g.Expect(statuses[200] + statuses[503]).To(Equal(12))
	g.Expect(a.requestCount()).To(Equal(1 + statuses[200]))
}

// TestShortObjectivesShareNoSlots guards against requests that wait for a coordinator although the way
// to it takes much of their objective.
func TestShortObjectivesShareNoSlots(t *testing.T) {
	g := NewWithT(t)
	for _, minObjective := range []time.Duration{200 * time.Millisecond, 201 * time.Millisecond} {
		a, release := make(chan struct{}), make(chan struct{})
		server := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
			a <- struct{}{}
			<-release
			return answerOK(0, conn, r)
		})
		r := startSharedRouter(t, "r1", newTable(t), server)
		r.gateway.SetSlots(r.node, minObjective)
		r.use(t, r.address)
		done := make(chan answer, 3)
		// Two slots are taken; the coordinator grants one request more.
		for range 3 {
			go func() { done <- send(t, r.url, "/unsafe/x") }()
		}
		<-a
		<-a
		select {
		case <-a:
			g.Expect(minObjective).To(Equal(200*time.Millisecond), "granted by the coordinator")
		case refused := <-done:
			g.Expect(minObjective).To(BeNumerically(">", 200*time.Millisecond), "%+v", refused)
			g.Expect(refused.status).To(Equal(503))
		}
		close(release)
	}
}

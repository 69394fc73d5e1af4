package fleetsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/fleetview"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// testTable is the declared form of a route table in these tests.
type testTable struct {
	Generation uint64
	Routes     []testRoute
}

type testRoute struct {
	Name, Host, Prefix string
	LimitMS            int
}

func decodeTestTable(source []byte) (*routetable.Table, error) {
	declared := &testTable{}
	if err := json.Unmarshal(source, declared); err != nil {
		return nil, err
	}
	table := &routetable.Table{Generation: declared.Generation, Pools: []routetable.Pool{{Name: "pool-a"}}}
	for _, r := range declared.Routes {
		table.Routes = append(table.Routes, routetable.Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: routetable.KindSafe,
			Timeout: time.Duration(r.LimitMS) * time.Millisecond, Targets: []routetable.Target{{Pool: "pool-a", Weight: 1}},
		})
	}
	return table, table.Validate()
}

// newTable returns a table of 250 routes; the timeout of one route depends on the generation.
func newTable(t *testing.T, generation uint64) *routetable.Document {
	g := NewWithT(t)
	declared := testTable{Generation: generation}
	for i := range 250 {
		route := testRoute{Name: fmt.Sprintf("route-%08x", i*7919), Host: fmt.Sprintf("h%d.example", i%7), Prefix: fmt.Sprintf("/p%06x/", i*104729), LimitMS: 1000}
		if i == 100 {
			route.LimitMS += int(generation)
		}
		declared.Routes = append(declared.Routes, route)
	}
	source, err := json.Marshal(declared)
	g.Expect(err).NotTo(HaveOccurred())
	document, err := routetable.NewDocument(generation, source)
	g.Expect(err).NotTo(HaveOccurred())
	return document
}

// startRouter runs a router's fleet view that subscribes to the control replicas until the
// test ends.
func startRouter(t *testing.T, name string, seeds ...string) (*fleetview.View, *serverCounter) {
	fleet := &serverCounter{}
	view := fleetview.New(fleetview.Config{Instance: name, FailureDomain: "domain-a", Seeds: seeds, Decode: decodeTestTable, Fleet: fleet, Losses: newTestLosses()}, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = view.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return view, fleet
}

func generationOf(view *fleetview.View) func() uint64 {
	return func() uint64 {
		if table := view.Table(); table != nil {
			return table.Generation
		}
		return 0
	}
}

// countingProxy forwards connections to one address and counts the connections and the bytes
// that the server sends.
type countingProxy struct {
	address string
	bytes   atomic.Int64
	// sent is the number of bytes that the clients sent.
	sent  atomic.Int64
	conns atomic.Int64

	listener net.Listener
	mu       sync.Mutex
	clients  []net.Conn
}

// cut makes new connections fail.
func (p *countingProxy) cut() { _ = p.listener.Close() }

// closeConnections closes all connections.
func (p *countingProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		_ = client.Close()
	}
}

func newCountingProxy(t *testing.T, to string) *countingProxy {
	return newCountingProxyAt(t, "127.0.0.1:0", to)
}

// newCountingProxyAt starts a proxy at an address, which may be that of one that was cut.
func newCountingProxyAt(t *testing.T, address, to string) *countingProxy {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	proxy := &countingProxy{address: listener.Addr().String(), listener: listener}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			proxy.conns.Add(1)
			proxy.mu.Lock()
			proxy.clients = append(proxy.clients, client)
			proxy.mu.Unlock()
			go proxy.relay(client, to)
		}
	}()
	return proxy
}

func (p *countingProxy) relay(client net.Conn, to string) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := server.Read(buffer)
			p.bytes.Add(int64(n))
			if _, writeErr := client.Write(buffer[:n]); err != nil || writeErr != nil {
				_ = client.Close()
				return
			}
		}
	}()
	buffer := make([]byte, 4096)
	for {
		n, err := client.Read(buffer)
		p.sent.Add(int64(n))
		if _, writeErr := server.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// startReplica starts a replica with table generation 1 behind a countingProxy.
func startReplica(t *testing.T) (*fakeReplica, *fleetsync.Service, *countingProxy) {
	address := reserveAddress(t)
	proxy := newCountingProxy(t, address)
	replica := newFakeReplica(address)
	replica.table = newTable(t, 1)
	service := newTestService(t, &readdressedReplica{replica, []string{proxy.address}}, address)
	serve(t, service, address)
	return replica, service, proxy
}

// TestRouteChangeIsSentAsSmallDelta guards against an overloaded link after a change of one
// route: with 45 routers behind a 3 Mbit/s link, the largest known deployment, a full table of
// 5 KB to each router delayed the leader's heartbeats by 0.6 s.
func TestRouteChangeIsSentAsSmallDelta(t *testing.T) {
	g := NewWithT(t)
	replica, _, proxy := startReplica(t)
	view, _ := startRouter(t, "router-1", proxy.address)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	before := proxy.bytes.Load()
	for generation := uint64(2); generation < 6; generation++ {
		replica.setTable(newTable(t, generation))
		g.Eventually(generationOf(view), time.Second, time.Millisecond).Should(Equal(generation))
	}
	g.Expect(proxy.bytes.Load()-before).To(BeNumerically("<", 4*500), "bytes of four changes")
	g.Expect(view.Table().Routes[100].Timeout).To(Equal(1005 * time.Millisecond))
}

// readdressedReplica reports other replica addresses than the wrapped fakeReplica, such as
// those of proxies.
type readdressedReplica struct {
	*fakeReplica
	addresses []string
}

func (r *readdressedReplica) Controls() []string { return r.addresses }

// TestReconnectingRouterReceivesOnlyMissingRecords guards against an overloaded link after an
// election, when 80 routers reconnect at once and the registry of 140 servers takes 13 KB.
func TestReconnectingRouterReceivesOnlyMissingRecords(t *testing.T) {
	g := NewWithT(t)
	_, service, proxy := startReplica(t)
	for i := range 140 {
		service.Announce(context.Background(), testServer(i))
	}
	view, fleet := startRouter(t, "router-1", proxy.address)
	g.Eventually(fleet.servers.Load, 3*time.Second, 5*time.Millisecond).Should(Equal(int64(140)))
	first := proxy.bytes.Load()
	conns := proxy.conns.Load()
	proxy.closeConnections()
	service.Announce(context.Background(), testServer(140))
	before := proxy.bytes.Load()
	g.Eventually(fleet.servers.Load, 3*time.Second, 5*time.Millisecond).Should(Equal(int64(141)))
	g.Expect(proxy.conns.Load()).To(BeNumerically(">", conns), "the router reconnected")
	g.Expect(proxy.bytes.Load()-before).To(BeNumerically("<", 2000), "the first subscription took %d bytes", first)
	g.Expect(generationOf(view)()).To(Equal(uint64(1)))
}

// TestShortElectionKeepsStreamsOpen guards against routers that reconnect during a short
// election: a stream must survive 0.4 s without a leader.
func TestShortElectionKeepsStreamsOpen(t *testing.T) {
	g := NewWithT(t)
	replica, _, proxy := startReplica(t)
	view, _ := startRouter(t, "router-1", proxy.address)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	conns := proxy.conns.Load()
	replica.setQuorum(false)
	time.Sleep(400 * time.Millisecond)
	replica.setQuorum(true)
	replica.setTable(newTable(t, 2))
	g.Eventually(generationOf(view), time.Second, 5*time.Millisecond).Should(Equal(uint64(2)))
	g.Expect(proxy.conns.Load()).To(Equal(conns))
}

// TestServerChangesAreStreamedWithoutQuorum guards against routers that miss server changes
// while their replica has no leader for four seconds. Replicas share without a leader that a
// server leaves, and routers must receive it.
func TestServerChangesAreStreamedWithoutQuorum(t *testing.T) {
	g := NewWithT(t)
	replica, service, proxy := startReplica(t)
	view, fleet := startRouter(t, "router-1", proxy.address)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	conns := proxy.conns.Load()
	replica.setQuorum(false)
	for i := range 4 {
		time.Sleep(time.Second)
		service.Announce(context.Background(), testServer(i))
		g.Eventually(fleet.servers.Load, 900*time.Millisecond, 5*time.Millisecond).Should(Equal(int64(i+1)), "before the next announcement")
	}
	g.Expect(proxy.conns.Load()).To(Equal(conns))
}

// TestRouterLeavesReplicaWithoutQuorum guards against a router that stays at its preferred
// replica while a partition separates that replica from the others, which have a leader and a
// newer table.
func TestRouterLeavesReplicaWithoutQuorum(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newCountingProxy(t, one), newCountingProxy(t, two)
	addresses := []string{first.address, second.address}
	replicas := []*fakeReplica{newFakeReplica(one), newFakeReplica(two)}
	replicas[0].table, replicas[1].table = newTable(t, 1), newTable(t, 1)
	serve(t, newTestService(t, &readdressedReplica{replicas[0], addresses}, one), one)
	serve(t, newTestService(t, &readdressedReplica{replicas[1], addresses}, two), two)
	preferred := 0
	if fleetview.PreferredReplica("router-1", addresses) == second.address {
		preferred = 1
	}
	view, _ := startRouter(t, "router-1", addresses...)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	replicas[preferred].setQuorum(false)
	replicas[1-preferred].setTable(newTable(t, 2))
	g.Eventually(generationOf(view), 1500*time.Millisecond, 5*time.Millisecond).Should(Equal(uint64(2)))
}

// TestRouterFindsSuccessorsOfItsReplicas guards against a router that stays on one replica while all
// others are replaced, and then knows no replica any more.
func TestRouterFindsSuccessorsOfItsReplicas(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newFakeReplica(one), newFakeReplica(two)
	first.table, second.table = newTable(t, 1), newTable(t, 2)
	serve(t, newTestService(t, first, one), one)
	serve(t, newTestService(t, second, two), two)
	view, _ := startRouter(t, "router-1", one)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	first.setReplicas(one, two)
	time.Sleep(500 * time.Millisecond)
	first.setQuorum(false)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(2)))
}

// TestRouterReturnsToPreferredReplica guards against routers that stay at another replica and
// share its link permanently. The router starts while only one of two replicas listens.
func TestRouterReturnsToPreferredReplica(t *testing.T) {
	g := NewWithT(t)
	one, two := reserveAddress(t), reserveAddress(t)
	first, second := newCountingProxy(t, one), newCountingProxy(t, two)
	addresses := []string{first.address, second.address}
	replicas := []*fakeReplica{newFakeReplica(one, two), newFakeReplica(one, two)}
	replicas[0].table, replicas[1].table = newTable(t, 1), newTable(t, 1)
	serve(t, newTestService(t, &readdressedReplica{replicas[0], addresses}, one), one)
	name := ""
	for i := 0; ; i++ {
		name = fmt.Sprintf("router-%d", i)
		if fleetview.PreferredReplica(name, addresses) == second.address {
			break
		}
	}
	view, _ := startRouter(t, name, addresses...)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	serve(t, newTestService(t, &readdressedReplica{replicas[1], addresses}, two), two)
	replicas[1].setTable(newTable(t, 2))
	g.Eventually(generationOf(view), 9*time.Second, 20*time.Millisecond).Should(Equal(uint64(2)), "only the preferred replica has generation 2")
}

// TestLargeTableDoesNotDelayServersOrHeartbeats guards against server changes and heartbeats
// that queue behind a rate-limited table. On this link a table takes two seconds; the router
// must still receive in time that a server leaves.
func TestLargeTableDoesNotDelayServersOrHeartbeats(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	proxy := newCountingProxy(t, address)
	replica := newFakeReplica(address)
	replica.table = newTable(t, 1)
	// Beyond the burst of 24 KB a byte takes 0.2 ms on this link.
	service := fleetsync.NewService(address, &readdressedReplica{replica, []string{proxy.address}}, newTestLosses(), newTestDepartures(t), controlLimits, 0.053, zerolog.Nop())
	serve(t, service, address)
	view, fleet := startRouter(t, "router-1", proxy.address)
	g.Eventually(generationOf(view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	conns := proxy.conns.Load()
	replica.setTable(randomTable(t, 2, 29<<10))
	replica.setTable(randomTable(t, 3, 34<<10))
	time.Sleep(100 * time.Millisecond)
	service.Announce(context.Background(), testServer(1))
	// The third table is granted about 4 s after the second. The timeouts allow for the CPU time
	// of the tables, up to a second under the race detector while other tests run; this test
	// does not check that time.
	g.Eventually(fleet.servers.Load, 30*time.Second, time.Millisecond).Should(Equal(int64(1)))
	g.Expect(generationOf(view)()).To(BeNumerically("<", 3), "the server arrives before the queued table")
	g.Eventually(generationOf(view), 30*time.Second, 10*time.Millisecond).Should(Equal(uint64(3)))
	g.Expect(proxy.conns.Load()).To(Equal(conns), "the router stays connected")
}

// randomTable returns a table of random prefixes that takes about the given number of bytes
// compressed.
func randomTable(t *testing.T, generation uint64, bytes int) *routetable.Document {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(generation, 1))
	declared := testTable{Generation: generation}
	for i := range bytes / 17 {
		declared.Routes = append(declared.Routes, testRoute{
			Name: fmt.Sprintf("route-%d", i), Host: "h.example", Prefix: fmt.Sprintf("/p%016x%016x/", random.Uint64(), random.Uint64()), LimitMS: 1000,
		})
	}
	source, err := json.Marshal(declared)
	g.Expect(err).NotTo(HaveOccurred())
	document, err := routetable.NewDocument(generation, source)
	g.Expect(err).NotTo(HaveOccurred())
	return document
}

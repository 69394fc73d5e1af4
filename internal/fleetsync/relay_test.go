package fleetsync_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/fleetview"
	"peridotwinch.example/peridotwinch/internal/quarantine"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/relay"
	"peridotwinch.example/peridotwinch/internal/rpc"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// relayingRouter is a router that others can follow. Its connections can be frozen.
type relayingRouter struct {
	view    *fleetview.View
	fleet   *serverCounter
	losses  *quarantine.Store
	address string
	gate    *gate
	stop    func()
}

// gate stops the connections of a listener from reading and writing while it is closed, as
// a frozen process does: the kernel still accepts connections.
type gate struct {
	net.Listener
	mu     sync.Mutex
	cond   *sync.Cond
	closed bool
}

func newGate(listener net.Listener) *gate {
	g := &gate{Listener: listener}
	g.cond = sync.NewCond(&g.mu)
	return g
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	g.cond.Broadcast()
}

func (g *gate) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.closed {
		g.cond.Wait()
	}
}

func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	g.wait()
	return &gatedConn{conn, g}, err
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(p)
}

// startRelayingRouter runs a router at a reserved address until the test or its stop ends it.
func startRelayingRouter(t *testing.T, name, domain string, seeds ...string) *relayingRouter {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	r := &relayingRouter{fleet: &serverCounter{}, losses: newTestLosses(), address: listener.Addr().String(), gate: newGate(listener)}
	r.view = fleetview.New(fleetview.Config{
		Instance: name, FailureDomain: domain, Address: r.address, Seeds: seeds, MaxFollowers: 16, Decode: decodeTestTable, Fleet: r.fleet, Losses: r.losses,
	}, zerolog.Nop())
	server := rpc.NewServer()
	g.Expect(r.view.Register(server.Mux())).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, r.gate) })
	running.Go(func() { _ = r.view.Run(ctx) })
	running.Go(func() { _ = r.view.ReportLoads(ctx) })
	running.Go(func() { _ = r.view.ReportLosses(ctx) })
	r.stop = sync.OnceFunc(func() {
		r.gate.setClosed(false)
		cancel()
		running.Wait()
	})
	t.Cleanup(r.stop)
	return r
}

// startRelayedFleet starts a control replica and routers of one failure domain that have its
// first table.
func startRelayedFleet(t *testing.T, count int) (*fakeReplica, *fleetsync.Service, *countingProxy, []*relayingRouter) {
	g := NewWithT(t)
	replica, service, proxy := startReplica(t)
	var routers []*relayingRouter
	for i := range count {
		routers = append(routers, startRelayingRouter(t, fmt.Sprintf("router-%d", i), "domain-a", proxy.address))
	}
	for _, r := range routers {
		g.Eventually(generationOf(r.view), 10*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	}
	return replica, service, proxy, routers
}

// TestManyRoutersFollowThroughRelays guards against a control replica that streams to all
// routers itself: with 59 routers, 1,000 new routes took longer than the election timeout on
// its link.
func TestManyRoutersFollowThroughRelays(t *testing.T) {
	g := NewWithT(t)
	replica, service, proxy, routers := startRelayedFleet(t, 40)
	g.Expect(service.Subscribers()).To(BeNumerically("<=", 12), "subscriptions at control")
	before := proxy.bytes.Load()
	replica.setTable(randomTable(t, 2, 18<<10))
	for _, r := range routers {
		g.Eventually(generationOf(r.view), 2*time.Second, 5*time.Millisecond).Should(Equal(uint64(2)))
	}
	g.Expect(proxy.bytes.Load()-before).To(BeNumerically("<", 13*20<<10), "bytes from control for a change of 18 KB")
	service.Announce(context.Background(), testServer(1))
	for _, r := range routers {
		g.Eventually(r.fleet.servers.Load, time.Second, 5*time.Millisecond).Should(Equal(int64(1)))
	}
	for _, r := range routers {
		g.Expect(r.view.Depth()).To(BeNumerically("<=", 3))
	}
}

// TestControlKnowsAllRouters guards against a status that shows only the routers that control
// streams to itself.
func TestControlKnowsAllRouters(t *testing.T) {
	g := NewWithT(t)
	replica, service, _, _ := startRelayedFleet(t, 24)
	subtree := func() relay.Subtree { return service.Subtree(relay.Applied{}, time.Now()) }
	routers := func() int { return subtree().Routers }
	lowest := func() uint64 { return subtree().Lowest.Generation }
	g.Eventually(routers, 5*time.Second, 20*time.Millisecond).Should(Equal(24))
	g.Expect(subtree().Lowest.Path).NotTo(BeEmpty())
	replica.setTable(newTable(t, 2))
	g.Eventually(lowest, 5*time.Second, 20*time.Millisecond).Should(Equal(uint64(2)))
}

// TestDeltasPassThroughRelays guards against relays that send the whole table for a change of
// one route.
func TestDeltasPassThroughRelays(t *testing.T) {
	g := NewWithT(t)
	replica, _, _, routers := startRelayedFleet(t, 1)
	proxy := newCountingProxy(t, routers[0].address)
	follower := startRelayingRouter(t, "follower", "domain-a", proxy.address)
	g.Eventually(generationOf(follower.view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	before := proxy.bytes.Load()
	for generation := uint64(2); generation < 6; generation++ {
		replica.setTable(newTable(t, generation))
		g.Eventually(generationOf(follower.view), time.Second, time.Millisecond).Should(Equal(generation))
	}
	g.Expect(proxy.bytes.Load()-before).To(BeNumerically("<", 4*500), "bytes of four changes")
}

// TestFollowersOfFrozenRelayReceiveChanges guards against routers that wait for a relay that
// is frozen but whose connections stay open: a change has to be in force within 2.5 s.
func TestFollowersOfFrozenRelayReceiveChanges(t *testing.T) {
	g := NewWithT(t)
	replica, _, _, routers := startRelayedFleet(t, 16)
	frozen := map[*relayingRouter]bool{}
	for _, r := range routers {
		if r.view.Followers() > 0 && len(frozen) < 2 {
			r.gate.setClosed(true)
			frozen[r] = true
		}
	}
	g.Expect(frozen).NotTo(BeEmpty())
	replica.setTable(newTable(t, 2))
	start := time.Now()
	for _, r := range routers {
		if !frozen[r] {
			g.Eventually(generationOf(r.view), 2500*time.Millisecond-time.Since(start), 5*time.Millisecond).Should(Equal(uint64(2)))
		}
	}
}

// TestFollowersOfStoppedRelaysRecover guards against routers that are left without a source
// when all relays stop.
func TestFollowersOfStoppedRelaysRecover(t *testing.T) {
	g := NewWithT(t)
	replica, service, _, routers := startRelayedFleet(t, 24)
	var rest []*relayingRouter
	for _, r := range routers {
		if r.view.Followers() > 0 {
			r.stop()
			continue
		}
		rest = append(rest, r)
	}
	replica.setTable(newTable(t, 2))
	for _, r := range rest {
		g.Eventually(generationOf(r.view), 2500*time.Millisecond, 5*time.Millisecond).Should(Equal(uint64(2)))
	}
	g.Expect(service.Subscribers()).To(BeNumerically("<=", 12), "subscriptions at control")
}

// TestNewRouterServesOnlyConfirmedTable guards against a new incarnation that serves the table
// of a relay whose way to control is cut: it may be older than one that was in force.
func TestNewRouterServesOnlyConfirmedTable(t *testing.T) {
	g := NewWithT(t)
	replica, _, control := startReplica(t)
	relaying := startRelayingRouter(t, "router-1", "domain-a", control.address)
	g.Eventually(generationOf(relaying.view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	control.closeConnections()
	control.cut()
	replica.setTable(newTable(t, 2))
	restarted := startRelayingRouter(t, "router-2", "domain-a", relaying.address)
	g.Consistently(generationOf(restarted.view), 3*time.Second, 20*time.Millisecond).Should(BeZero())
}

// TestRelayConfirmsWithControl guards against a relay that serves its own table while a newer
// one is on the way: it has to ask control at each new subscription.
func TestRelayConfirmsWithControl(t *testing.T) {
	g := NewWithT(t)
	replica, _, _, routers := startRelayedFleet(t, 1)
	replica.setBarrier(errBarrier)
	restarted := startRelayingRouter(t, "router-2", "domain-a", routers[0].address)
	g.Consistently(generationOf(restarted.view), time.Second, 20*time.Millisecond).Should(BeZero())
	replica.setBarrier(nil)
	g.Eventually(generationOf(restarted.view), 5*time.Second, 20*time.Millisecond).Should(Equal(uint64(1)))
}

// TestRelaysDoNotFormLoop guards against two routers that follow each other after both have
// lost control, and would take each other's heartbeats for a sign of a living source.
func TestRelaysDoNotFormLoop(t *testing.T) {
	g := NewWithT(t)
	_, _, control := startReplica(t)
	first := startRelayingRouter(t, "router-1", "domain-a", control.address)
	g.Eventually(generationOf(first.view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	second := startRelayingRouter(t, "router-2", "domain-a", first.address)
	g.Eventually(generationOf(second.view), 3*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	err := follow(t, second.address, &fleetpb.FollowRequest{Instance: "router-1", FailureDomain: "domain-a", Address: first.address})
	g.Expect(err).To(MatchError(ContainSubstring("REFUSAL_PATH")))
}

// TestServerThatRelayDropsLeavesFollowers guards against a server that a relay has dropped,
// because its new source does not have it, and that its followers keep for good.
func TestServerThatRelayDropsLeavesFollowers(t *testing.T) {
	g := NewWithT(t)
	entry := registry.Entry{Server: testServer(1), LastAnnounced: time.Now()}
	servers := func() []registry.Entry { return []registry.Entry{entry} }
	relayed := fleetsync.NewRelay("127.0.0.1:1", newFakeReplica(), servers, newTestLosses(), 16, 0, zerolog.Nop())
	relayed.UpdateServers([]registry.Entry{entry}, nil, time.Now())
	g.Expect(relayed.StateOf(entry.ID)).To(BeZero(), "no follower yet")
	relayed.Admit("router-1")
	g.Expect(relayed.StateOf(entry.ID)).To(Equal(registry.StateReady))
	relayed.UpdateServers(nil, []registry.Entry{entry}, time.Now())
	g.Expect(relayed.StateOf(entry.ID)).To(Equal(registry.StateGone))
	g.Expect(relayed.SequenceOf(entry.ID)).To(BeZero(), "a record with the same sequence number is newer")
	entry.Sequence++
	relayed.UpdateServers([]registry.Entry{entry}, nil, time.Now())
	g.Expect(relayed.StateOf(entry.ID)).To(Equal(registry.StateReady), "the server announced itself again")
}

// follow opens a stream and returns the error with which it ends, or nil if it receives data.
func follow(t *testing.T, address string, request *fleetpb.FollowRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	client := rpc.NewClient(address, rpc.PurposeFleet)
	t.Cleanup(client.Close)
	return client.Do(ctx, func(ctx context.Context, conn drpc.Conn) error {
		stream, err := fleetpb.NewDRPCFleetClient(conn).Follow(ctx, request)
		if err != nil {
			return err
		}
		event, err := stream.Recv()
		if event.GetRefusal() != fleetpb.Refusal_REFUSAL_NONE {
			return errors.New(event.GetRefusal().String())
		}
		return err
	})
}

// TestSilentReplicasAreLeftInTime guards against a router that spends the whole wait for a
// table on each replica that accepts connections and never answers: with two of them, a
// router whose replica lost power took 3.8 s to follow a third.
func TestSilentReplicasAreLeftInTime(t *testing.T) {
	g := NewWithT(t)
	_, _, control := startReplica(t)
	silent := []string{newSilentListener(t), newSilentListener(t)}
	seeds := append(silent, control.address)
	name := ""
	for i := 0; ; i++ {
		name = fmt.Sprintf("router-%d", i)
		if order := fleetview.PreferenceOrder(name, seeds); order[2] == control.address {
			break
		}
	}
	start := time.Now()
	view, _ := startRouter(t, name, seeds...)
	g.Eventually(generationOf(view), 5*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	g.Expect(time.Since(start)).To(BeNumerically("<", 1300*time.Millisecond), "what is left of 2.5 s after the loss was noticed")
}

// newSilentListener returns the address of a listener that accepts connections and neither
// reads nor writes.
func newSilentListener(t *testing.T) string {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return listener.Addr().String()
}

// TestRelayFillsItsRegistryOnlyAfterChanges guards against a relay that goes through all servers, while it
// holds its lock, with each follower that comes after the last one has left, and against one whose
// followers miss what has changed in between.
func TestRelayFillsItsRegistryOnlyAfterChanges(t *testing.T) {
	g := NewWithT(t)
	entries, fills := []registry.Entry{{Server: testServer(1)}, {Server: testServer(2)}}, 0
	relayed := fleetsync.NewRelay("127.0.0.1:1", newFakeReplica(), func() []registry.Entry { fills++; return entries }, newTestLosses(), 16, 0, zerolog.Nop())
	for range 3 {
		relayed.Admit("router-2")()
	}
	g.Expect(fills).To(Equal(1))
	entries[0].State, entries[0].Sequence = registry.StateDraining, 2
	relayed.UpdateServers(entries[:1], nil, time.Now())
	dropped := entries[1:]
	entries = entries[:1]
	relayed.UpdateServers(nil, dropped, time.Now())
	relayed.Admit("router-2")
	g.Expect(fills).To(Equal(2))
	g.Expect(relayed.StateOf(testServer(1).ID)).To(Equal(registry.StateDraining))
	g.Expect(relayed.StateOf(testServer(2).ID)).To(Equal(registry.StateGone))
}

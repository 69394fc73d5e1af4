package fleetsync_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"peridotwinch.example/peridotwinch/internal/fleetsync"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/rpc/fleetpb"
)

// TestSubscriptionOfLargeFleetIsSmall guards against routers that look for a source and fill the links of
// control replicas with lists of all records, so that no source accepts them in time.
func TestSubscriptionOfLargeFleetIsSmall(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	proxy := newCountingProxy(t, address)
	replica := newFakeReplica(proxy.address)
	replica.table = newTable(t, 1)
	// The replica is known by the proxy's address, so it sends no digest through the proxy.
	service := newTestService(t, replica, proxy.address)
	serve(t, service, address)
	var entries []registry.Entry
	for i := range 3000 {
		g.Expect(service.Announce(context.Background(), testServer(i))).To(Succeed())
		entries = append(entries, registry.Entry{Server: testServer(i)})
	}
	request := &fleetpb.FollowRequest{}
	fleetsync.NewKnownRecords(entries).AddTo(request)
	t.Logf("3,000 records: %d bytes, %d as a list", proto.Size(request), proto.Size(&fleetpb.FollowRequest{Known: fleetsync.ToKnownServers(entries)}))
	_, fleet := startRouter(t, "router-1", proxy.address)
	g.Eventually(fleet.servers.Load, 5*time.Second, 5*time.Millisecond).Should(Equal(int64(3000)))
	conns, received, sent := proxy.conns.Load(), proxy.bytes.Load(), proxy.sent.Load()
	proxy.closeConnections()
	g.Expect(service.Announce(context.Background(), testServer(3000))).To(Succeed())
	draining := testServer(7)
	draining.State, draining.Sequence = registry.StateDraining, 2
	g.Expect(service.Announce(context.Background(), draining)).To(Succeed())
	g.Eventually(fleet.servers.Load, 5*time.Second, 5*time.Millisecond).Should(Equal(int64(3001)))
	g.Eventually(func() registry.State { return fleet.stateOf("i-0000000007") }, time.Second).Should(Equal(registry.StateDraining))
	g.Expect(proxy.conns.Load()).To(BeNumerically(">", conns), "the router reconnected")
	t.Logf("a new subscription: %d bytes to the source, %d from it, %d bytes for the first one", proxy.sent.Load()-sent, proxy.bytes.Load()-received, received)
	g.Expect(proxy.sent.Load() - sent).To(BeNumerically("<", 6000))
	g.Expect(proxy.bytes.Load() - received).To(BeNumerically("<", 6000))
}

// TestSubscriptionWithoutNewsCopiesNoRecords guards against a source that copies all records for each
// subscription while it holds its lock, so that it accepts the others too late.
func TestSubscriptionWithoutNewsCopiesNoRecords(t *testing.T) {
	g := NewWithT(t)
	service := newTestService(t, newFakeReplica("127.0.0.1:1"), "127.0.0.1:1")
	var entries []registry.Entry
	for i := range 3000 {
		g.Expect(service.Announce(context.Background(), testServer(i))).To(Succeed())
		entries = append(entries, registry.Entry{Server: testServer(i)})
	}
	request := &fleetpb.FollowRequest{}
	fleetsync.NewKnownRecords(entries).AddTo(request)
	now := time.Now()
	g.Expect(testing.AllocsPerRun(20, func() {
		records, differing := service.DifferingRecords(request, now)
		g.Expect(len(records) + len(differing)).To(BeZero())
	})).To(BeNumerically("<", 10))
	draining := testServer(7)
	draining.State, draining.Sequence = registry.StateDraining, 2
	g.Expect(service.Announce(context.Background(), draining)).To(Succeed())
	records, differing := service.DifferingRecords(request, now)
	g.Expect(differing).To(Equal([]uint32{fleetsync.BucketOf(draining.ID)}))
	g.Expect(records).To(ContainElement(HaveField("ID", draining.ID)))
}

// TestServerThatTheSourceLacksIsDropped guards against a server that stays in use because the source
// compared digests instead of a list. The replica restarts and receives all announcements but one.
func TestServerThatTheSourceLacksIsDropped(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	replica := newFakeReplica(address)
	replica.table = newTable(t, 1)
	start := func(servers int) context.CancelFunc {
		service := newTestService(t, replica, address)
		for i := range servers {
			g.Expect(service.Announce(context.Background(), testServer(i))).To(Succeed())
		}
		ctx, cancel := context.WithCancel(context.Background())
		stopped := serveUntil(t, ctx, service, address)
		return func() { cancel(); <-stopped }
	}
	stop := start(1500)
	_, fleet := startRouter(t, "router-1", address)
	g.Eventually(fleet.servers.Load, 5*time.Second, 5*time.Millisecond).Should(Equal(int64(1500)))
	stop()
	// Connections of the first service stay open until the router leaves them.
	start(1499)
	g.Eventually(fleet.servers.Load, 20*time.Second, 50*time.Millisecond).Should(Equal(int64(1499)))
	g.Expect(fleet.stateOf("i-0000001499")).To(BeZero())
	g.Expect(fleet.stateOf("i-0000001498")).To(Equal(registry.StateReady))
}

// TestWarmupDuringAChangeOfSourceReachesARouterOfALargeFleet guards against a warm-up of a known
// incarnation that a router misses while it changes its source: the digests of buckets do not cover it.
func TestWarmupDuringAChangeOfSourceReachesARouterOfALargeFleet(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	proxy := newCountingProxy(t, address)
	replica := newFakeReplica(proxy.address)
	replica.table = newTable(t, 1)
	service := newTestService(t, replica, proxy.address)
	serve(t, service, address)
	var warmupEnd time.Time
	announceAll := func(sequence uint64) {
		for i := range 1500 {
			server := testServer(i)
			server.Sequence = sequence
			if i == 7 && !warmupEnd.IsZero() {
				server.WarmupLeft = time.Until(warmupEnd)
			}
			g.Expect(service.Announce(context.Background(), server)).To(Succeed())
		}
	}
	announceAll(1)
	_, fleet := startRouter(t, "router-1", proxy.address)
	g.Eventually(fleet.servers.Load, 5*time.Second, 5*time.Millisecond).Should(Equal(int64(1500)))
	proxy.cut()
	proxy.closeConnections()
	warmupEnd = time.Now().Add(20 * time.Second)
	announceAll(2)
	newCountingProxyAt(t, proxy.address, address)
	// Repeated announcements keep the servers from being silent, which changes all buckets.
	sequence := uint64(2)
	g.Eventually(func() time.Time {
		sequence++
		announceAll(sequence)
		return fleet.entry(testServer(7).ID).WarmupUntil
	}, 10*time.Second, 200*time.Millisecond).Should(BeTemporally("~", warmupEnd, 500*time.Millisecond))
	g.Expect(fleet.servers.Load()).To(Equal(int64(1500)))
}

package fleetsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
)

// TestLargeFleetTakesFewBytes guards against loads that fill the link of a control replica: 24 routers
// follow it, eight of them directly, and together report the loads of 3,000 servers about once per second.
func TestLargeFleetTakesFewBytes(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	proxy := newCountingProxy(t, address)
	replica := newFakeReplica(proxy.address)
	replica.table = newTable(t, 1)
	// The replica is known by the proxy's address, so it sends no digest through the proxy.
	service := newTestService(t, replica, proxy.address)
	hashes := make([]uint64, 3000)
	for i := range hashes {
		server := testServer(i)
		hashes[i] = server.Hash()
		g.Expect(service.Announce(context.Background(), server)).To(Succeed())
	}
	serve(t, service, address)
	ctx, cancel := context.WithCancel(context.Background())
	announcing := make(chan struct{})
	go func() {
		defer close(announcing)
		for sequence := 2; actor.Sleep(ctx, 1200*time.Millisecond); sequence++ {
			for i := range hashes {
				server := testServer(i)
				server.Sequence = uint64(sequence)
				_ = service.Announce(ctx, server)
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-announcing })
	var routers []*relayingRouter
	for i := range 24 {
		r := startRelayingRouter(t, fmt.Sprintf("router-%d", i), "domain-a", proxy.address)
		r.fleet.setLoads(func() map[uint64]fleetsync.ServerLoad {
			out := make(map[uint64]fleetsync.ServerLoad)
			for range 90 {
				out[hashes[rand.IntN(len(hashes))]] = fleetsync.ServerLoad{Requests: rand.IntN(10), ReportedAt: time.Now()}
			}
			return out
		})
		routers = append(routers, r)
	}
	for _, r := range routers {
		g.Eventually(generationOf(r.view), 10*time.Second, 5*time.Millisecond).Should(Equal(uint64(1)))
	}
	time.Sleep(2 * time.Second)
	const seconds = 4
	received, sent, conns := proxy.bytes.Load(), proxy.sent.Load(), proxy.conns.Load()
	time.Sleep(seconds * time.Second)
	received, sent, conns = proxy.bytes.Load()-received, proxy.sent.Load()-sent, proxy.conns.Load()-conns
	t.Logf("24 routers, %d of them directly: %d bytes/s from control, %d to it, %d connections opened in %d s",
		service.Subscribers(), received/seconds, sent/seconds, conns, seconds)
	g.Expect(received / seconds).To(BeNumerically("<", 100_000))
}

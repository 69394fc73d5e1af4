package fleetsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/actor"
	"peridotwinch.example/peridotwinch/internal/fleetsync"
)

// narrowLink forwards connections to an address over a link that all of them share.
type narrowLink struct {
	*countingProxy
	up, down linkDirection
}

// linkDirection delays bytes to a rate of 525 KB/s.
type linkDirection struct {
	bytes  atomic.Int64
	mu     sync.Mutex
	freeAt time.Time
}

func (d *linkDirection) wait(bytes int) {
	d.mu.Lock()
	if now := time.Now(); d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(time.Duration(bytes) * time.Second / 525_000)
	freeAt := d.freeAt
	d.mu.Unlock()
	time.Sleep(time.Until(freeAt))
}

func newNarrowLink(t *testing.T, to string) *narrowLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	l := &narrowLink{countingProxy: &countingProxy{address: listener.Addr().String(), listener: listener}}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			l.conns.Add(1)
			l.mu.Lock()
			l.clients = append(l.clients, client)
			l.mu.Unlock()
			server, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			go l.copy(client, server, &l.up)
			go l.copy(server, client, &l.down)
		}
	}()
	return l
}

func (l *narrowLink) copy(from, to net.Conn, direction *linkDirection) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, 1500)
	for {
		n, err := from.Read(buffer)
		direction.wait(n)
		direction.bytes.Add(int64(n))
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// TestRoutersOfLargeFleetReturnOverNarrowLink guards against a loop of subscriptions that are not accepted
// in time: 50 routers with 3,000 servers report 3,000 loads per second and lose the connections to
// their control replica, which has 4.2 Mbit/s.
func TestRoutersOfLargeFleetReturnOverNarrowLink(t *testing.T) {
	g := NewWithT(t)
	address := reserveAddress(t)
	link := newNarrowLink(t, address)
	replica := newFakeReplica(link.address)
	replica.table = newTable(t, 1)
	service := newTestService(t, replica, link.address)
	for i := range 3000 {
		g.Expect(service.Announce(context.Background(), testServer(i))).To(Succeed())
	}
	serve(t, service, address)
	ctx, cancel := context.WithCancel(context.Background())
	announcing := make(chan struct{})
	go func() {
		defer close(announcing)
		for sequence := uint64(2); actor.Sleep(ctx, 1200*time.Millisecond); sequence++ {
			for i := range 3000 {
				server := testServer(i)
				server.Sequence = sequence
				_ = service.Announce(ctx, server)
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-announcing })
	var routers []*relayingRouter
	for i := range 50 {
		r := startRelayingRouter(t, fmt.Sprintf("router-%d", i), fmt.Sprintf("domain-%d", i%3), link.address)
		r.fleet.setLoads(func() map[uint64]fleetsync.ServerLoad {
			out := make(map[uint64]fleetsync.ServerLoad)
			for range 42 {
				server := testServer(rand.IntN(3000))
				out[server.Hash()] = fleetsync.ServerLoad{Requests: rand.IntN(10), ReportedAt: time.Now()}
			}
			return out
		})
		routers = append(routers, r)
	}
	reached := func(generation uint64) func() int {
		return func() (count int) {
			for _, r := range routers {
				if generationOf(r.view)() == generation {
					count++
				}
			}
			return count
		}
	}
	g.Eventually(reached(1), 30*time.Second, 20*time.Millisecond).Should(Equal(50))
	time.Sleep(2 * time.Second)
	conns, sent, started := link.conns.Load(), link.up.bytes.Load(), time.Now()
	link.closeConnections()
	replica.setTable(newTable(t, 2))
	g.Eventually(reached(2), 30*time.Second, 20*time.Millisecond).Should(Equal(50))
	took := time.Since(started)
	sent = link.up.bytes.Load() - sent
	t.Logf("all routers had the change after %v, with %d connections and %d bytes to control", took.Round(10*time.Millisecond), link.conns.Load()-conns, sent)
	g.Expect(sent).To(BeNumerically("<", 300_000))
	g.Expect(took).To(BeNumerically("<", 2500*time.Millisecond))
}

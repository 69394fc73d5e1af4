package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/backend"
)

// TestIdleConnectionsAreBounded guards against a router that keeps an idle connection to each of thousands
// of servers: with 4,096 descriptors it can then accept no more callers.
func TestIdleConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	dialed, evicted := make(map[backend.DialReason]int), 0
	c := backend.NewClientWithLimits(backend.Hooks{
		Opened: func() {}, PassedOver: func() {}, Evicted: func() { evicted++ },
		Dialed: func(reason backend.DialReason) {
			mu.Lock()
			defer mu.Unlock()
			dialed[reason]++
		},
	}, backend.Limits{Connect: backend.ConnectTimeout, MaxIdle: 20})
	var addresses []string
	for range 50 {
		addresses = append(addresses, startServer(t, answerAll(func(id string) string { return id })))
	}
	for i, address := range addresses {
		body, err := send(c, address, fmt.Sprint(i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal(fmt.Sprint(i)))
	}
	g.Expect(c.Idle()).To(Equal(20))
	g.Expect(evicted).To(Equal(30))
	for i, address := range addresses[30:] {
		_, err := send(c, address, fmt.Sprint("second-", i))
		g.Expect(err).NotTo(HaveOccurred())
	}
	mu.Lock()
	g.Expect(dialed[backend.DialRequest]).To(Equal(50), "the newest connections are reused")
	mu.Unlock()
	g.Expect(c.Probe(context.Background(), addresses[0])).To(Succeed())
	mu.Lock()
	g.Expect(dialed[backend.DialProbe]).To(Equal(1))
	mu.Unlock()
	c.CloseIdle(addresses[49])
	g.Expect(c.Idle()).To(Equal(19))
	c.CloseExpired(time.Now().Add(time.Hour))
	g.Expect(c.Idle()).To(BeZero())
}

// TestIdleTimeoutOfEachServerIsKept guards against an ordinary close of a connection that only a probe
// has used, by a server with a short idle timeout, that is taken for the end of its process because
// another server has stated a longer one.
func TestIdleTimeoutOfEachServerIsKept(t *testing.T) {
	g := NewWithT(t)
	start := func(timeout time.Duration) string {
		return startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
			for {
				_ = conn.SetReadDeadline(time.Now().Add(timeout))
				id, ok := readRequest(requests)
				if !ok {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=%d\r\nContent-Length: 0\r\n\r\n", id, int(timeout.Seconds()))
			}
		})
	}
	short, long, unknown := start(time.Second), start(time.Minute), start(time.Second)
	var opened atomic.Int32
	c := newClient(&opened)
	lostIdle := func(address, id string) (lost bool) {
		request := newRequest(id)
		request.BeforeWrite = func(info backend.ConnInfo) error {
			lost = info.LostIdle
			return nil
		}
		ex, err := c.Send(context.Background(), address, request)
		g.Expect(err).NotTo(HaveOccurred())
		ex.Discard(100)
		return lost
	}
	lostIdle(short, "1")
	c.CloseIdle(short)
	lostIdle(long, "2")
	g.Expect(c.Probe(context.Background(), short)).To(Succeed())
	g.Expect(c.Probe(context.Background(), unknown)).To(Succeed())
	time.Sleep(1100 * time.Millisecond)
	g.Expect(lostIdle(short, "3")).To(BeFalse())
	g.Expect(lostIdle(unknown, "4")).To(BeFalse(), "a server that has stated none has the shortest one")
}

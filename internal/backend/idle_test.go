package backend_test

import (
	"context"
	"fmt"
	"sync"
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

package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
)

// arrivalLog records when requests arrive at a server.
type arrivalLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *arrivalLog) record() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// most returns the largest number of arrivals within 4 s, not counting those before a time.
func (l *arrivalLog) most(since time.Time) (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for first, last := 0, 0; last < len(l.at); last++ {
		for first <= last && (l.at[first].Before(since) || l.at[last].Sub(l.at[first]) > 4*time.Second) {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestRoutersTogetherKeepTheRateOfAServer guards against routers that each use the rate that a
// server takes from all of them together.
func TestRoutersTogetherKeepTheRateOfAServer(t *testing.T) {
	g := NewWithT(t)
	const routers, perSecond = 3, 2.0
	var arrivals arrivalLog
	limited := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
		arrivals.record()
		return writeAnswer(conn, r, 200, fmt.Sprintf("Stamp: s\r\nRate: %g\r\n", perSecond), "whole")
	})
	other := startTestServer(t, "b", answerOK)
	begin := time.Now()
	var wait sync.WaitGroup
	for i := range routers {
		gw, url := startUpdatableGateway(t, newTable(t), limited, other)
		gw.SetPosition(ratelimit.Position{Index: i, Count: routers})
		wait.Go(func() {
			for time.Since(begin) < 11*time.Second {
				if got := send(t, url, "/safe/x"); got.status != 200 || got.header.Get("Rate") != "" {
					t.Errorf("status %d, header %v", got.status, got.header)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	g.Expect(arrivals.most(begin.Add(500 * time.Millisecond))).To(BeNumerically("<=", 1.5*4*perSecond+5))
	g.Expect(arrivals.most(begin.Add(6*time.Second))).To(BeNumerically(">=", 4), "the rate is used")
}

// TestEndOfALimitIsToldToOtherRouters guards against a limit that stays in force at a router that
// may send the server nothing.
func TestEndOfALimitIsToldToOtherRouters(t *testing.T) {
	g := NewWithT(t)
	var isLimited atomic.Bool
	isLimited.Store(true)
	a := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
		header := "Stamp: s\r\n"
		if isLimited.Load() {
			header += "Rate: 0\r\n"
		}
		return writeAnswer(conn, r, 200, header, "whole")
	})
	first, firstURL := startUpdatableGateway(t, newTable(t), a)
	second, secondURL := startUpdatableGateway(t, newTable(t), a)
	exchange := func(from, to *gateway.Gateway) { to.RecordPeerRateStatements(from.TakeRateStatements()) }
	g.Expect(send(t, firstURL, "/safe/x").status).To(Equal(200))
	exchange(first, second)
	for range 10 {
		send(t, secondURL, "/safe/x")
	}
	got := send(t, secondURL, "/unsafe/x")
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.body).To(And(ContainSubstring(`"outcome":"not_run"`), ContainSubstring("limit their rate")))
	delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(delay).To(BeNumerically(">", 1), "the time at which there is room")
	isLimited.Store(false)
	g.Eventually(func() int { return send(t, firstURL, "/safe/x").status }, 20*time.Second, 20*time.Millisecond).Should(Equal(200))
	send(t, firstURL, "/safe/x")
	exchange(first, second)
	for range 20 {
		g.Expect(send(t, secondURL, "/safe/x").status).To(Equal(200))
	}
}

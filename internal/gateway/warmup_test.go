package gateway_test

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/ratelimit"
	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// With these, a server that warms up may get 4 requests a second; the routers share 3.
const (
	warmupOverage, warmupSlack = 1.5, 1
	warmupPerSecond            = 2
	warmupTotal                = 4
	warmupTime                 = 2500 * time.Millisecond
)

func warmupTable(t *testing.T) *routetable.Table {
	table := newTable(t)
	table.Pools[0].WarmupPerSecond, table.Pools[0].WarmupTime = warmupPerSecond, warmupTime
	return table
}

// startWarmupGateway starts the gateway of a router that has had its position for a while.
func startWarmupGateway(t *testing.T, index, count int, servers ...*testServer) (*gateway.Gateway, string) {
	gw, url := startUpdatableGateway(t, warmupTable(t), servers...)
	gw.SetWarmup(warmupOverage, warmupSlack)
	if count > 0 {
		gw.SetPosition(ratelimit.Position{Index: index, Count: count})
	}
	return gw, url
}

func mostInSecond(at []time.Time, from, to time.Time) (most int) {
	at = slices.DeleteFunc(slices.Clone(at), func(at time.Time) bool { return at.Before(from) || at.After(to) })
	for first, last := 0, 0; last < len(at); last++ {
		for at[last].Sub(at[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestRestartedServerGetsNoMoreThanItsTotal guards against requests that routers send to a server that
// they reach again after a restart of which control has told them nothing: first attempts, retries,
// trials, requests from the queue and streams, on new and on idle connections.
func TestRestartedServerGetsNoMoreThanItsTotal(t *testing.T) {
	g := NewWithT(t)
	const routers = 3
	var arrivals arrivalLog
	serve := func(n int, conn net.Conn, r *http.Request) bool {
		arrivals.record()
		return answerOK(n, conn, r)
	}
	a, b := startTestServer(t, "a", serve), startTestServer(t, "b", func(n int, conn net.Conn, r *http.Request) bool {
		if n%7 == 0 {
			return false
		}
		time.Sleep(5 * time.Millisecond)
		return answerOK(n, conn, r)
	})
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range routers {
		_, url := startWarmupGateway(t, i, routers, a, b)
		for path := range slices.Values([]string{"/safe/x", "/unsafe/x", "/resume/x", "/safe/x"}) {
			wait.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
						send(t, url, path, "Id", strconv.FormatInt(time.Now().UnixNano(), 36))
					}
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	a.end()
	time.Sleep(400 * time.Millisecond)
	listener, err := net.Listen("tcp", a.listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	startedAt := time.Now()
	restarted := &testServer{id: "a", listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go restarted.serve(conn, serve)
		}
	}()
	time.Sleep(warmupTime + 4*time.Second)
	close(stop)
	wait.Wait()
	g.Expect(mostInSecond(arrivals.at, startedAt, startedAt.Add(warmupTime))).To(BeNumerically("<=", warmupTotal))
	g.Expect(mostInSecond(arrivals.at, startedAt.Add(warmupTime), time.Now())).To(BeNumerically(">", 5*warmupTotal), "after the warm-up")
}

// TestRequestThatNoWarmingServerTakesIsRefusedAtOnce guards against requests that wait in vain while all
// servers of a pool warm up, and against a router without a position that sends them.
func TestRequestThatNoWarmingServerTakesIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := startTestServer(t, "a", answerOK)
	gw, url := startWarmupGateway(t, 0, 0, a)
	entries := entriesOf([]*testServer{a})
	entries[0].AppearedAt = time.Now()
	gw.SetServers(entries)
	begin := time.Now()
	got := send(t, url, "/unsafe/x")
	g.Expect(time.Since(begin)).To(BeNumerically("<", 150*time.Millisecond))
	g.Expect(got.status).To(Equal(503))
	g.Expect(got.body).To(And(ContainSubstring(`"outcome":"not_run"`), ContainSubstring("warming up")))
	delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(delay).To(BeNumerically(">", 2), "the end of the warm-up")
	g.Expect(a.requestCount()).To(BeZero())
	g.Eventually(func() int { return send(t, url, "/unsafe/x").status }, 5*time.Second, 20*time.Millisecond).Should(Equal(200))
}

// TestAnnouncedWarmupIsKept guards against a warm-up that a server announces or states in an answer and
// that routers ignore, and against limits on pools that state no rate.
func TestAnnouncedWarmupIsKept(t *testing.T) {
	g := NewWithT(t)
	a := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
		return writeAnswer(conn, r, 200, "Stamp: s\r\nWarming: 1s\r\n", "whole")
	})
	gw, url := startWarmupGateway(t, 0, 0, a)
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(200))
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(503), "the answer stated a warm-up")
	time.Sleep(1100 * time.Millisecond)
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(200))
	time.Sleep(1100 * time.Millisecond)
	announced := entriesOf([]*testServer{a})
	announced[0].WarmupUntil = time.Now().Add(time.Second)
	gw.SetServers(announced)
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(503), "the announcement stated a warm-up")

	unlimited, url := startUpdatableGateway(t, newTable(t), a)
	unlimited.SetWarmup(warmupOverage, warmupSlack)
	unlimited.SetServers([]registry.Entry{announced[0]})
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(200), "the pool states no rate")
}

// TestSlowServerDoesNotCountAsRestarted guards against a router without a share that sends nothing for
// seconds to a server whose answer was later than the attempt timeout, or whose stream has stalled.
func TestSlowServerDoesNotCountAsRestarted(t *testing.T) {
	for _, path := range []string{"/safe/x", "/resume/x"} {
		g := NewWithT(t)
		a := startTestServer(t, "a", func(n int, conn net.Conn, r *http.Request) bool {
			if n == 1 {
				if path == "/resume/x" {
					writeStreamHead(conn, r)
				}
				time.Sleep(1500 * time.Millisecond)
			}
			return answerOK(n, conn, r)
		})
		_, url := startWarmupGateway(t, 5, 90, a)
		g.Expect(send(t, url, path).status).NotTo(Equal(200), "the attempt timeout is 0.9 s, the stall timeout 1.2 s")
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			g.Expect(send(t, url, "/unsafe/x").status).To(Equal(200), path)
		}
	}
}

// TestQueuedRequestsAreRefusedOnceAllServersWarmUp guards against requests that stay queued in vain after
// their router has learned that all servers are warming up: from control, from the withdrawal of an
// evacuation, or from a lost connection.
func TestQueuedRequestsAreRefusedOnceAllServersWarmUp(t *testing.T) {
	learnFromControl := func(gw *gateway.Gateway, a *testServer) {
		entries := entriesIn(a)
		entries[0].WarmupUntil = time.Now().Add(5 * time.Second)
		gw.SetServers(entries)
	}
	learnFromWithdrawal := func(gw *gateway.Gateway, _ *testServer) { gw.SetEvacuated(nil, []string{"d0"}) }
	learnFromLoss := func(_ *gateway.Gateway, a *testServer) { a.end() }
	for i, learn := range []func(*gateway.Gateway, *testServer){learnFromControl, learnFromWithdrawal, learnFromLoss} {
		g := NewWithT(t)
		proceed := make(chan struct{})
		a := startTestServer(t, "a", func(n int, conn net.Conn, r *http.Request) bool {
			<-proceed
			return answerOK(n, conn, r)
		})
		table := warmupTable(t)
		for i := range table.Routes {
			table.Routes[i].LatencyObjective = 2 * time.Second
		}
		gw, url := startUpdatableGateway(t, table, a)
		gw.SetWarmup(warmupOverage, warmupSlack)
		gw.SetServers(entriesIn(a))
		var running sync.WaitGroup
		for range 4 {
			running.Go(func() { send(t, url, "/unsafe/x") })
		}
		g.Eventually(a.requestCount).Should(Equal(4), "slots")
		var queued answer
		var endedAt time.Time
		var wait sync.WaitGroup
		wait.Go(func() {
			queued = send(t, url, "/unsafe/x")
			endedAt = time.Now()
		})
		time.Sleep(50 * time.Millisecond)
		learnedAt := time.Now()
		learn(gw, a)
		wait.Wait()
		g.Expect(endedAt.Sub(learnedAt)).To(BeNumerically("<", 150*time.Millisecond), "of 600 ms in the queue; case %d", i)
		g.Expect(queued.status).To(Equal(503))
		g.Expect(queued.body).To(ContainSubstring(`"outcome":"not_run"`))
		delay, err := strconv.ParseFloat(queued.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(delay).To(BeNumerically(">", 2), "the end of the warm-up; case %d", i)
		close(proceed)
		running.Wait()
	}
}

// TestPoolWithoutRequestsLearnsOfReturnedDomains guards against full load on the servers of a domain after
// an evacuation, of a pool that had no request before the withdrawal.
func TestPoolWithoutRequestsLearnsOfReturnedDomains(t *testing.T) {
	g := NewWithT(t)
	a := startTestServer(t, "a", answerOK)
	gw, url := startWarmupGateway(t, 0, 0, a)
	gw.SetServers(entriesIn(a))
	gw.SetEvacuated([]string{"d0"}, nil)
	gw.SetEvacuated(nil, nil)
	returnedAt := time.Now()
	g.Expect(send(t, url, "/unsafe/x").body).To(ContainSubstring("warming up"))
	time.Sleep(time.Until(returnedAt.Add(warmupTime + 100*time.Millisecond)))
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(200))
}

// TestWithheldSendIsNoRetry guards against a metric of retries that rises with each warm-up: a request that
// was not sent costs no server anything.
func TestWithheldSendIsNoRetry(t *testing.T) {
	g := NewWithT(t)
	retries := metrics.GetOrCreateCounter("peridotwinch_gateway_repeats_total")
	withheld := metrics.GetOrCreateCounter("peridotwinch_gateway_sends_withheld_total")
	a := startTestServer(t, "a", answerOK)
	b := startTestServer(t, "b", func(n int, conn net.Conn, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		return answerOK(n, conn, r)
	})
	_, url := startWarmupGateway(t, 0, 0, a, b)
	for i := range 20 {
		g.Expect(send(t, url, "/unsafe/x", "Id", strconv.Itoa(i)).status).To(Equal(200))
	}
	g.Expect(a.requestCount()).To(BeNumerically(">", 0))
	before := []uint64{retries.Get(), withheld.Get()}
	a.mu.Lock()
	for _, conn := range a.conns {
		_ = conn.Close()
	}
	a.mu.Unlock()
	for i := range 20 {
		g.Expect(send(t, url, "/unsafe/x", "Id", strconv.Itoa(100+i)).status).To(Equal(200))
	}
	g.Expect([]uint64{retries.Get(), withheld.Get()}).To(Equal([]uint64{before[0], before[1] + 1}))
}

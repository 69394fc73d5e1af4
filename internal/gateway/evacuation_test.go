package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/registry"
	"peridotwinch.example/peridotwinch/internal/routetable"
)

// entriesIn returns the entries of servers, each in a failure domain of its own: d0, d1 and so on.
func entriesIn(servers ...*testServer) []registry.Entry {
	entries := entriesOf(servers)
	for i := range entries {
		entries[i].Domain = fmt.Sprint("d", i)
	}
	return entries
}

// TestEvacuatedDomainGetsNoRequest guards against requests to a domain after its evacuation: while
// another domain has servers they are served there, otherwise they are refused at once, as not run
// and with a time after which to come back. What runs there ends undisturbed.
func TestEvacuatedDomainGetsNoRequest(t *testing.T) {
	g := NewWithT(t)
	proceed, streaming := make(chan struct{}), make(chan struct{})
	a := startTestServer(t, "a", func(n int, conn net.Conn, r *http.Request) bool {
		if n > 1 {
			return answerOK(n, conn, r)
		}
		writeStreamHead(conn, r)
		writeChunk(conn, eventText(1, 5))
		close(streaming)
		<-proceed
		writeChunk(conn, eventText(6, 10))
		writeChunk(conn, "")
		return true
	})
	b := startTestServer(t, "b", answerOK)
	gw, url := startUpdatableGateway(t, newTable(t), a)
	gw.SetServers(entriesIn(a))
	var stream answer
	var caller sync.WaitGroup
	caller.Go(func() { stream = send(t, url, "/resume/x") })
	g.Eventually(streaming, 5*time.Second).Should(BeClosed())
	gw.SetServers(entriesIn(a, b))
	gw.SetEvacuated([]string{"d0"}, nil)
	for range 10 {
		g.Expect(send(t, url, "/safe/x").status).To(Equal(200))
	}
	gw.SetServers(entriesIn(a, b))
	g.Expect(send(t, url, "/safe/x").status).To(Equal(200))
	gw.SetEvacuated([]string{"d0", "d1"}, nil)
	begin := time.Now()
	refused := send(t, url, "/unsafe/x")
	g.Expect(time.Since(begin)).To(BeNumerically("<", 50*time.Millisecond), "refused at once")
	g.Expect(refused.status).To(Equal(503))
	g.Expect(refused.body).To(And(ContainSubstring(`"code":3033`), ContainSubstring(`"outcome":"not_run"`), ContainSubstring("2 are in evacuated")))
	delay, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(delay).To(BeNumerically(">", 0))
	close(proceed)
	caller.Wait()
	g.Expect(stream.body).To(Equal(eventText(1, 10)), "what runs there ends undisturbed")
	g.Expect(a.requestCount()).To(Equal(1))
	g.Expect(b.requestCount()).To(Equal(11))
	gw.SetEvacuated([]string{"d1"}, nil)
	g.Expect(send(t, url, "/safe/x").status).To(Equal(200))
	g.Expect(a.requestCount()).To(Equal(2))
}

// TestPoolOfAnEvacuatedDomainIsRefused guards against callers that wait for a pool whose only servers
// are in an evacuated domain, and against a refusal of other pools.
func TestPoolOfAnEvacuatedDomainIsRefused(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t)
	table.Pools = append(table.Pools, routetable.Pool{Name: "q"})
	table.Routes[0].Targets = []routetable.Target{{Pool: "q", Weight: 1}}
	a, b := startTestServer(t, "a", answerOK), startTestServer(t, "b", answerOK)
	gw, url := startUpdatableGateway(t, table, a)
	entries := entriesIn(a, b)
	entries[0].Pool = "q"
	gw.SetServers(entries)
	gw.SetEvacuated([]string{"d0"}, nil)
	begin := time.Now()
	g.Expect(send(t, url, "/safe/x").body).To(ContainSubstring(`"code":3033`))
	g.Expect(time.Since(begin)).To(BeNumerically("<", 50*time.Millisecond), "refused at once")
	g.Expect(send(t, url, "/unsafe/x").status).To(Equal(200), "the pool of another domain")
	gw.SetEvacuated(nil, nil)
	g.Expect(send(t, url, "/safe/x").status).To(Equal(200))
}

// TestRetriesAndResumedStreamsAvoidAnEvacuatedDomain guards against a second attempt in a domain
// that was evacuated during the first one.
func TestRetriesAndResumedStreamsAvoidAnEvacuatedDomain(t *testing.T) {
	for _, path := range []string{"/safe/x", "/resume/x"} {
		g := NewWithT(t)
		received, evacuated := make(chan struct{}), make(chan struct{})
		a := startTestServer(t, "a", func(n int, conn net.Conn, r *http.Request) bool {
			if path == "/resume/x" {
				writeStreamHead(conn, r)
				writeChunk(conn, eventText(1, 5))
			}
			close(received)
			<-evacuated
			return false
		})
		b := startTestServer(t, "b", answerOK)
		gw, url := startUpdatableGateway(t, newTable(t), a)
		gw.SetServers(entriesIn(a))
		var caller sync.WaitGroup
		caller.Go(func() { send(t, url, path) })
		g.Eventually(received, 5*time.Second).Should(BeClosed())
		gw.SetServers(entriesIn(a, b))
		gw.SetEvacuated([]string{"d1"}, nil)
		close(evacuated)
		caller.Wait()
		g.Expect(b.requestCount()).To(BeZero(), path)
	}
}

// TestQueuedRequestsAreRefusedOnceTheirDomainsAreEvacuated guards against requests that stay queued
// for servers of evacuated domains, also of a pool that another route table adds later.
func TestQueuedRequestsAreRefusedOnceTheirDomainsAreEvacuated(t *testing.T) {
	g := NewWithT(t)
	proceed := make(chan struct{})
	s := startTestServer(t, "a", func(n int, conn net.Conn, r *http.Request) bool {
		<-proceed
		return answerOK(n, conn, r)
	})
	table := newTable(t)
	for i := range table.Routes {
		table.Routes[i].LatencyObjective = 5 * time.Second
	}
	gw, url := startUpdatableGateway(t, table, s)
	gw.SetServers(entriesIn(s))
	var mu sync.Mutex
	results := map[int]int{}
	var callers sync.WaitGroup
	var refusedAt time.Time
	for range 10 {
		callers.Go(func() {
			got := send(t, url, "/unsafe/x")
			mu.Lock()
			defer mu.Unlock()
			results[got.status]++
			if got.status == 503 {
				refusedAt = time.Now()
			}
		})
	}
	g.Eventually(s.requestCount).Should(Equal(4), "slots")
	time.Sleep(100 * time.Millisecond)
	evacuatedAt := time.Now()
	gw.SetEvacuated([]string{"d0"}, nil)
	g.Eventually(func() int {
		mu.Lock()
		defer mu.Unlock()
		return results[503]
	}, time.Second).Should(Equal(6))
	g.Expect(refusedAt.Sub(evacuatedAt)).To(BeNumerically("<", 300*time.Millisecond), "of 1,500 ms in the queue")
	close(proceed)
	callers.Wait()
	g.Expect(results).To(Equal(map[int]int{200: 4, 503: 6}))
	g.Expect(s.requestCount()).To(Equal(4))

	later, laterURL := startUpdatableGateway(t, table, s)
	later.SetEvacuated([]string{"d0"}, nil)
	later.SetServers(entriesIn(s))
	g.Expect(send(t, laterURL, "/safe/x").body).To(ContainSubstring(`"code":3033`), "a pool without requests so far")
}

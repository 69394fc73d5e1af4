package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestServerThatSaysItLeavesGetsNoFurtherRequest guards against requests to a server after an
// answer of any kind has stated that it is leaving, also if control lists it as ready later.
func TestServerThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	for name, answerLeaving := range map[string]func(int, net.Conn, *http.Request) bool{
		"success": func(_ int, conn net.Conn, r *http.Request) bool {
			return writeAnswer(conn, r, 200, "Stamp: s\r\nLeaving: 1\r\n", "whole")
		},
		"error": func(_ int, conn net.Conn, r *http.Request) bool {
			return writeAnswer(conn, r, 500, "Stamp: s\r\nLeaving: 1\r\n", "")
		},
		"refusal": func(_ int, conn net.Conn, r *http.Request) bool {
			return writeAnswer(conn, r, 503, "Not-Run: 1\r\nLeaving: 1\r\n", "")
		},
		"stream head": func(_ int, conn net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			writeChunk(conn, eventText(1, 5))
			time.Sleep(50 * time.Millisecond)
			writeChunk(conn, eventText(6, 10))
			writeChunk(conn, "")
			return true
		},
	} {
		g := NewWithT(t)
		a, b := startTestServer(t, "a", answerLeaving), startTestServer(t, "b", answerOK)
		gw, url := startUpdatableGateway(t, newTable(t), a)
		first := send(t, url, "/safe/x")
		g.Expect(first.header.Get("Leaving")).To(BeEmpty(), name)
		if name == "stream head" {
			g.Expect(first.body).To(Equal(eventText(1, 10)), "what runs on the server ends undisturbed")
		}
		got := send(t, url, "/safe/x")
		g.Expect(got.status).To(Equal(503), "%s: the only server is leaving", name)
		g.Expect(got.body).To(ContainSubstring("1 have stated that they are leaving"), name)
		gw.SetServers(nil)
		gw.SetServers(entriesOf([]*testServer{a}))
		g.Expect(send(t, url, "/safe/x").status).To(Equal(503), "%s: a delayed announcement", name)
		gw.SetServers(entriesOf([]*testServer{a, b}))
		for range 5 {
			g.Expect(send(t, url, "/safe/x").body).To(Equal("whole"), name)
		}
		g.Expect(a.requestCount()).To(Equal(1), name)
		restarted := entriesOf([]*testServer{a})
		restarted[0].StartedMS++
		gw.SetServers(restarted)
		send(t, url, "/safe/x")
		g.Expect(a.requestCount()).To(Equal(2), "%s: a new incarnation", name)
	}
}

// TestServerThatWantsAPauseGetsNoRequest guards against sends to a server that has turned a
// request away for some time: as a first or second attempt, from the queue, or as a trial.
func TestServerThatWantsAPauseGetsNoRequest(t *testing.T) {
	g := NewWithT(t)
	shed := func(n int, conn net.Conn, r *http.Request) bool {
		if n > 1 {
			return answerOK(n, conn, r)
		}
		return writeAnswer(conn, r, 503, "Not-Run: 1\r\nPause: 600ms\r\n", "")
	}
	a, b := startTestServer(t, "a", shed), startTestServer(t, "b", answerOK)
	_, url := startUpdatableGateway(t, newTable(t), a, b)
	begin := time.Now()
	for time.Since(begin) < 500*time.Millisecond {
		g.Expect(send(t, url, "/safe/x").status).To(Equal(200), "served elsewhere")
		time.Sleep(5 * time.Millisecond)
	}
	g.Expect(a.requestCount()).To(Equal(1))
	g.Eventually(func() int {
		send(t, url, "/safe/x")
		return a.requestCount()
	}, 5*time.Second).Should(BeNumerically(">", 1), "used again after the pause")
}

// TestCallersReturnSpreadOutWhenThereIsRoom guards against callers that wait for nothing while all
// servers want a pause, and against callers that all return at its end or before it.
func TestCallersReturnSpreadOutWhenThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	shed := func(_ int, conn net.Conn, r *http.Request) bool {
		return writeAnswer(conn, r, 503, "Not-Run: 1\r\nPause: 3s\r\n", "")
	}
	a, b := startTestServer(t, "a", shed), startTestServer(t, "b", shed)
	_, url := startUpdatableGateway(t, newTable(t), a, b)
	send(t, url, "/safe/x")
	send(t, url, "/safe/x")
	var delays []float64
	for range 20 {
		begin := time.Now()
		got := send(t, url, "/unsafe/x")
		g.Expect(time.Since(begin)).To(BeNumerically("<", 50*time.Millisecond), "refused at once")
		g.Expect(got.status).To(Equal(503))
		g.Expect(got.body).To(And(ContainSubstring(`"outcome":"not_run"`), ContainSubstring("want no request")))
		delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		delays = append(delays, delay)
	}
	g.Expect(delays).To(HaveEach(BeNumerically(">", 2.5)))
	g.Expect(slices.Max(delays)-slices.Min(delays)).To(BeNumerically(">", 0.5), "spread out over half of the pause")
	g.Expect(a.requestCount() + b.requestCount()).To(Equal(2))
}

// TestQueuedRequestsAreRefusedOnceAllServersWantAPause guards against requests that stay queued
// for a slot on servers that no longer accept any.
func TestQueuedRequestsAreRefusedOnceAllServersWantAPause(t *testing.T) {
	g := NewWithT(t)
	proceed := make(chan struct{})
	s := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
		<-proceed
		return writeAnswer(conn, r, 503, "Not-Run: 1\r\nPause: 30s\r\n", "")
	})
	table := newTable(t)
	for i := range table.Routes {
		table.Routes[i].LatencyObjective = 5 * time.Second
	}
	_, url := startUpdatableGateway(t, table, s)
	var callers sync.WaitGroup
	var longest atomic.Int64
	for range 10 {
		callers.Go(func() {
			send(t, url, "/unsafe/x")
			longest.Store(max(longest.Load(), time.Now().UnixMilli()))
		})
	}
	g.Eventually(s.requestCount).Should(Equal(4), "slots")
	released := time.Now().UnixMilli()
	close(proceed)
	callers.Wait()
	g.Expect(longest.Load()-released).To(BeNumerically("<", 500), "of 1,500 ms in the queue")
	g.Expect(s.requestCount()).To(Equal(4))
}

// TestFleetServesThroughLeavingAndOverloadedServers plays callers of three routers on servers of
// which one leaves and two turn requests away for a time, while one answers.
func TestFleetServesThroughLeavingAndOverloadedServers(t *testing.T) {
	g := NewWithT(t)
	begin := time.Now()
	var violations atomic.Int64
	// told is when each router was last told to keep away, by router and server.
	var told sync.Map
	guard := func(id string, until time.Duration, header string) func(int, net.Conn, *http.Request) bool {
		return func(n int, conn net.Conn, r *http.Request) bool {
			key := r.Header.Get("Router") + id
			if at, found := told.Load(key); found && time.Since(at.(time.Time)) > 50*time.Millisecond && time.Since(at.(time.Time)) < until-10*time.Millisecond {
				violations.Add(1)
			}
			if time.Since(begin) < 300*time.Millisecond || until < time.Hour && time.Since(begin) > 2*time.Second {
				return answerOK(n, conn, r)
			}
			told.Store(key, time.Now())
			if until == time.Hour {
				return writeAnswer(conn, r, 200, "Stamp: s\r\n"+header, "whole")
			}
			return writeAnswer(conn, r, 503, "Not-Run: 1\r\n"+header, "")
		}
	}
	servers := []*testServer{
		startTestServer(t, "a", guard("a", time.Hour, "Leaving: 1\r\n")),
		startTestServer(t, "b", guard("b", 400*time.Millisecond, "Pause: 400ms\r\n")),
		startTestServer(t, "c", guard("c", 700*time.Millisecond, "Pause: 700ms\r\n")),
		startTestServer(t, "d", answerOK),
	}
	var answered, total atomic.Int64
	var callers sync.WaitGroup
	for i := range 3 {
		gw, url := startUpdatableGateway(t, newTable(t), servers...)
		callers.Go(func() {
			for time.Since(begin) < 3*time.Second {
				gw.SetServers(entriesOf(servers))
				time.Sleep(20 * time.Millisecond)
			}
		})
		for range 3 {
			callers.Go(func() {
				for time.Since(begin) < 3*time.Second {
					total.Add(1)
					if send(t, url, "/unsafe/x", "Router", fmt.Sprint("r", i)).status == 200 {
						answered.Add(1)
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	g.Expect(violations.Load()).To(BeZero(), "requests to a server that had asked for none")
	g.Expect(float64(answered.Load())/float64(total.Load())).To(BeNumerically(">", 0.95), "of %d requests", total.Load())
}

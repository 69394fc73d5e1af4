package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/gateway"
	"peridotwinch.example/peridotwinch/internal/registry"
)

// copyingServer is a server that refuses the first request of each connection and writes the
// refusal once more when the next request has arrived there.
type copyingServer struct {
	*testServer
	refusals, runs atomic.Int32
}

// startCopyingServer starts a server. onRequest is called with the number of refusals before each answer.
func startCopyingServer(t *testing.T, id string, onRequest func(refusals int32)) *copyingServer {
	s := &copyingServer{}
	var refusedOn atomic.Value
	s.testServer = startTestServer(t, id, func(n int, conn net.Conn, r *http.Request) bool {
		onRequest(s.refusals.Load())
		if s.refusals.Load() == 0 {
			s.refusals.Add(1)
			refusedOn.Store(conn)
			return writeAnswer(conn, r, 503, "Not-Run: 1\r\n", "")
		}
		s.runs.Add(1)
		if refusedOn.Load() == conn {
			writeAnswer(conn, r, 503, "Not-Run: 1\r\n", "")
			time.Sleep(20 * time.Millisecond)
		}
		return answerOK(n, conn, r)
	})
	return s
}

// TestCopiedRefusalRunsNothingTwice guards against a request that a router sends again to the same
// address under a worker's new ID, and a third time because of the copy of the first refusal.
func TestCopiedRefusalRunsNothingTwice(t *testing.T) {
	g := NewWithT(t)
	var runsElsewhere atomic.Int32
	other := startTestServer(t, "other", func(n int, conn net.Conn, r *http.Request) bool {
		runsElsewhere.Add(1)
		return answerOK(n, conn, r)
	})
	var gw *gateway.Gateway
	var replaced registry.Entry
	ready := make(chan struct{})
	s := startCopyingServer(t, "old", func(refusals int32) {
		<-ready
		list := []registry.Entry{replaced}
		if refusals > 0 {
			list = append(list, entriesOf([]*testServer{other})...)
		}
		gw.SetServers(list)
	})
	gw, url := startUpdatableGateway(t, newTable(t), s.testServer)
	replaced = entriesOf([]*testServer{s.testServer})[0]
	replaced.ID, replaced.StartedMS = "new", replaced.StartedMS+1
	close(ready)
	got := send(t, url, "/unsafe/x")
	g.Expect(s.runs.Load()+runsElsewhere.Load()).To(Equal(int32(1)), "runs")
	g.Expect(got.status).To(Equal(200))
	g.Expect(got.body).To(Equal("whole"))
}

// TestCopiedRefusalOfRepeatedIDIsNoOutcome guards against "not run" for a request that runs: a caller
// uses the ID of a refused request again, or sends no ID.
func TestCopiedRefusalOfRepeatedIDIsNoOutcome(t *testing.T) {
	for _, id := range []string{"repeated", ""} {
		t.Run(fmt.Sprintf("ID %q", id), func(t *testing.T) {
			g := NewWithT(t)
			s := startCopyingServer(t, "a", func(int32) {})
			url := startGateway(t, newTable(t), s.testServer)
			g.Expect(send(t, url, "/unsafe/x", "Id", id).status).To(Equal(503))
			got := send(t, url, "/unsafe/x", "Id", id)
			g.Expect(s.runs.Load()).To(Equal(int32(1)))
			g.Expect(got.status).To(Equal(200))
		})
	}
}

// TestUnmatchedAnswersAreCounted guards against copied answers that operators cannot see.
func TestUnmatchedAnswersAreCounted(t *testing.T) {
	g := NewWithT(t)
	var last *http.Request
	s := startTestServer(t, "a", func(n int, conn net.Conn, r *http.Request) bool {
		if last != nil {
			writeAnswer(conn, last, 200, "Stamp: s\r\n", "old")
		}
		last = r
		return answerOK(n, conn, r)
	})
	url := startGateway(t, newTable(t), s)
	counter := metrics.GetOrCreateCounter("peridotwinch_gateway_answers_unmatched_total")
	before := counter.Get()
	g.Expect(send(t, url, "/unsafe/x", "Id", "first").body).To(Equal("whole"))
	g.Expect(send(t, url, "/unsafe/x", "Id", "second").body).To(Equal("whole"))
	g.Expect(counter.Get() - before).To(Equal(uint64(1)))
}

// TestRefusalWithoutIDRunsNothingTwice guards against a second send of a request that runs: a refusal
// without an ID comes before the answer on a new connection.
func TestRefusalWithoutIDRunsNothingTwice(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	handle := func(n int, conn net.Conn, r *http.Request) bool {
		runs.Add(1)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		return answerOK(n, conn, r)
	}
	url := startGateway(t, newTable(t), startTestServer(t, "a", handle), startTestServer(t, "b", handle))
	got := send(t, url, "/unsafe/x", "Id", "first")
	g.Expect(runs.Load()).To(Equal(int32(1)))
	g.Expect(got.status).To(Equal(200))
	g.Expect(got.body).To(Equal("whole"))
}

// TestAnswerOfServerThatCannotReadRequestIsForwarded guards against losing an answer that cannot echo the ID.
func TestAnswerOfServerThatCannotReadRequestIsForwarded(t *testing.T) {
	g := NewWithT(t)
	url := startGateway(t, newTable(t), startTestServer(t, "a", func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")
		return true
	}))
	g.Expect(send(t, url, "/unsafe/x", "Id", "first").status).To(Equal(400))
}

// TestRefusalOfRequestWithoutIDIsForwarded guards against a refused request without an ID whose caller learns
// only that it may have run.
func TestRefusalOfRequestWithoutIDIsForwarded(t *testing.T) {
	g := NewWithT(t)
	url := startGateway(t, newTable(t), startTestServer(t, "a", func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}))
	g.Expect(send(t, url, "/unsafe/x", "Id", "").status).To(Equal(503))
}

package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const stalledStreamEvents = 6

// streamWithPause streams events; a first one that starts the stream is followed by a pause.
func streamWithPause(pause time.Duration) func(int, net.Conn, *http.Request) bool {
	return func(_ int, conn net.Conn, r *http.Request) bool {
		writeStreamHead(conn, r)
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for id := last + 1; id <= stalledStreamEvents; id++ {
			writeChunk(conn, fmt.Sprintf("id: %d\ndata: %d\n\n", id, id))
			if id == 1 {
				time.Sleep(pause)
			}
		}
		_, err := conn.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
}

func expectWholeStream(g *WithT, got answer) {
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.status).To(Equal(200))
	g.Expect(strings.Count(got.body, "data: ")).To(Equal(stalledStreamEvents))
	g.Expect(got.body).To(ContainSubstring("id: 6\n"))
}

// TestSilentStreamStaysAtAReachableServer guards against a stream that goes on at a second server while
// the first, which has only preempted it, still works on it.
func TestSilentStreamStaysAtAReachableServer(t *testing.T) {
	g := NewWithT(t)
	a := startTestServer(t, "a", streamWithPause(1700*time.Millisecond))
	b := startTestServer(t, "b", streamWithPause(1700*time.Millisecond))
	expectWholeStream(g, send(t, startGateway(t, newTable(t), a, b), "/resume/x"))
	g.Expect(a.requestCount()+b.requestCount()).To(Equal(1), "servers that received the request")
}

// TestSilentStreamOfALostServerIsResumed guards against callers that wait for a server that is gone without
// having closed its connections.
func TestSilentStreamOfALostServerIsResumed(t *testing.T) {
	g := NewWithT(t)
	var servers []*testServer
	for _, id := range []string{"a", "b"} {
		servers = append(servers, startTestServer(t, id, func(n int, conn net.Conn, r *http.Request) bool {
			if r.Header.Get("Last") != "" {
				return streamWithPause(0)(n, conn, r)
			}
			for _, s := range servers {
				if s.listener.Addr().String() == conn.LocalAddr().String() {
					_ = s.listener.Close()
				}
			}
			return streamWithPause(5*time.Second)(n, conn, r)
		}))
	}
	start := time.Now()
	expectWholeStream(g, send(t, startGateway(t, newTable(t), servers...), "/resume/x"))
	g.Expect(time.Since(start)).To(BeNumerically("<", 1800*time.Millisecond))
	g.Expect(servers[0].requestCount() + servers[1].requestCount()).To(Equal(2))
}

// TestUnansweredStreamStaysAtAReachableServer guards against a stream that is sent to a second server because
// the first, which works on it, has not sent an event for half of the time.
func TestUnansweredStreamStaysAtAReachableServer(t *testing.T) {
	g := NewWithT(t)
	slow := func(n int, conn net.Conn, r *http.Request) bool {
		time.Sleep(1500 * time.Millisecond)
		return streamWithPause(0)(n, conn, r)
	}
	a, b := startTestServer(t, "a", slow), startTestServer(t, "b", slow)
	expectWholeStream(g, send(t, startGateway(t, newTable(t), a, b), "/resume/x"))
	g.Expect(a.requestCount()+b.requestCount()).To(Equal(1), "servers that received the request")
}

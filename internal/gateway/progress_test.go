package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answerSlowly sends a body of a number of parts of a size, with a pause before each. It ends after the
// given number of parts.
func answerSlowly(conn net.Conn, r *http.Request, parts, size, sent int, pause time.Duration) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), parts*size)
	for range sent {
		time.Sleep(pause)
		if _, err := io.WriteString(conn, strings.Repeat("x", size)); err != nil {
			return
		}
	}
}

// TestSlowAnswerIsNotCutOff guards against an answer that is cut off although it arrives fast enough to
// end before the deadline, 2 s: a part of a large one has been forwarded, so no other server can answer.
func TestSlowAnswerIsNotCutOff(t *testing.T) {
	for name, size := range map[string]int{"forwarded as it arrives": 16 << 10, "buffered": 1 << 10} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			slow := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
				answerSlowly(conn, r, 20, size, 20, 70*time.Millisecond)
				return true
			})
			got := send(t, startGateway(t, newTable(t), slow), "/safe/x")
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.status).To(Equal(200))
			g.Expect(got.body).To(HaveLen(20 * size))
			g.Expect(slow.requestCount()).To(Equal(1))
		})
	}
}

// TestAnswerWithoutProgressIsRetried guards against a server that stops in a small answer, or is too slow
// for it, and keeps the request until its deadline.
func TestAnswerWithoutProgressIsRetried(t *testing.T) {
	for name, sent := range map[string]int{"stops at once": 0, "stops in the middle": 10, "is too slow": 3} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var servers []*testServer
			for _, id := range []string{"a", "b"} {
				servers = append(servers, startTestServer(t, id, func(_ int, conn net.Conn, r *http.Request) bool {
					if servers[0].requestCount()+servers[1].requestCount() > 1 {
						return answerOK(0, conn, r)
					}
					pause := 20 * time.Millisecond
					if name == "is too slow" {
						pause = 300 * time.Millisecond
					}
					answerSlowly(conn, r, 20, 100, sent, pause)
					time.Sleep(3 * time.Second)
					return false
				}))
			}
			got := send(t, startGateway(t, newTable(t), servers...), "/safe/x")
			g.Expect(got.status).To(Equal(200))
			g.Expect(got.body).To(Equal("whole"))
		})
	}
}

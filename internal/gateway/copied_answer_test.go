package gateway_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
)

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

package proxy

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/balance"
)

// earlyHeadEngine starts an engine that sends the head of its answer at once and
// its first token after wait returns. It returns the engine's address.
func earlyHeadEngine(wait func(r *http.Request)) string {
	beforeChunk := func(w http.ResponseWriter, r *http.Request, chunk int) {
		if chunk == 0 {
			_ = http.NewResponseController(w).Flush()
			wait(r)
		}
	}
	return httpServer((&engine{beforeChunk: beforeChunk}).serve)
}

var _ = Describe("A server that sends the head of a stream before the first event", func() {
	It("has its first-byte time measured at the first event", func() {
		const delay = 50 * time.Millisecond
		r := newTestProxy(longProgressTimeout, earlyHeadEngine(func(*http.Request) { time.Sleep(delay) }))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
		Eventually(r.dispatcher.firstResult).WithTimeout(waitTimeout).Should(HaveField("FirstByte", BeNumerically(">=", delay)))
	})

	It("is replaced by another server if the first event misses the deadline", func() {
		silent := earlyHeadEngine(func(r *http.Request) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		})
		r := newTestProxy(longProgressTimeout, silent, httpServer((&engine{}).serve))
		Expect(r.stream("hurried").text).To(Equal(tokensText(testTokens)))
		Expect(r.dispatcher.requests).To(HaveLen(2))
	})
})

// firstResult returns the result of the first released lease, or an empty one.
func (d *listDispatcher) firstResult() balance.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.results) == 0 {
		return balance.Result{}
	}
	return d.results[0]
}

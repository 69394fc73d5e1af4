package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

var _ = Describe("A draining proxy", func() {
	// sendCharge sends a POST request with a key and returns the channel of its reply.
	sendCharge := func(r *testProxy, key string) <-chan reply {
		replies := make(chan reply, 1)
		go func() {
			got, _ := r.call(context.Background(), http.MethodPost, "/services/gates/a", "charge",
				api.HeaderIdempotencyKey, key, api.HeaderRequestID, "id-"+key)
			replies <- got
		}()
		return replies
	}

	It("closes each connection after its answer once the drain is announced", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.proxy.AnnounceDrain(time.Now().Add(time.Minute))
		req, err := http.NewRequest(http.MethodGet, r.server.URL+"/services/gates/a", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+testToken)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
	})

	// Guards against a request of a kept connection that is admitted late and aborted by the shutdown.
	It("refuses requests after the last admission", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.proxy.AnnounceDrain(time.Now())
		refused := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(refused.errorOrEmpty().Code).To(Equal(api.CodeDraining))
		Expect(refused.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(server.requestCount()).To(BeZero())
	})

	It("releases the claims of requests that have not been dispatched", func() {
		r := newTestProxy(longProgressTimeout)
		r.dispatcher.blockAlways = true
		replies := sendCharge(r, "k")
		Eventually(func() bool { return r.claimer.holds("k") }).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(r.proxy.AbortRequests()).To(Equal([]string{"id-k"}))
		var got reply
		Eventually(replies).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeDraining))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.claimer.holds("k")).To(BeFalse())
	})

	It("keeps the claims of dispatched requests that it aborts", func() {
		dispatched, finish := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(finish) })
		server := newRawServer(func(net.Conn, int, int) bool {
			close(dispatched)
			<-finish
			return false
		})
		r := newTestProxy(longProgressTimeout, server.address())
		replies := sendCharge(r, "k")
		Eventually(dispatched).WithTimeout(waitTimeout).Should(BeClosed())
		r.proxy.AbortRequests()
		var got reply
		Eventually(replies).WithTimeout(waitTimeout).Should(Receive(&got))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.holds("k")).To(BeTrue())
		refused := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(refused.errorOrEmpty().Code).To(Equal(api.CodeDraining))
		Expect(refused.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
	})
})

package proxy

import (
	"context"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

var _ = Describe("A proxy that drains", func() {
	// inBackground sends a charge and returns the channel of its reply.
	inBackground := func(r *rig, key string) <-chan reply {
		replies := make(chan reply, 1)
		go func() {
			got, _ := r.call(context.Background(), http.MethodPost, "/services/gates/a", "charge",
				api.HeaderIdempotencyKey, key, api.HeaderRequestID, "id-"+key)
			replies <- got
		}()
		return replies
	}

	It("closes each connection with its answer once it has announced that", func() {
		server := newRawServer(answerFirstOnly)
		r := newRig(longProgress, server.address())
		r.proxy.AnnounceDrain()
		req, err := http.NewRequest(http.MethodGet, r.server.URL+"/services/gates/a", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+testToken)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
	})

	It("releases the claims of requests that have not been dispatched", func() {
		r := newRig(longProgress)
		r.dispatcher.full = true
		replies := inBackground(r, "k")
		Eventually(func() bool { return r.claimer.holds("k") }).WithTimeout(patience).Should(BeTrue())
		Expect(r.proxy.AbortRequests()).To(Equal([]string{"id-k"}))
		var got reply
		Eventually(replies).WithTimeout(patience).Should(Receive(&got))
		Expect(got.refusal().Code).To(Equal(api.CodeDraining))
		Expect(got.refusal().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.claimer.holds("k")).To(BeFalse())
	})

	It("keeps the claims of requests that it cuts off", func() {
		began, end := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(end) })
		server := newRawServer(func(net.Conn, int, int) bool {
			close(began)
			<-end
			return false
		})
		r := newRig(longProgress, server.address())
		replies := inBackground(r, "k")
		Eventually(began).WithTimeout(patience).Should(BeClosed())
		r.proxy.AbortRequests()
		var got reply
		Eventually(replies).WithTimeout(patience).Should(Receive(&got))
		Expect(got.refusal().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.holds("k")).To(BeTrue())
		refused := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(refused.refusal().Code).To(Equal(api.CodeDraining))
		Expect(refused.refusal().Outcome).To(Equal(api.OutcomeNotRun))
	})
})

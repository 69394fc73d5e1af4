package proxy

import (
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/httpx"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

var _ = Describe("A lease on a router of another failure domain", func() {
	It("forwards the caller's request unchanged but for the hop header", func() {
		requests := make(chan *http.Request, 1)
		router := httpServer(func(w http.ResponseWriter, r *http.Request) {
			requests <- r.Clone(r.Context())
			w.Header().Set(api.HeaderAffinity, "10.0.0.1:80#1")
			_, _ = w.Write([]byte("far"))
		})
		r := newTestProxy(longProgressTimeout)
		r.dispatcher.remote = router
		got := r.mustCall(http.MethodPost, "/services/gates/a%20b?lane=2", "charge", api.HeaderRequestID, "mine")
		Expect(got.body).To(Equal("far"))
		var sent *http.Request
		Expect(requests).To(Receive(&sent))
		Expect(sent.RequestURI).To(Equal("/services/gates/a%20b?lane=2"))
		Expect(sent.Header.Get("Authorization")).To(Equal("Bearer " + testToken))
		Expect(sent.Header.Get(api.HeaderHop)).To(Equal("1"))
		Expect(sent.Header.Get(api.HeaderRequestID)).To(Equal("mine"))
	})

	It("is not granted to requests that were already forwarded or hold a claim", func() {
		r := newTestProxy(longProgressTimeout)
		r.dispatcher.remote = closedAddress()
		for _, headers := range [][]string{{api.HeaderHop, "1"}, {api.HeaderIdempotencyKey, "k"}} {
			got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", headers...)
			Expect(got.errorOrEmpty().Code).To(Equal(api.CodeNoBackendServer))
			Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		}
	})

	It("reports the other router's not_run to the caller", func() {
		r := newTestProxy(longProgressTimeout)
		r.dispatcher.remote = httpServer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
	})
})

var _ = Describe("An overloaded router of another failure domain", func() {
	It("gets the request once, so that the refusal is not delayed", func() {
		var forwarded atomic.Int32
		r := newTestProxy(longProgressTimeout)
		r.dispatcher.remote = httpServer(func(w http.ResponseWriter, _ *http.Request) {
			forwarded.Add(1)
			httpx.WriteError(w, api.Errorf(api.CodeOverloaded, "full").NotRun())
		})
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeOverloaded))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(forwarded.Load()).To(Equal(int32(1)))
	})
})

var _ = Describe("A stored answer that was too large to keep", func() {
	It("is reported as run, with its digest", func() {
		r := newTestProxy(longProgressTimeout)
		r.claimer.answers["k"] = ledger.Answer{Status: http.StatusOK, BodyDigest: &ledger.Digest{0xab}}
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeAnswerNotKept))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeRan))
		Expect(got.errorOrEmpty().Message).To(ContainSubstring("ab00"))
	})
})

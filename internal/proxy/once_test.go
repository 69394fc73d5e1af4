package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// answerFirstOnly answers the first request of a connection. It reads the second
// one and closes the connection without an answer.
func answerFirstOnly(conn net.Conn, _, request int) bool {
	return request == 1 && writeRaw(conn, rawOK)
}

var _ = Describe("A connection that closes after the request was written", func() {
	// sendPlain sends a request with a client of net/http.
	sendPlain := func(client *http.Client, address, body, key string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte(body)))
		Expect(err).NotTo(HaveOccurred())
		if key != "" {
			req.Header.Set(api.HeaderIdempotencyKey, key)
		}
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}

	It("makes a plain http.Transport replay a request with a key", func() {
		server := newRawServer(answerFirstOnly)
		client := &http.Client{Transport: &http.Transport{}}
		sendPlain(client, server.address(), "first", "")
		sendPlain(client, server.address(), "charge", "k")
		Expect(server.requestCount()).To(Equal(3), "the charge must arrive twice")
	})

	DescribeTable("never makes the proxy replay the request", func(method, body string, headers ...string) {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		Expect(r.mustCall(method, "/services/gates/a", body).status).To(Equal(http.StatusOK))
		got := r.mustCall(method, "/services/gates/b", body, headers...)
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeBackendFailed))
		Expect(server.requestCount()).To(Equal(2))
		Expect(r.claimer.releases).To(BeZero())
	},
		Entry("POST", http.MethodPost, "charge"),
		Entry("POST with a key", http.MethodPost, "charge", api.HeaderIdempotencyKey, "k"),
		Entry("POST without a body", http.MethodPost, ""),
		Entry("PUT with a key and no body", http.MethodPut, "", api.HeaderIdempotencyKey, "k"),
		Entry("DELETE with a key and no body", http.MethodDelete, "", api.HeaderIdempotencyKey, "k"),
	)

	It("allows a retry of an idempotent request on the same server if there is no other", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.dispatcher.blockIfExcluded = true
		Expect(r.mustCall(http.MethodGet, "/services/gates/a", "").status).To(Equal(http.StatusOK))
		Expect(r.mustCall(http.MethodGet, "/services/gates/b", "").body).To(Equal("done"))
	})

	It("allows a retry of an idempotent request on another server", func() {
		server := newRawServer(answerFirstOnly)
		other := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address(), other.address())
		Expect(r.mustCall(http.MethodGet, "/services/gates/a", "").status).To(Equal(http.StatusOK))
		Expect(r.mustCall(http.MethodGet, "/services/gates/b", "").body).To(Equal("done"))
		Expect(server.requestCount()).To(Equal(2))
		Expect(other.requestCount()).To(Equal(1))
	})
})

var _ = Describe("A request that must not be repeated", func() {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}

	It("is sent to another server if no byte was written or the server reports not_run", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, closedAddress(), httpServer(refuse), server.address())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.body).To(Equal("done"))
		Expect(got.outcome).To(Equal(api.OutcomeRan))
	})

	It("records what servers state about further requests, and does not forward it", func() {
		pausing := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(api.HeaderRetryAfter, "1.5")
			refuse(w, r)
		}
		leaving := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderServerState, string(api.ServerDraining))
			w.Header().Set(api.HeaderRetryAfter, "9")
			_, _ = io.WriteString(w, "done")
		}
		r := newTestProxy(longProgressTimeout, httpServer(pausing), httpServer(leaving))
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.body).To(Equal("done"))
		Expect(r.dispatcher.pauses).To(Equal([]time.Duration{1500 * time.Millisecond}), "only a server that did not run the request asks for one")
		Expect(r.dispatcher.left).To(Equal(1))
		r.dispatcher.servers, r.dispatcher.remote = nil, httpServer(leaving)
		r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(r.dispatcher.left).To(Equal(1), "another router states nothing about its servers")
	})

	It("is not run if no server is reachable", func() {
		r := newTestProxy(longProgressTimeout, closedAddress())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.claimer.holds("k")).To(BeFalse())
		Expect(r.claimer.releases).To(Equal(1))
	})

	It("is not run if it gets no slot, and runs when it is sent again", func() {
		r := newTestProxy(longProgressTimeout)
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.claimer.releases).To(Equal(1))
		r.dispatcher.servers = []string{newRawServer(answerFirstOnly).address()}
		got = r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.outcome).To(Equal(api.OutcomeRan))
	})

	It("may have run if its claim cannot be released", func() {
		r := newTestProxy(longProgressTimeout, closedAddress())
		r.claimer.releaseErr = errors.New("no quorum")
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
	})

	It("is not retried after a progress timeout", func() {
		stall := make(chan struct{})
		DeferCleanup(func() { close(stall) })
		server := newRawServer(func(net.Conn, int, int) bool { <-stall; return false })
		other := newRawServer(answerFirstOnly)
		r := newTestProxy(shortProgressTimeout, server.address(), other.address())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeTimeout))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(server.requestCount()).To(Equal(1))
		Expect(other.requestCount()).To(BeZero())
	})

	It("may have run if its answer is truncated", func() {
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone")
			return false
		})
		r := newTestProxy(longProgressTimeout, server.address(), server.address())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(server.requestCount()).To(Equal(1))
	})

	It("is sent to the server with the caller's path unchanged", func() {
		paths := make(chan string, 1)
		address := httpServer(func(w http.ResponseWriter, r *http.Request) {
			paths <- r.RequestURI
			_, _ = io.WriteString(w, "done")
		})
		r := newTestProxy(longProgressTimeout, address)
		r.mustCall(http.MethodPost, "/services/gates/a%2Fb%3Fc/d%20e?lane=2", "charge")
		Expect(paths).To(Receive(Equal("/a%2Fb%3Fc/d%20e?lane=2")))
	})

	It("is not sent again after a redirect", func() {
		hits := atomic.Int32{}
		address := httpServer(func(w http.ResponseWriter, r *http.Request) {
			hits.Add(1)
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		})
		r := newTestProxy(longProgressTimeout, address)
		_, _ = r.call(context.Background(), http.MethodPost, "/services/gates/a", "charge")
		Expect(hits.Load()).To(Equal(int32(1)))
	})
})

var _ = Describe("A request with a key", func() {
	It("gets the stored answer when it is sent again", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		for range 2 {
			got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("done"))
			Expect(got.outcome).To(Equal(api.OutcomeRan))
		}
		Expect(server.requestCount()).To(Equal(1))
	})

	It("is answered even if the answer cannot be stored", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.claimer.completeErr = errors.New("no quorum")
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.body).To(Equal("done"))
		got = r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeClaimLost))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(server.requestCount()).To(Equal(1))
	})

	DescribeTable("is neither dispatched nor reported as not run if its claim is not granted", func(verdict ledger.Verdict, code api.Code) {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.claimer.verdict = verdict
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Code).To(Equal(code))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(server.requestCount()).To(BeZero())
	},
		Entry("held", ledger.VerdictHeld, api.CodeClaimLost),
		Entry("unavailable", ledger.VerdictUnavailable, api.CodeClaimUnavailable),
		Entry("expired", ledger.VerdictExpired, api.CodeKeyExpired),
		Entry("reused", ledger.VerdictReused, api.CodeKeyReused),
	)

	It("is discarded by the claimer even if its outcome stays unknown", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.mustCall(http.MethodPost, "/services/gates/a", "first", api.HeaderIdempotencyKey, "a")
		got := r.mustCall(http.MethodPost, "/services/gates/b", "second", api.HeaderIdempotencyKey, "b")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.forgotten).To(ContainElements(r.claimer.holders["a"], r.claimer.holders["b"]))
	})

	It("is not reported as not run if it is refused before its claim", func() {
		r := newTestProxy(longProgressTimeout)
		got := r.mustCall(http.MethodPost, "/services/none/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		got = r.mustCall(http.MethodPost, "/services/none/a", "charge")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
	})

	It("runs to its end when its caller disconnects", func() {
		dispatched, proceed := make(chan struct{}), make(chan struct{})
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			close(dispatched)
			<-proceed
			return writeRaw(conn, rawOK)
		})
		r := newTestProxy(longProgressTimeout, server.address())
		ctx, disconnect := context.WithCancel(context.Background())
		callErr := make(chan error, 1)
		go func() {
			_, err := r.call(ctx, http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
			callErr <- err
		}()
		Eventually(dispatched).WithTimeout(waitTimeout).Should(BeClosed())
		disconnect()
		Eventually(callErr).WithTimeout(waitTimeout).Should(Receive(HaveOccurred()))
		close(proceed)
		Eventually(func() string {
			got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
			return got.body
		}).WithTimeout(waitTimeout).Should(Equal("done"))
		Expect(server.requestCount()).To(Equal(1))
	})
})

var _ = Describe("Connections to a server that no longer answers", func() {
	It("are all closed after one progress timeout", func() {
		const opened = 2
		answering := make(chan struct{}, opened)
		proceed, finish := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(finish) })
		server := newRawServer(func(conn net.Conn, connection, request int) bool {
			if connection > opened {
				return writeRaw(conn, rawOK)
			}
			if request > 1 {
				<-finish
				return false
			}
			answering <- struct{}{}
			<-proceed
			return writeRaw(conn, rawOK)
		})
		r := newTestProxy(shortProgressTimeout, server.address())
		for range opened {
			go func() { _, _ = r.call(context.Background(), http.MethodPost, chatPath, chatBody("patient", false)) }()
		}
		for range opened {
			Eventually(answering).WithTimeout(waitTimeout).Should(Receive())
		}
		close(proceed)
		Eventually(r.proxy.activeCalls.ids).WithTimeout(waitTimeout).Should(BeEmpty())
		Expect(r.mustCall(http.MethodGet, "/services/gates/b", "").body).To(Equal("done"))
		Expect(server.requestCount()).To(Equal(opened+2), "one request timed out, the next one opened a connection")
	})
})

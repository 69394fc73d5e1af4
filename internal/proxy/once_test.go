package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// answerFirstOnly answers the first request of a connection and closes the
// connection on the second after reading it.
func answerFirstOnly(conn net.Conn, _, request int) bool {
	return request == 1 && writeRaw(conn, rawOK)
}

var _ = Describe("A connection that dies after the request was written", func() {
	// sendPlain sends a request the way net/http does by itself.
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

	It("makes a plain transport replay a request with a key, so the trap is real", func() {
		server := newRawServer(answerFirstOnly)
		client := &http.Client{Transport: &http.Transport{}}
		sendPlain(client, server.address(), "first", "")
		sendPlain(client, server.address(), "charge", "k")
		Expect(server.requestCount()).To(Equal(3), "the charge is written twice")
	})

	DescribeTable("never makes the proxy replay", func(method, body string, headers ...string) {
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

	It("lets an idempotent request go to the same server where there is no other", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.dispatcher.blockIfExcluded = true
		Expect(r.mustCall(http.MethodGet, "/services/gates/a", "").status).To(Equal(http.StatusOK))
		Expect(r.mustCall(http.MethodGet, "/services/gates/b", "").body).To(Equal("done"))
	})

	It("lets an idempotent request go on at another server", func() {
		server := newRawServer(answerFirstOnly)
		other := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address(), other.address())
		Expect(r.mustCall(http.MethodGet, "/services/gates/a", "").status).To(Equal(http.StatusOK))
		Expect(r.mustCall(http.MethodGet, "/services/gates/b", "").body).To(Equal("done"))
		Expect(server.requestCount()).To(Equal(2))
		Expect(other.requestCount()).To(Equal(1))
	})
})

var _ = Describe("A request that may not be repeated", func() {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	}

	It("goes to another server while no byte was written", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, closedAddress(), httpServer(refuse), server.address())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.body).To(Equal("done"))
		Expect(got.outcome).To(Equal(api.OutcomeRan))
	})

	It("is not run where no server could be reached", func() {
		r := newTestProxy(longProgressTimeout, closedAddress())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.claimer.holds("k")).To(BeFalse())
		Expect(r.claimer.releases).To(Equal(1))
	})

	It("is not run, and runs on a resend, where it got no slot", func() {
		r := newTestProxy(longProgressTimeout)
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(r.claimer.releases).To(Equal(1))
		r.dispatcher.servers = []string{newRawServer(answerFirstOnly).address()}
		got = r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.outcome).To(Equal(api.OutcomeRan))
	})

	It("is unknown where its claim could not be released", func() {
		r := newTestProxy(longProgressTimeout, closedAddress())
		r.claimer.releaseErr = errors.New("no quorum")
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
	})

	It("is not run twice by a server that stalls", func() {
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

	It("is unknown where its answer is cut short", func() {
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone")
			return false
		})
		r := newTestProxy(longProgressTimeout, server.address(), server.address())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(server.requestCount()).To(Equal(1))
	})

	It("reaches the server with its path as the caller wrote it", func() {
		paths := make(chan string, 1)
		address := httpServer(func(w http.ResponseWriter, r *http.Request) {
			paths <- r.RequestURI
			_, _ = io.WriteString(w, "done")
		})
		r := newTestProxy(longProgressTimeout, address)
		r.mustCall(http.MethodPost, "/services/gates/a%2Fb%3Fc/d%20e?lane=2", "charge")
		Expect(paths).To(Receive(Equal("/a%2Fb%3Fc/d%20e?lane=2")))
	})

	It("is never retried after a redirect", func() {
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
	It("gets the stored answer on a resend", func() {
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

	It("answers its caller where the answer could not be stored", func() {
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

	DescribeTable("is never dispatched, nor called not run, without a grant", func(verdict ledger.Verdict, code api.Code) {
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

	It("is forgotten by the claimer, also where its outcome stays unknown", func() {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		r.mustCall(http.MethodPost, "/services/gates/a", "first", api.HeaderIdempotencyKey, "a")
		got := r.mustCall(http.MethodPost, "/services/gates/b", "second", api.HeaderIdempotencyKey, "b")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.forgotten).To(ContainElements(r.claimer.holders["a"], r.claimer.holders["b"]))
	})

	It("is not called not run where it is refused before its claim", func() {
		r := newTestProxy(longProgressTimeout)
		got := r.mustCall(http.MethodPost, "/services/none/a", "charge", api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		got = r.mustCall(http.MethodPost, "/services/none/a", "charge")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
	})

	It("runs to its end when its caller leaves", func() {
		began, goOn := make(chan struct{}), make(chan struct{})
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			close(began)
			<-goOn
			return writeRaw(conn, rawOK)
		})
		r := newTestProxy(longProgressTimeout, server.address())
		ctx, leave := context.WithCancel(context.Background())
		left := make(chan error, 1)
		go func() {
			_, err := r.call(ctx, http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
			left <- err
		}()
		Eventually(began).WithTimeout(waitTimeout).Should(BeClosed())
		leave()
		Eventually(left).WithTimeout(waitTimeout).Should(Receive(HaveOccurred()))
		close(goOn)
		Eventually(func() string {
			got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderIdempotencyKey, "k")
			return got.body
		}).WithTimeout(waitTimeout).Should(Equal("done"))
		Expect(server.requestCount()).To(Equal(1))
	})
})

var _ = Describe("Connections that went silent", func() {
	It("are all given up after one progress timeout", func() {
		const opened = 2
		both := make(chan struct{}, opened)
		goOn, end := make(chan struct{}), make(chan struct{})
		DeferCleanup(func() { close(end) })
		server := newRawServer(func(conn net.Conn, connection, request int) bool {
			if connection > opened {
				return writeRaw(conn, rawOK)
			}
			if request > 1 {
				<-end
				return false
			}
			both <- struct{}{}
			<-goOn
			return writeRaw(conn, rawOK)
		})
		r := newTestProxy(shortProgressTimeout, server.address())
		for range opened {
			go func() { _, _ = r.call(context.Background(), http.MethodPost, chatPath, chatBody("patient", false)) }()
		}
		for range opened {
			Eventually(both).WithTimeout(waitTimeout).Should(Receive())
		}
		close(goOn)
		Eventually(r.proxy.activeCalls.ids).WithTimeout(waitTimeout).Should(BeEmpty())
		Expect(r.mustCall(http.MethodGet, "/services/gates/b", "").body).To(Equal("done"))
		Expect(server.requestCount()).To(Equal(opened+2), "one request was swallowed, the next opened a connection")
	})
})

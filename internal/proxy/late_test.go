package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// runTime is how long a repeating server runs a charge.
const runTime = 30 * time.Millisecond

// repeatingServer is a backend server that refuses its first requests and runs the others.
// Once it has read a request, it first sends copies of the connection's previous answer.
type repeatingServer struct {
	*rawServer
	// refusals is the number of requests to refuse, copies the number of copies.
	refusals, copies int
	// echoes is set if answers carry the request's send ID.
	echoes bool
	// writeCopy writes a copy of an answer.
	writeCopy func(conn net.Conn, answer string)

	mu       sync.Mutex
	runs     map[string]int
	previous map[int]string
}

func newRepeatingServer(refusals, copies int) *repeatingServer {
	s := &repeatingServer{refusals: refusals, copies: copies, echoes: true, runs: map[string]int{}, previous: map[int]string{}}
	s.writeCopy = func(conn net.Conn, answer string) { writeRaw(conn, answer) }
	s.rawServer = newRequestServer(s.serve)
	return s
}

func (s *repeatingServer) serve(conn net.Conn, r *http.Request, connection, _ int) bool {
	s.mu.Lock()
	previous := s.previous[connection]
	refuse := s.refusals > 0
	s.refusals--
	s.mu.Unlock()
	if previous != "" {
		for range s.copies {
			s.writeCopy(conn, previous)
		}
	}
	answer := s.refusal(r)
	if !refuse {
		answer = s.run(r)
	}
	s.mu.Lock()
	s.previous[connection] = answer
	s.mu.Unlock()
	return writeRaw(conn, answer)
}

// run counts and runs a charge, which is named by its key or its request ID.
func (s *repeatingServer) run(r *http.Request) string {
	body, _ := io.ReadAll(r.Body)
	name := r.Header.Get(api.HeaderIdempotencyKey)
	if name == "" {
		name = r.Header.Get(api.HeaderRequestID)
	}
	s.mu.Lock()
	s.runs[name]++
	s.mu.Unlock()
	time.Sleep(runTime)
	return s.format(r, "200 OK", "ran "+string(body), "")
}

func (s *repeatingServer) refusal(r *http.Request) string {
	return s.format(r, "503 Service Unavailable", "refused", fmt.Sprintf("%s: %s\r\n%s: 2\r\n%s: %s\r\n",
		api.HeaderOutcome, api.OutcomeNotRun, api.HeaderRetryAfter, api.HeaderServerState, api.ServerDraining))
}

func (s *repeatingServer) format(r *http.Request, status, body, lines string) string {
	if s.echoes {
		lines += api.HeaderSendID + ": " + r.Header.Get(api.HeaderSendID) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), lines, body)
}

func (s *repeatingServer) runsOf(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[name]
}

// expectOneRun expects a charge to have run once, also after the time in which requests that
// the servers have received may still begin to run.
func expectOneRun(name string, servers ...*repeatingServer) {
	GinkgoHelper()
	runs := func() int {
		runs := 0
		for _, server := range servers {
			runs += server.runsOf(name)
		}
		return runs
	}
	Eventually(runs).Should(Equal(1), "the answer may precede the run")
	Consistently(runs).WithTimeout(4 * runTime).Should(Equal(1))
}

// charge sends the charge of a key, whose body is the key.
func (r *testProxy) charge(key string) reply {
	GinkgoHelper()
	return r.mustCall(http.MethodPost, "/services/gates/a", key, api.HeaderIdempotencyKey, key)
}

// chargeUntilRun sends the charge of a key again while the answer allows it.
func (r *testProxy) chargeUntilRun(key string) reply {
	GinkgoHelper()
	got := r.charge(key)
	for range 3 {
		if got.outcome == api.OutcomeRan {
			break
		}
		got = r.charge(key)
	}
	return got
}

var _ = Describe("A copy of a server's earlier answer that arrives once the next request was written", func() {
	DescribeTable("of a refusal, does not refuse the same charge sent again", func(copies int, echoes bool) {
		server := newRepeatingServer(1, copies)
		server.echoes = echoes
		r := newTestProxy(longProgressTimeout, server.address())
		got := r.chargeUntilRun("k")
		Expect(got.outcome).To(Equal(api.OutcomeRan))
		Expect(got.body).To(Equal("ran k"))
		Expect(r.claimer.releases).To(BeZero())
		expectOneRun("k", server)
	},
		Entry("once", 1, true),
		Entry("twice", 2, true),
		Entry("by a server that echoes no send ID", 1, false),
	)

	DescribeTable("of a refusal, does not refuse another charge", func(echoes bool) {
		server, other := newRepeatingServer(1, 1), newRepeatingServer(0, 0)
		server.echoes = echoes
		r := newTestProxy(longProgressTimeout, server.address(), other.address())
		Expect(r.chargeUntilRun("a").body).To(Equal("ran a"))
		Expect(r.chargeUntilRun("b").body).To(Equal("ran b"))
		expectOneRun("b", server, other)
		Expect(r.dispatcher.pauses).To(HaveLen(1), "a copy states nothing")
		Expect(r.dispatcher.left).To(Equal(1), "a copy states nothing")
	},
		Entry("by a server that echoes the send ID", true),
		Entry("by a server that echoes no send ID", false),
	)

	DescribeTable("of a charge's answer, is not stored under another key", func(echoes bool) {
		server := newRepeatingServer(0, 1)
		server.echoes = echoes
		r := newTestProxy(longProgressTimeout, server.address())
		for _, key := range []string{"a", "b", "c", "b"} {
			got := r.charge(key)
			Expect(got.outcome).To(Equal(api.OutcomeRan))
			Expect(got.body).To(Equal("ran " + key))
		}
		expectOneRun("b", server)
	},
		Entry("by a server that echoes the send ID", true),
		Entry("by a server that echoes no send ID", false),
	)

	DescribeTable("never makes a charge run twice", func(copies int, writeCopy func(conn net.Conn, answer string)) {
		server := newRepeatingServer(1, copies)
		server.writeCopy = writeCopy
		r := newTestProxy(longProgressTimeout, server.address())
		got := r.chargeUntilRun("k")
		Expect(got.errorOrEmpty().Outcome).NotTo(Equal(api.OutcomeNotRun))
		Expect(r.claimer.releases).To(BeZero())
		Expect(r.claimer.holds("k")).To(BeTrue())
		expectOneRun("k", server)
	},
		Entry("in pieces", 1, func(conn net.Conn, answer string) {
			for _, piece := range strings.SplitAfter(answer, "e") {
				writeRaw(conn, piece)
				time.Sleep(time.Millisecond)
			}
		}),
		Entry("after an interim answer", 1, func(conn net.Conn, answer string) {
			writeRaw(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer)
		}),
		Entry("more often than the router skips answers", 5, func(conn net.Conn, answer string) { writeRaw(conn, answer) }),
		Entry("longer than the router skips answers", 1, func(conn net.Conn, answer string) {
			head, _, _ := strings.Cut(answer, "Content-Length: ")
			_, lines, _ := strings.Cut(answer, "\r\n"+api.HeaderOutcome)
			lines, _, _ = strings.Cut(lines, "\r\n\r\n")
			const size = 1 << 20
			writeRaw(conn, fmt.Sprintf("%sContent-Length: %d\r\n%s%s\r\n\r\n%s", head, size, api.HeaderOutcome, lines, strings.Repeat("x", size)))
		}),
		Entry("without a length", 1, func(conn net.Conn, answer string) {
			head, _, _ := strings.Cut(answer, "Content-Length: ")
			_, lines, _ := strings.Cut(answer, "\r\n"+api.HeaderOutcome)
			writeRaw(conn, head+api.HeaderOutcome+lines)
		}),
	)

	It("is counted and leaves the connection in use", func() {
		server := newRepeatingServer(0, 2)
		r := newTestProxy(longProgressTimeout, server.address())
		before := unmatchedAnswers.Get()
		r.charge("a")
		r.charge("b")
		Expect(unmatchedAnswers.Get() - before).To(Equal(uint64(2)))
		Expect(server.connCount()).To(Equal(1))
	})

	It("of another router's refusal, does not refuse a forwarded charge", func() {
		server := newRepeatingServer(1, 1)
		r := newTestProxy(longProgressTimeout)
		r.dispatcher.remote = server.address()
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderRequestID, "id")
		Expect(got.body).To(Equal("ran charge"))
		Expect(got.outcome).To(Equal(api.OutcomeRan))
		expectOneRun("id", server)
	})
})

var _ = Describe("A copy of an answer that arrives before the next request", func() {
	It("is not its answer", func() {
		server := newRequestServer(func(conn net.Conn, r *http.Request, _, _ int) bool {
			body, _ := io.ReadAll(r.Body)
			answer := strings.NewReplacer(sendIDMark, r.Header.Get(api.HeaderSendID), "done", string(body)).Replace(rawOK)
			return writeRaw(conn, strings.Repeat(answer, 2))
		})
		r := newTestProxy(longProgressTimeout, server.address())
		for _, key := range []string{"key1", "key2", "key3"} {
			Expect(r.charge(key).body).To(Equal(key))
		}
		Expect(server.requestCount()).To(Equal(3))
	})
})

var _ = Describe("A server that does not echo send IDs", func() {
	It("gets each request on a connection of its own", func() {
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			return writeRaw(conn, strings.Replace(rawOK, api.HeaderSendID+": "+sendIDMark+"\r\n", "", 1))
		})
		r := newTestProxy(longProgressTimeout, server.address())
		for range 3 {
			Expect(r.mustCall(http.MethodGet, "/services/gates/a", "").body).To(Equal("done"))
		}
		Expect(server.connCount()).To(Equal(3))
	})

	It("is not believed if it answers another send on a new connection", func() {
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			writeRaw(conn, strings.Replace(rawOK, sendIDMark, "another", 1))
			return false
		})
		r := newTestProxy(longProgressTimeout, server.address())
		Expect(r.charge("k").errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.holds("k")).To(BeTrue())
	})

	It("is not believed if it echoed them before on the connection", func() {
		server := newRawServer(func(conn net.Conn, _, request int) bool {
			if request == 1 {
				return writeRaw(conn, rawOK)
			}
			writeRaw(conn, "HTTP/1.1 503 Service Unavailable\r\n"+api.HeaderOutcome+": not_run\r\nContent-Length: 0\r\n\r\n")
			return false
		})
		r := newTestProxy(longProgressTimeout, server.address())
		Expect(r.charge("a").body).To(Equal("done"))
		Expect(r.charge("b").errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.holds("b")).To(BeTrue())
		Expect(server.requestCount()).To(Equal(2))
	})
})

var _ = Describe("A send ID", func() {
	It("differs for each send of a request and is not the caller's", func() {
		var ids []string
		var mu sync.Mutex
		refuse := func(conn net.Conn, r *http.Request, _, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, r.Header.Get(api.HeaderSendID))
			return writeRaw(conn, "HTTP/1.1 503 Service Unavailable\r\n"+api.HeaderOutcome+": not_run\r\nContent-Length: 0\r\n\r\n")
		}
		r := newTestProxy(longProgressTimeout, newRequestServer(refuse).address())
		r.dispatcher.remote = newRequestServer(refuse).address()
		for range 2 {
			r.mustCall(http.MethodPost, "/services/gates/a", "charge", api.HeaderSendID, "caller")
		}
		mu.Lock()
		defer mu.Unlock()
		Expect(len(ids)).To(BeNumerically(">=", 4))
		Expect(slices.Compact(slices.Sorted(slices.Values(ids)))).To(HaveLen(len(ids)))
		Expect(ids).NotTo(ContainElements("caller"))
		Expect(ids).NotTo(ContainElements(""))
	})

	DescribeTable("is echoed by the router in each answer", func(path string, status int) {
		r := newTestProxy(longProgressTimeout, newRawServer(answerFirstOnly).address())
		req, err := http.NewRequest(http.MethodPost, r.server.URL+path, strings.NewReader("charge"))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+testToken)
		req.Header.Set(api.HeaderSendID, "mine")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Values(api.HeaderSendID)).To(Equal([]string{"mine"}))
	},
		Entry("of a server", "/services/gates/a", http.StatusOK),
		Entry("that refuses", "/services/none/a", http.StatusNotFound),
	)
})

package proxy

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

const testTokens = 6

func token(i int) string { return fmt.Sprintf("t%d ", i) }

func tokensText(count int) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(token(i))
	}
	return text.String()
}

// engine is a stand-in engine of which each step can be spoilt.
type engine struct {
	// canResume says that the engine honours the resume offset.
	canResume bool
	// firstToken is the number in the engine's firstToken token.
	firstToken int
	// stopAfter breaks the stream off after that many chunks; zero never.
	stopAfter int
	// beforeChunk runs before each chunk.
	beforeChunk func(w http.ResponseWriter, r *http.Request, chunk int)
	// omitEnd leaves out the explicit end.
	omitEnd bool
	// delayClose ends the response some time after the explicit end.
	delayClose   bool
	requests     atomic.Int32
	resumeOffset atomic.Int32
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.requests.Add(1)
	w.Header().Set("Content-Type", mediaTypeEventStream)
	start := 0
	if header := r.Header.Get(api.HeaderResumeOffset); header != "" && e.canResume {
		start, _ = strconv.Atoi(header)
		e.resumeOffset.Store(int32(start))
		w.Header().Set(api.HeaderResumeOffset, header)
	}
	for i := start; i < testTokens; i++ {
		if e.stopAfter > 0 && i-start == e.stopAfter {
			panic(http.ErrAbortHandler)
		}
		if e.beforeChunk != nil {
			e.beforeChunk(w, r, i)
		}
		writeChunk(w, r.Header.Get(api.HeaderRequestID), token(e.firstToken+i))
	}
	if !e.omitEnd {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", api.StreamEnd)
		_ = http.NewResponseController(w).Flush()
	}
	if e.delayClose {
		time.Sleep(20 * time.Millisecond)
	}
}

func writeChunk(w http.ResponseWriter, id, text string) {
	raw, _ := json.Marshal(&api.ChatChunk{ID: id, Choices: []api.ChatChunkChoice{{Delta: api.ChatMessage{Content: text}}}})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}

// streamReply is what a caller got of a stream.
type streamReply struct {
	text   string
	ended  bool
	apiErr *api.Error
}

func (s streamReply) errorOrEmpty() *api.Error { return errorOrEmpty(s.apiErr) }

func readStream(body string) streamReply {
	out := streamReply{}
	for _, event := range strings.Split(body, "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "" {
			continue
		}
		Expect(out.ended).To(BeFalse(), "nothing follows the end")
		if data == api.StreamEnd {
			out.ended = true
			continue
		}
		chunk, apiErr, err := decodeEvent([]byte(data))
		Expect(err).NotTo(HaveOccurred())
		out.text += chunkText(chunk)
		if apiErr != nil {
			out.apiErr, out.ended = apiErr, true
		}
	}
	return out
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"habari"}]}`, model, stream)
}

func (r *testProxy) stream(model string, headers ...string) streamReply {
	GinkgoHelper()
	got := r.mustCall(http.MethodPost, chatPath, chatBody(model, true), headers...)
	Expect(got.status).To(Equal(http.StatusOK), got.body)
	out := readStream(got.body)
	Expect(out.ended).To(BeTrue(), "the stream just stopped")
	return out
}

var _ = Describe("A stream", func() {
	It("is passed on up to its end", func() {
		r := newTestProxy(longProgressTimeout, httpServer((&engine{}).serve))
		Expect(r.stream("chat")).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	})

	It("goes on at its offset on another server", func() {
		second := &engine{canResume: true}
		r := newTestProxy(longProgressTimeout, httpServer((&engine{stopAfter: 4}).serve), httpServer(second.serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
		Expect(second.resumeOffset.Load()).To(Equal(int32(4)))
		Expect(r.dispatcher.requests[1].NoOverflow).To(BeTrue())
	})

	It("is restarted without the tokens sent, where generation is deterministic", func() {
		r := newTestProxy(longProgressTimeout, httpServer((&engine{stopAfter: 4}).serve), httpServer((&engine{}).serve))
		Expect(r.stream("exact")).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	})

	It("goes on over several failures", func() {
		r := newTestProxy(longProgressTimeout, httpServer((&engine{stopAfter: 1}).serve),
			httpServer((&engine{canResume: true, stopAfter: 2}).serve), httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})

	It("goes on while each server gets it further", func() {
		servers := []string{httpServer((&engine{stopAfter: 1}).serve)}
		for range testTokens {
			servers = append(servers, httpServer((&engine{canResume: true, stopAfter: 1}).serve))
		}
		r := newTestProxy(longProgressTimeout, servers...)
		Expect(r.stream("chat")).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	})

	DescribeTable("ends with an explicit error", func(model string, second *engine, code api.Code) {
		servers := []string{httpServer((&engine{stopAfter: 4}).serve)}
		if second != nil {
			servers = append(servers, httpServer(second.serve))
		}
		r := newTestProxy(longProgressTimeout, servers...)
		got := r.stream(model)
		Expect(got.errorOrEmpty().Code).To(Equal(code))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(got.text).To(Equal(tokensText(4)))
	},
		Entry("no server can resume", "chat", &engine{}, api.CodeStreamBroken),
		Entry("a restart differs", "exact", &engine{firstToken: 1}, api.CodeStreamBroken),
		Entry("the request may not be repeated", "summary", &engine{canResume: true}, api.CodeStreamBroken),
		Entry("every server breaks", "exact", &engine{stopAfter: 2}, api.CodeStreamBroken),
	)

	It("that stops without its end goes on elsewhere", func() {
		r := newTestProxy(longProgressTimeout, httpServer((&engine{omitEnd: true}).serve), httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat")).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	})

	It("drops and counts chunks of other requests", func() {
		before := lateAnswers.Get()
		mixed := &engine{beforeChunk: func(w http.ResponseWriter, _ *http.Request, chunk int) {
			if chunk%2 == 0 {
				writeChunk(w, "another", "late ")
			}
		}}
		r := newTestProxy(longProgressTimeout, httpServer(mixed.serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
		Expect(lateAnswers.Get() - before).To(Equal(uint64(testTokens / 2)))
	})

	It("that stalls goes on elsewhere", func() {
		stalled := &engine{beforeChunk: func(_ http.ResponseWriter, r *http.Request, chunk int) {
			if chunk == 3 {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}}
		r := newTestProxy(shortProgressTimeout, httpServer(stalled.serve), httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})

	It("does not count another request's chunks as progress", func() {
		otherRequestsOnly := &engine{beforeChunk: func(w http.ResponseWriter, r *http.Request, chunk int) {
			for chunk == 3 && r.Context().Err() == nil {
				writeChunk(w, "another", "late ")
				time.Sleep(shortProgressTimeout / 10)
			}
		}}
		r := newTestProxy(shortProgressTimeout, httpServer(otherRequestsOnly.serve), httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})

	It("that an error event ends goes on elsewhere", func() {
		failing := httpServer(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", mediaTypeEventStream)
			writeChunk(w, r.Header.Get(api.HeaderRequestID), token(0))
			raw, _ := json.Marshal(&api.ErrorBody{Error: api.Errorf(api.CodeInternal, "out of memory")})
			_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
		})
		r := newTestProxy(longProgressTimeout, failing, httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})

	It("is canceled at the server when its caller leaves", func() {
		reached, canceled := make(chan struct{}), make(chan struct{})
		slow := httpServer((&engine{beforeChunk: func(_ http.ResponseWriter, r *http.Request, chunk int) {
			if chunk == 2 {
				close(reached)
				<-r.Context().Done()
				close(canceled)
				panic(http.ErrAbortHandler)
			}
		}}).serve)
		r := newTestProxy(longProgressTimeout, slow)
		ctx, leave := context.WithCancel(context.Background())
		go func() { _, _ = r.call(ctx, http.MethodPost, chatPath, chatBody("chat", true)) }()
		Eventually(reached).WithTimeout(waitTimeout).Should(BeClosed())
		leave()
		Eventually(canceled).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("leaves its connection for the next one", func() {
		var opened atomic.Int32
		server := httptest.NewUnstartedServer(http.HandlerFunc((&engine{delayClose: true}).serve))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		r := newTestProxy(longProgressTimeout, strings.TrimPrefix(server.URL, "http://"))
		for range 5 {
			r.stream("chat")
		}
		Expect(opened.Load()).To(Equal(int32(1)))
	})

	It("under a key is stored and sent again whole", func() {
		e := &engine{}
		r := newTestProxy(longProgressTimeout, httpServer(e.serve))
		for range 2 {
			got := r.stream("summary", api.HeaderIdempotencyKey, "k")
			Expect(got).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
		}
		Expect(e.requests.Load()).To(Equal(int32(1)))
	})
})

var _ = Describe("A whole answer", func() {
	whole := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			own := r.Header.Get(api.HeaderRequestID)
			w.Header().Set("Content-Type", mediaTypeJSON)
			_ = json.NewEncoder(w).Encode(&api.ChatResponse{ID: cmp.Or(id, own), Model: "m"})
		}
	}
	cutShort := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", mediaTypeJSON)
		_, _ = w.Write([]byte(`{"id":"x","choi`))
	}
	failing := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "sorry", http.StatusInternalServerError) }

	DescribeTable("comes from another server", func(first http.HandlerFunc) {
		r := newTestProxy(longProgressTimeout, httpServer(first), httpServer(whole("")))
		got := r.mustCall(http.MethodPost, chatPath, chatBody("chat", false), api.HeaderRequestID, "mine")
		Expect(got.body).To(ContainSubstring(`"id":"mine"`))
	},
		Entry("where the first is cut short", http.HandlerFunc(cutShort)),
		Entry("where the first belongs to another request", whole("another")),
		Entry("where the first server failed", http.HandlerFunc(failing)),
	)

	DescribeTable("is an explicit error where no other server is left", func(only http.HandlerFunc) {
		r := newTestProxy(longProgressTimeout, httpServer(only))
		got := r.mustCall(http.MethodPost, chatPath, chatBody("chat", false))
		Expect(got.status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(got.outcome).To(Equal(api.OutcomeMayHaveRun))
	},
		Entry("cut short", http.HandlerFunc(cutShort)),
		Entry("of another request", whole("another")),
		Entry("a failed server", http.HandlerFunc(failing)),
	)

	It("spends no more retries than the budget has", func() {
		asked := atomic.Int32{}
		overloaded := httpServer(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			failing(w, r)
		})
		r := newTestProxy(longProgressTimeout, overloaded)
		// The budget is 10 retries, 10% of the requests and 0.5 a second.
		const requests, allowed = 300, 10 + 30 + 30
		for range requests {
			r.mustCall(http.MethodPost, chatPath, chatBody("chat", false))
		}
		Expect(asked.Load()).To(BeNumerically("<=", requests+allowed))
	})
})

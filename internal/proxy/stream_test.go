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

// engine is a fake inference engine whose stream can be made to fail at each step.
type engine struct {
	// canResume is set if the engine honours the resume offset.
	canResume bool
	// firstToken is the number of the engine's first token.
	firstToken int
	// abortAfterChunks aborts the stream after that many chunks; zero never does.
	abortAfterChunks int
	// beforeChunk runs before each chunk.
	beforeChunk func(w http.ResponseWriter, r *http.Request, chunk int)
	// omitEnd omits the explicit end of the stream.
	omitEnd bool
	// delayClose delays the end of the response after the explicit end.
	delayClose   bool
	requests     atomic.Int32
	resumeOffset atomic.Int32
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.requests.Add(1)
	w.Header().Set("Content-Type", mediaTypeEventStream)
	w.Header().Set(api.HeaderSendID, r.Header.Get(api.HeaderSendID))
	start := 0
	if header := r.Header.Get(api.HeaderResumeOffset); header != "" && e.canResume {
		start, _ = strconv.Atoi(header)
		e.resumeOffset.Store(int32(start))
		w.Header().Set(api.HeaderResumeOffset, header)
	}
	for i := start; i < testTokens; i++ {
		if e.abortAfterChunks > 0 && i-start == e.abortAfterChunks {
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

// streamReply is the stream that a caller received.
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
		Expect(out.ended).To(BeFalse(), "an event follows the end of the stream")
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
	Expect(out.ended).To(BeTrue(), "the stream has no explicit end")
	return out
}

var _ = Describe("A stream", func() {
	It("is relayed up to its end", func() {
		r := newTestProxy(longProgressTimeout, httpServer((&engine{}).serve))
		Expect(r.stream("chat")).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	})

	It("is resumed at its offset on another server", func() {
		secondEngine := &engine{canResume: true}
		r := newTestProxy(longProgressTimeout, httpServer((&engine{abortAfterChunks: 4}).serve), httpServer(secondEngine.serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
		Expect(secondEngine.resumeOffset.Load()).To(Equal(int32(4)))
		Expect(r.dispatcher.requests[1].NoOverflow).To(BeTrue())
	})

	It("is restarted without the tokens already sent if generation is deterministic", func() {
		r := newTestProxy(longProgressTimeout, httpServer((&engine{abortAfterChunks: 4}).serve), httpServer((&engine{}).serve))
		Expect(r.stream("exact")).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	})

	It("is resumed after several failures", func() {
		r := newTestProxy(longProgressTimeout, httpServer((&engine{abortAfterChunks: 1}).serve),
			httpServer((&engine{canResume: true, abortAfterChunks: 2}).serve), httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})

	It("is resumed as long as each server makes progress", func() {
		servers := []string{httpServer((&engine{abortAfterChunks: 1}).serve)}
		for range testTokens {
			servers = append(servers, httpServer((&engine{canResume: true, abortAfterChunks: 1}).serve))
		}
		r := newTestProxy(longProgressTimeout, servers...)
		Expect(r.stream("chat")).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	})

	DescribeTable("ends with an explicit error", func(model string, second *engine, code api.Code) {
		servers := []string{httpServer((&engine{abortAfterChunks: 4}).serve)}
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
		Entry("the restarted stream differs", "exact", &engine{firstToken: 1}, api.CodeStreamBroken),
		Entry("the request must not be repeated", "summary", &engine{canResume: true}, api.CodeStreamBroken),
		Entry("every server breaks the stream off", "exact", &engine{abortAfterChunks: 2}, api.CodeStreamBroken),
	)

	It("that stops without its end is resumed on another server", func() {
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

	It("that stalls is resumed on another server", func() {
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
		foreignChunks := &engine{beforeChunk: func(w http.ResponseWriter, r *http.Request, chunk int) {
			for chunk == 3 && r.Context().Err() == nil {
				writeChunk(w, "another", "late ")
				time.Sleep(shortProgressTimeout / 10)
			}
		}}
		r := newTestProxy(shortProgressTimeout, httpServer(foreignChunks.serve), httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})

	It("that ends with an error event is resumed on another server", func() {
		failing := httpServer(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", mediaTypeEventStream)
			writeChunk(w, r.Header.Get(api.HeaderRequestID), token(0))
			raw, _ := json.Marshal(&api.ErrorBody{Error: api.Errorf(api.CodeInternal, "out of memory")})
			_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
		})
		r := newTestProxy(longProgressTimeout, failing, httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})

	It("is canceled at the server when its caller disconnects", func() {
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
		ctx, disconnect := context.WithCancel(context.Background())
		go func() { _, _ = r.call(ctx, http.MethodPost, chatPath, chatBody("chat", true)) }()
		Eventually(reached).WithTimeout(waitTimeout).Should(BeClosed())
		disconnect()
		Eventually(canceled).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("leaves its connection open for the next stream", func() {
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

	It("under a key is stored and replayed completely", func() {
		e := &engine{}
		r := newTestProxy(longProgressTimeout, httpServer(e.serve))
		for range 2 {
			got := r.stream("summary", api.HeaderIdempotencyKey, "k")
			Expect(got).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
		}
		Expect(e.requests.Load()).To(Equal(int32(1)))
	})
})

var _ = Describe("An answer that is not streamed", func() {
	chatAnswer := func(id string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			own := r.Header.Get(api.HeaderRequestID)
			w.Header().Set("Content-Type", mediaTypeJSON)
			_ = json.NewEncoder(w).Encode(&api.ChatResponse{ID: cmp.Or(id, own), Model: "m"})
		}
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", mediaTypeJSON)
		_, _ = w.Write([]byte(`{"id":"x","choi`))
	}
	failing := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "sorry", http.StatusInternalServerError) }

	DescribeTable("comes from another server", func(first http.HandlerFunc) {
		r := newTestProxy(longProgressTimeout, httpServer(first), httpServer(chatAnswer("")))
		got := r.mustCall(http.MethodPost, chatPath, chatBody("chat", false), api.HeaderRequestID, "mine")
		Expect(got.body).To(ContainSubstring(`"id":"mine"`))
	},
		Entry("if the first answer is truncated", http.HandlerFunc(truncated)),
		Entry("if the first answer belongs to another request", chatAnswer("another")),
		Entry("if the first server failed", http.HandlerFunc(failing)),
	)

	DescribeTable("is an explicit error if there is no other server", func(only http.HandlerFunc) {
		r := newTestProxy(longProgressTimeout, httpServer(only))
		got := r.mustCall(http.MethodPost, chatPath, chatBody("chat", false))
		Expect(got.status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(got.outcome).To(Equal(api.OutcomeMayHaveRun))
	},
		Entry("truncated", http.HandlerFunc(truncated)),
		Entry("of another request", chatAnswer("another")),
		Entry("a failed server", http.HandlerFunc(failing)),
	)

	It("is retried only within the retry budget", func() {
		requestsReceived := atomic.Int32{}
		overloaded := httpServer(func(w http.ResponseWriter, r *http.Request) {
			requestsReceived.Add(1)
			failing(w, r)
		})
		r := newTestProxy(longProgressTimeout, overloaded)
		// The budget is 10 retries, 10% of the requests and 0.5 a second.
		const requests, allowed = 300, 10 + 30 + 30
		for range requests {
			r.mustCall(http.MethodPost, chatPath, chatBody("chat", false))
		}
		Expect(requestsReceived.Load()).To(BeNumerically("<=", requests+allowed))
	})
})

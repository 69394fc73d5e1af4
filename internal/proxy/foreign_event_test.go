package proxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// writeErrorEvent writes the refusal of a request, which may be empty, to a stream.
func writeErrorEvent(w http.ResponseWriter, requestID string) {
	refusal := api.Errorf(api.CodeOverloaded, "no slot").NotRun()
	refusal.RequestID = requestID
	raw, _ := json.Marshal(&api.ErrorBody{Error: refusal})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}

// engineWithEvent returns an engine that writes an event before one of its chunks.
func engineWithEvent(chunk int, write func(w http.ResponseWriter, r *http.Request)) *engine {
	return &engine{canResume: true, beforeChunk: func(w http.ResponseWriter, r *http.Request, i int) {
		if i == chunk {
			write(w, r)
		}
	}}
}

var _ = Describe("A refusal in a stream", func() {
	DescribeTable("of another request, is dropped and counted", func(chunk int) {
		write := func(w http.ResponseWriter, _ *http.Request) { writeErrorEvent(w, "another") }
		first, second := engineWithEvent(chunk, write), engineWithEvent(chunk, write)
		r := newTestProxy(longProgressTimeout, httpServer(first.serve), httpServer(second.serve))
		before := lateAnswers.Get()
		got := r.stream("summary", api.HeaderIdempotencyKey, "k")
		Expect(got).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
		Expect(lateAnswers.Get() - before).To(Equal(uint64(1)))
		Expect(r.claimer.releases).To(BeZero())
		Expect(first.requests.Load() + second.requests.Load()).To(Equal(int32(1)))
	},
		Entry("before the first chunk", 0),
		Entry("between chunks", 3),
	)

	DescribeTable("of the request itself, is believed", func(requestID func(r *http.Request) string) {
		refusing := httpServer(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", mediaTypeEventStream)
			writeErrorEvent(w, requestID(r))
		})
		r := newTestProxy(longProgressTimeout, refusing, httpServer((&engine{}).serve))
		got := r.stream("summary", api.HeaderIdempotencyKey, "k")
		Expect(got).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
	},
		Entry("with its ID", func(r *http.Request) string { return r.Header.Get(api.HeaderRequestID) }),
		Entry("without an ID", func(*http.Request) string { return "" }),
	)

	It("of another request, does not count as progress", func() {
		silent := engineWithEvent(3, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				writeErrorEvent(w, "another")
				time.Sleep(shortProgressTimeout / 10)
			}
		})
		r := newTestProxy(shortProgressTimeout, httpServer(silent.serve), httpServer((&engine{canResume: true}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})
})

func writeStreamEnd(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", api.StreamEnd)
	_ = http.NewResponseController(w).Flush()
}

var _ = Describe("An explicit end before the first chunk of a stream", func() {
	endsAtOnce := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", mediaTypeEventStream)
		writeStreamEnd(w, r)
	}

	It("is dropped and counted", func() {
		e := engineWithEvent(0, writeStreamEnd)
		r := newTestProxy(longProgressTimeout, httpServer(e.serve))
		before := lateAnswers.Get()
		for range 2 {
			got := r.stream("summary", api.HeaderIdempotencyKey, "k")
			Expect(got).To(Equal(streamReply{text: tokensText(testTokens), ended: true}))
		}
		Expect(lateAnswers.Get() - before).To(Equal(uint64(1)))
		Expect(e.requests.Load()).To(Equal(int32(1)))
	})

	It("is no answer to a request that must not be repeated", func() {
		e := &engine{}
		r := newTestProxy(longProgressTimeout, httpServer(endsAtOnce), httpServer(e.serve))
		got := r.mustCall(http.MethodPost, chatPath, chatBody("summary", true), api.HeaderIdempotencyKey, "k")
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeStreamBroken))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.holds("k")).To(BeTrue())
		Expect(e.requests.Load()).To(BeZero())
	})

	It("is no answer to a request that another server can answer", func() {
		r := newTestProxy(longProgressTimeout, httpServer(endsAtOnce), httpServer((&engine{}).serve))
		Expect(r.stream("chat").text).To(Equal(tokensText(testTokens)))
	})
})

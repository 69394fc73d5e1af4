package proxy

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

var _ = Describe("A chat request that cannot be read in full", func() {
	// Guards against a chat that a backend server answers with other words than the caller's.
	DescribeTable("is refused with its field and has not run", func(body, field string) {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		got := r.mustCall(http.MethodPost, chatPath, body)
		Expect(got.status).To(Equal(http.StatusBadRequest))
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeRequestInvalid))
		Expect(got.errorOrEmpty().Field).To(Equal(field))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(server.requestCount()).To(BeZero())
	},
		Entry("a byte that is not UTF-8", "{\"model\":\"demo\",\"messages\":[{\"role\":\"user\",\"content\":\"a\xff\"}]}", "messages[0].content"),
		Entry("a lone surrogate", `{"model":"demo","messages":[{"role":"user","content":"\ud83d"}]}`, "messages[0].content"),
		Entry("two models", `{"model":"demo","model":"other","messages":[{"role":"user","content":"a"}]}`, "model"),
		Entry("a model in upper case", `{"MODEL":"demo","messages":[{"role":"user","content":"a"}]}`, "model"),
		Entry("text after the request", `{"model":"demo","messages":[{"role":"user","content":"a"}]}{}`, ""),
	)
})

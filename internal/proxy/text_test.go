package proxy

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

var _ = Describe("A request with a header that is not UTF-8", func() {
	// Guards against a backend server whose announcements are refused because they repeat the ID of a
	// chat, and against IDs that differ in the request and in the records about it.
	DescribeTable("is refused with the header's name and has not run", func(header string) {
		server := newRawServer(answerFirstOnly)
		r := newTestProxy(longProgressTimeout, server.address())
		got := r.mustCall(http.MethodPost, "/services/gates/a", "charge", header, "a\xff")
		Expect(got.status).To(Equal(http.StatusBadRequest))
		Expect(got.errorOrEmpty().Code).To(Equal(api.CodeRequestInvalid))
		Expect(got.errorOrEmpty().Field).To(Equal(header))
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeNotRun))
		Expect(server.requestCount()).To(BeZero())
		Expect(r.mustCall(http.MethodPost, "/services/gates/a", "charge", header, "é").status).To(Equal(http.StatusOK))
	},
		Entry("the chat", api.HeaderChat),
		Entry("the request's ID", api.HeaderRequestID),
	)
})

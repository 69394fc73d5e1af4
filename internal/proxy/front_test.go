package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// newFront returns the address of a reverse proxy that keeps its connections to a server. It
// calls change for each answer that it passes on.
func newFront(server string, change func(answer *http.Response)) string {
	return httpServer((&httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", server
		},
		ModifyResponse: func(answer *http.Response) error {
			change(answer)
			return nil
		},
		Transport: &http.Transport{},
	}).ServeHTTP)
}

var _ = Describe("A reverse proxy in front of a server", func() {
	DescribeTable("may echo the send ID as well as the server", func(lines string) {
		server := newRequestServer(func(conn net.Conn, r *http.Request, _, _ int) bool {
			echo := fmt.Sprintf(lines, api.HeaderSendID, r.Header.Get(api.HeaderSendID))
			return writeRaw(conn, "HTTP/1.1 200 OK\r\n"+echo+"Content-Length: 4\r\n\r\ndone")
		})
		r := newTestProxy(shortProgressTimeout, server.address())
		for range 2 {
			Expect(r.mustCall(http.MethodPost, "/services/gates/a", "charge").body).To(Equal("done"))
		}
		Expect(server.connCount()).To(Equal(1))
	},
		Entry("in a line of its own", "%[1]s: %[2]s\r\n%[1]s: %[2]s\r\n"),
		Entry("in the same line", "%[1]s: %[2]s, %[2]s\r\n"),
	)

	DescribeTable("does not make the copy of a refusal an answer", func(change func(answer *http.Response)) {
		server := newRepeatingServer(1, 1)
		r := newTestProxy(shortProgressTimeout, newFront(server.address(), change))
		got := r.chargeUntilRun("k")
		Expect(got.errorOrEmpty().Outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(r.claimer.holds("k")).To(BeTrue())
		expectOneRun("k", server)
	},
		Entry("if it passes on the server's echo", func(*http.Response) {}),
		Entry("if it adds its own to the server's", func(answer *http.Response) {
			answer.Header.Add(api.HeaderSendID, answer.Request.Header.Get(api.HeaderSendID))
		}),
	)
})

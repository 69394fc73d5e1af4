package proxy

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// newResettingServer returns the address of a server that answers a request before it has read the
// body, with a part of an answer without a length, and then resets the connection.
func newResettingServer() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					writeRaw(conn, "HTTP/1.1 200 OK\r\n"+api.HeaderSendID+": "+r.Header.Get(api.HeaderSendID)+"\r\nContent-Type: text/plain\r\n\r\npart")
				}
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a caller that gets the first part of an answer, or an answer without a valid status,
// as the whole one, and against a second run of a charge.
var _ = Describe("an answer that is none", func() {
	It("is not complete if its connection is reset during the upload", func() {
		r := newTestProxy(time.Second, newResettingServer())
		// The body exceeds what the socket buffers hold.
		out := r.mustCall(http.MethodPost, "/services/gates/charge", strings.Repeat("x", 7<<20))
		Expect(out.status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(out.outcome).To(Equal(api.OutcomeMayHaveRun))
	})

	DescribeTable("fails the request that may have run, once", func(status string) {
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			return writeRaw(conn, "HTTP/1.1 "+status+" \r\n"+api.HeaderSendID+": "+sendIDMark+"\r\nContent-Length: 2\r\n\r\nno")
		})
		r := newTestProxy(2*time.Second, server.address())
		start := time.Now()
		out := r.mustCall(http.MethodPost, "/services/gates/charge", "c")
		Expect(out.outcome).To(Equal(api.OutcomeMayHaveRun))
		Expect(out.status).To(BeNumerically(">=", http.StatusInternalServerError))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Expect(server.requestCount()).To(Equal(1))
	}, Entry("status 000", "000"), Entry("status 099", "099"), Entry("status 101", "101"), Entry("status 600", "600"))
})

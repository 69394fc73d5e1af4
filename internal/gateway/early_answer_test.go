package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// uploadBytes exceeds what the socket buffers between the gateway and a server hold.
const uploadBytes = 16 << 20

// startResettingServer starts a server that answers a request before it has read the body, with a part
// of an answer without a length, and then resets the connection.
func startResettingServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\npart", r.Header.Get("Id"))
				}
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return &testServer{id: "a", listener: listener}
}

// Guards against a caller that gets the first part of an answer as the whole one: the server resets
// the connection while the upload is still being written.
func TestAnswerResetDuringUploadIsNotForwardedAsComplete(t *testing.T) {
	g := NewWithT(t)
	table := newTable(t)
	table.Limits.MaxBodyBytes = 2 * uploadBytes
	url := startGateway(t, table, startResettingServer(t))
	for range 10 {
		r, err := http.NewRequest(http.MethodPost, url+"/unsafe/x", bytes.NewReader(make([]byte, uploadBytes)))
		g.Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header = http.Header{"Id": {"attempt"}, "Key": {"key"}}
		response, err := http.DefaultTransport.RoundTrip(r)
		g.Expect(err).NotTo(HaveOccurred())
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway), "body %q", body)
	}
}

// Guards against a head without a valid status that is forwarded, waited on until the deadline, or
// taken for a statement that the request did not run, so that an unsafe request is sent again.
func TestInvalidStatusIsAFailureOfTheServer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			server := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 %s \r\nId: %s\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno", status, r.Header.Get("Id"))
				return err == nil
			})
			url := startGateway(t, newTable(t), server)
			start := time.Now()
			got := send(t, url, "/unsafe/x")
			g.Expect(got.status).To(Equal(http.StatusBadGateway))
			g.Expect(got.body).To(ContainSubstring(`"outcome":"may_have_run"`))
			g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			g.Expect(server.requestCount()).To(Equal(1))
		})
	}
}

package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/backend"
)

// uploadBytes exceeds what the socket buffers of both sides hold, so that the server's answer
// arrives while the body is still being written.
const uploadBytes = 16 << 20

// upload sends a large request and reads the answer's body.
func upload(client *backend.Client, address string) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ex, err := client.Send(ctx, address, &backend.Request{
		ID: "1", Method: http.MethodPost, Target: "/", Host: "test", Header: http.Header{"Id": {"1"}},
		Body: make([]byte, uploadBytes), HasBody: true,
		AcceptAnswer: func(*http.Response, bool) bool { return true },
	})
	if err != nil {
		return nil, err
	}
	defer ex.Close(false)
	return io.ReadAll(ex.Body)
}

// startEarlyServer starts a server that answers before it has read the body, and then calls end.
func startEarlyServer(t *testing.T, answer string, end func(conn *net.TCPConn, requests *bufio.Reader)) string {
	return startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, answer)
		// The answer arrives before the end of the connection.
		time.Sleep(20 * time.Millisecond)
		end(conn.(*net.TCPConn), requests)
	})
}

func reset(conn *net.TCPConn, _ *bufio.Reader) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against a part of an answer that passes for the whole one: the failed write of the body
// takes the socket's error, and the next read then reports an ordinary end.
func TestAnswerWithoutLengthResetDuringUploadIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	address := startEarlyServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", reset)
	for range 50 {
		var opened atomic.Int32
		body, err := upload(newClient(&opened), address)
		g.Expect(err).To(HaveOccurred(), "body %q", body)
	}
}

// Guards against a server that ends an answer without a length by an ordinary close, and so resets
// the rest of the body: the answer may have ended early.
func TestAnswerWithoutLengthClosedDuringUploadIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	address := startEarlyServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", func(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.Close() })
	for range 20 {
		var opened atomic.Int32
		body, err := upload(newClient(&opened), address)
		g.Expect(err).To(HaveOccurred(), "body %q", body)
	}
}

// Guards against a complete answer that is rejected: the server ends its side after the answer, and
// reads the rest of the body.
func TestAnswerWithoutLengthIsCompleteIfTheServerReadsTheBody(t *testing.T) {
	g := NewWithT(t)
	address := startEarlyServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", func(conn *net.TCPConn, requests *bufio.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, requests)
	})
	var opened atomic.Int32
	body, err := upload(newClient(&opened), address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("whole"))
}

// Guards against a framed answer that is rejected because the server did not take the whole body.
func TestFramedAnswerDuringUploadIsComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks": "HTTP/1.1 413 Too Large\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startEarlyServer(t, answer, reset)
			var opened atomic.Int32
			body, err := upload(newClient(&opened), address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("whole"))
		})
	}
}

// Guards against an answer without a valid status that is skipped as an interim one, so that the
// send waits for its timeout, or that is passed on.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd",
		"HTTP/1.1 1000 Odd", "HTTP/1.1 99 Odd", "HTTP/1.1 -1 Odd", "HTTP/1.1 20 OK", "HTTP/1.1 2 00", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			g := NewWithT(t)
			address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
				if _, ok := readRequest(requests); ok {
					_, _ = fmt.Fprint(conn, line+"\r\nId: 1\r\nContent-Length: 2\r\n\r\nno")
					_, _ = io.Copy(io.Discard, requests)
				}
			})
			var opened atomic.Int32
			start := time.Now()
			_, err := send(newClient(&opened), address, "1")
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			var sendErr *backend.SendError
			g.Expect(err).To(BeAssignableToTypeOf(sendErr))
			g.Expect(err.(*backend.SendError).Written).To(BeTrue())
		})
	}
}

// Guards against a status without a reason phrase, which is valid, that counts as a failure.
func TestStatusWithoutReasonIsAnAnswer(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		if _, ok := readRequest(requests); ok {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200\r\nId: 1\r\nContent-Length: 3\r\n\r\nyes")
		}
	})
	var opened atomic.Int32
	g.Expect(send(newClient(&opened), address, "1")).To(Equal("yes"))
}

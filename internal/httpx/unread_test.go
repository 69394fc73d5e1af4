package httpx_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// refusingServer refuses all requests before it reads their bodies, and counts them. It fails the test
// if one has another method than the client's.
func refusingServer(t *testing.T, deadline time.Duration) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if r.Method != http.MethodPost {
			t.Errorf("a part of a body was taken for a request with the method %.20q", r.Method)
		}
		end := time.Time{}
		if deadline > 0 {
			end = time.Now().Add(deadline)
		}
		_ = httpx.AnswerUnread(w, r, end, func() { httpx.WriteJSON(w, http.StatusServiceUnavailable, "refused") })
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

// client sends requests on one connection.
type client struct {
	*WithT
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(t *testing.T, address string) *client {
	c := &client{WithT: NewWithT(t)}
	var err error
	c.conn, err = net.Dial("tcp", address)
	c.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.conn.Close() })
	c.Expect(c.conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	c.reader = bufio.NewReader(c.conn)
	return c
}

// sendParts sends a request with parts of its body, and then expects a refusal.
func (g *client) sendParts(head string, gap time.Duration, parts ...string) {
	_, err := fmt.Fprintf(g.conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", head)
	g.Expect(err).NotTo(HaveOccurred())
	for _, part := range parts {
		time.Sleep(gap)
		_, err := io.WriteString(g.conn, part)
		g.Expect(err).NotTo(HaveOccurred())
	}
	response, err := http.ReadResponse(g.reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
}

// expectEnd expects the connection to end without a reset.
func (g *client) expectEnd() {
	_, err := g.reader.ReadByte()
	g.Expect(err).To(Equal(io.EOF))
}

// TestRefusedUploadKeepsItsConnection guards against a client that sends its body within three seconds,
// and whose rest of the body is taken for its next request.
func TestRefusedUploadKeepsItsConnection(t *testing.T) {
	for _, deadline := range []time.Duration{0, 10 * time.Second} {
		address, requests := refusingServer(t, deadline)
		c := dialClient(t, address)
		c.sendParts("Content-Length: 300000", 290*time.Millisecond, slices.Repeat([]string{strings.Repeat("a", 30_000)}, 10)...)
		c.sendParts("Transfer-Encoding: chunked", 10*time.Millisecond, "3\r\naaa\r\n", "0\r\n\r\n")
		c.sendParts("Content-Length: 0", 0)
		c.Expect(requests.Load()).To(Equal(int64(3)))
	}
}

// TestTextAfterAnInvalidChunkIsNoRequest guards against a request inside the body of a refused one that
// runs as a request of its own.
func TestTextAfterAnInvalidChunkIsNoRequest(t *testing.T) {
	address, requests := refusingServer(t, 0)
	c := dialClient(t, address)
	c.sendParts("Transfer-Encoding: chunked", 10*time.Millisecond, "5\r\nhello\r\n", "zz\r\n", "GET /inside HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expectEnd()
	c.Expect(requests.Load()).To(Equal(int64(1)))
}

// TestRefusedUploadEndsAtTheDeadline guards against connections that clients hold without sending, and
// against a rest of the body that is taken for a request after the deadline.
func TestRefusedUploadEndsAtTheDeadline(t *testing.T) {
	address, requests := refusingServer(t, 500*time.Millisecond)
	started := time.Now()
	c := dialClient(t, address)
	c.sendParts("Content-Length: 60", 0, "aaa")
	time.Sleep(time.Second)
	_, _ = io.WriteString(c.conn, "GET /rest HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expectEnd()
	c.Expect(time.Since(started)).To(BeNumerically("<", 4*time.Second))
	c.Expect(requests.Load()).To(Equal(int64(1)))
}

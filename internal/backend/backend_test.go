package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/backend"
)

// startServer starts a server that passes each connection, with its sequence number, to handle.
func startServer(t *testing.T, handle func(n int32, conn net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var count atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(count.Add(1), conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

func readRequest(requests *bufio.Reader) (id string, ok bool) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id"), true
}

func writeAnswer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// answerAll answers each request of a connection with the body for its ID.
func answerAll(body func(id string) string) func(int32, net.Conn, *bufio.Reader) {
	return func(_ int32, conn net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			writeAnswer(conn, id, body(id))
		}
	}
}

func newRequest(id string) *backend.Request {
	return &backend.Request{
		ID: id, Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		AcceptAnswer: func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id },
	}
}

// send sends a request and returns the answer's body.
func send(c *backend.Client, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ex, err := c.Send(ctx, address, newRequest(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(ex.Body)
	ex.Close(err == nil)
	return string(body), err
}

func newClient(opened *atomic.Int32) *backend.Client {
	return backend.NewClient(backend.Hooks{Opened: func() { opened.Add(1) }, PassedOver: func() {}})
}

func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, answerAll(func(id string) string { return "for " + id }))
	var opened atomic.Int32
	c := newClient(&opened)
	for _, id := range []string{"1", "2", "3"} {
		g.Expect(send(c, address, id)).To(Equal("for " + id))
	}
	g.Expect(opened.Load()).To(Equal(int32(1)))
}

// TestRequestIsSentOnceWhenReusedConnectionFails guards against a transparent retry: the
// server closes a reused connection after it received the second request.
func TestRequestIsSentOnceWhenReusedConnectionFails(t *testing.T) {
	g := NewWithT(t)
	var received atomic.Int32
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		for i := 0; ; i++ {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			if received.Add(1); i > 0 {
				return
			}
			writeAnswer(conn, id, "first")
		}
	})
	var opened atomic.Int32
	c := newClient(&opened)
	g.Expect(send(c, address, "1")).To(Equal("first"))
	_, err := send(c, address, "2")
	var sendErr *backend.SendError
	g.Expect(err).To(BeAssignableToTypeOf(sendErr))
	g.Expect(err.(*backend.SendError).Written).To(BeTrue())
	g.Expect(opened.Load()).To(Equal(int32(1)))
	g.Expect(received.Load()).To(Equal(int32(2)))
}

func TestRefusedConnectionReportsNothingWritten(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	var opened atomic.Int32
	_, err = send(newClient(&opened), address, "1")
	g.Expect(err.(*backend.SendError).Written).To(BeFalse())
}

// TestUnmatchedAnswersAreDiscarded guards against returning the late answer to an earlier
// request on the same connection.
func TestUnmatchedAnswersAreDiscarded(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		writeAnswer(conn, "late", "not yours")
		writeAnswer(conn, id, "yours")
		_, _ = io.Copy(io.Discard, requests)
	})
	var opened atomic.Int32
	g.Expect(send(newClient(&opened), address, "1")).To(Equal("yours"))
}

// TestConnectionWithExtraAnswerIsNotReused guards against taking a repeated answer for the
// answer to the next request.
func TestConnectionWithExtraAnswerIsNotReused(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(n int32, conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		writeAnswer(conn, id, "yours")
		if n == 1 {
			writeAnswer(conn, id, "yours again")
		}
		_, _ = io.Copy(io.Discard, requests)
	})
	var opened atomic.Int32
	c := newClient(&opened)
	g.Expect(send(c, address, "1")).To(Equal("yours"))
	time.Sleep(50 * time.Millisecond)
	g.Expect(send(c, address, "1")).To(Equal("yours"))
	g.Expect(opened.Load()).To(Equal(int32(2)))
}

// TestConnectionIsNotReusedAfterEarlyAnswer guards against a next request that the server
// reads as the rest of the previous body, which it answered before it was sent.
func TestConnectionIsNotReusedAfterEarlyAnswer(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			writeAnswer(conn, r.Header.Get("Id"), "early")
			time.Sleep(100 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
		}
	})
	var opened atomic.Int32
	c := newClient(&opened)
	long := newRequest("1")
	long.Body = []byte(strings.Repeat("x", 16<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ex, err := c.Send(ctx, address, long)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(ex.Body)
	g.Expect(err).NotTo(HaveOccurred())
	ex.Close(true)
	g.Expect(send(c, address, "2")).To(Equal("early"))
	g.Expect(opened.Load()).To(Equal(int32(2)))
}

// TestUnframedAnswerEndsWithConnection guards against taking a connection reset for the end
// of an answer without Content-Length, and against reusing its connection.
func TestUnframedAnswerEndsWithConnection(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(n int32, conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nunframed", id)
		if n == 2 {
			// A reset must not count as the end of the answer.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	var opened atomic.Int32
	c := newClient(&opened)
	g.Expect(send(c, address, "1")).To(Equal("unframed"))
	_, err := send(c, address, "2")
	g.Expect(err).To(HaveOccurred())
	g.Expect(opened.Load()).To(Equal(int32(2)), "no connection is reused")
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		id, _ := readRequest(requests)
		writeAnswer(conn, id, "once")
	})
	var opened atomic.Int32
	c := newClient(&opened)
	for _, id := range []string{"1", "2", "3"} {
		g.Expect(send(c, address, id)).To(Equal("once"))
		time.Sleep(30 * time.Millisecond)
	}
	g.Expect(opened.Load()).To(Equal(int32(3)))
}

// sendWithoutEnd writes text again and again until the connection fails.
func sendWithoutEnd(conn net.Conn, text string) (sentBytes int) {
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	for {
		n, err := conn.Write(block)
		sentBytes += n
		if err != nil {
			return sentBytes
		}
	}
}

// TestHeadWithoutEndIsCutOff guards against an answer's head of any size in memory: a faulty
// server sends bytes until its connection is closed.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for name, noise := range map[string]struct {
		start, repeated string
		err             error
	}{
		"no line end":     {"", "noise ", backend.ErrHeadTooLarge},
		"header line":     {"HTTP/1.1 200 OK\r\nId: 1\r\nA: ", "noise ", backend.ErrHeadTooLarge},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "a: b\r\n", backend.ErrHeadTooLarge},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", backend.ErrUnmatchedAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sent := make(chan int, 1)
			address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
				if _, ok := readRequest(requests); ok {
					_, _ = conn.Write([]byte(noise.start))
					sent <- sendWithoutEnd(conn, noise.repeated)
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := send(newClient(&atomic.Int32{}), address, "1")
			runtime.ReadMemStats(&after)
			g.Expect(err).To(MatchError(noise.err))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 4<<20))
			// What the kernel buffers is sent but not received.
			g.Eventually(sent, 5*time.Second).Should(Receive(BeNumerically("<", 64<<20)))
		})
	}
}

// TestCutHeadIsNoAnswer guards against a complete answer made of the part of a head that a server
// sent before it closed the connection.
func TestCutHeadIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 800\r\n\r\n"
	for length := range len(head) {
		address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
			if _, ok := readRequest(requests); ok {
				_, _ = conn.Write([]byte(head[:length]))
			}
		})
		body, err := send(newClient(&atomic.Int32{}), address, "1")
		g.Expect(err).To(HaveOccurred(), "head cut after %q; body %q", head[:length], body)
	}
}

// TestDiscardKeepsOnlyCompleteAnswers guards against a connection that returns to the pool with
// unread bytes of a body.
func TestDiscardKeepsOnlyCompleteAnswers(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, answerAll(func(string) string { return "0123456789" }))
	var opened atomic.Int32
	c := newClient(&opened)
	for i, limit := range []int64{9, 10, 10} {
		ex, err := c.Send(context.Background(), address, newRequest(strconv.Itoa(i)))
		g.Expect(err).NotTo(HaveOccurred())
		ex.Discard(limit)
	}
	g.Expect(opened.Load()).To(Equal(int32(2)))
}

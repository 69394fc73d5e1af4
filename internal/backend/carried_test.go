package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotwinch.example/peridotwinch/internal/backend"
)

// TestCopiedAnswerIsNotTakenForSecondSend guards against a late copy of the answer to the first send
// of a request that is sent again on the same connection.
func TestCopiedAnswerIsNotTakenForSecondSend(t *testing.T) {
	for _, id := range []string{"1", ""} {
		t.Run(fmt.Sprintf("ID %q", id), func(t *testing.T) {
			g := NewWithT(t)
			address := startServer(t, func(n int32, conn net.Conn, requests *bufio.Reader) {
				for i := 0; ; i++ {
					got, ok := readRequest(requests)
					if !ok {
						return
					}
					if i > 0 {
						writeAnswer(conn, id, "first")
					}
					writeAnswer(conn, got, map[int32]string{1: "first", 2: "second"}[n])
				}
			})
			c := newClient(&atomic.Int32{})
			g.Expect(send(c, address, id)).To(Equal("first"))
			g.Expect(send(c, address, id)).To(Equal("second"))
		})
	}
}

// TestConnectionThatCarriedRequestServesOthers guards against closing, or never using again, each
// connection that a request sent again cannot use.
func TestConnectionThatCarriedRequestServesOthers(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(n int32, conn net.Conn, requests *bufio.Reader) {
		answerAll(func(string) string { return strconv.Itoa(int(n)) })(n, conn, requests)
	})
	var opened, passedOver atomic.Int32
	c := backend.NewClient(backend.Hooks{
		Opened:     func() { opened.Add(1) },
		PassedOver: func() { passedOver.Add(1) },
	})
	g.Expect(send(c, address, "a")).To(Equal("1"))
	g.Expect(send(c, address, "a")).To(Equal("2"))
	g.Expect(passedOver.Load()).To(Equal(int32(1)))
	g.Expect(send(c, address, "b")).To(Equal("2"))
	g.Expect(send(c, address, "b")).To(Equal("1"), "the other idle connection")
	g.Expect(opened.Load()).To(Equal(int32(2)))
	g.Expect(send(c, address, "")).To(Equal("3"), "a request without an ID takes a new connection")
	g.Expect(send(c, address, "c")).To(Equal("3"))
}

// TestExpiredConnectionIsNotPassedOver guards against a count of sends that includes those which no
// connection could have served anyway.
func TestExpiredConnectionIsNotPassedOver(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", id)
		}
	})
	var opened, passedOver atomic.Int32
	c := backend.NewClient(backend.Hooks{
		Opened:     func() { opened.Add(1) },
		PassedOver: func() { passedOver.Add(1) },
	})
	for range 2 {
		g.Expect(send(c, address, "a")).To(BeEmpty())
	}
	g.Expect(opened.Load()).To(Equal(int32(2)))
	g.Expect(passedOver.Load()).To(BeZero())
}

// TestConnectionsAreReplacedAfterManyRequests guards against a connection whose memory of requests grows
// without bound, or which forgets one of them.
func TestConnectionsAreReplacedAfterManyRequests(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, answerAll(func(id string) string { return id }))
	var opened atomic.Int32
	c := newClient(&opened)
	for i := range 2*backend.MaxRequestsPerConn + 1 {
		g.Expect(send(c, address, strconv.Itoa(i))).To(Equal(strconv.Itoa(i)))
	}
	g.Expect(opened.Load()).To(Equal(int32(3)))
}

// TestRepeatedIDsPileUpNoConnections guards against a new connection for each request with a repeated or
// missing ID beside all those that it cannot use, until the server resets the connections of others.
func TestRepeatedIDsPileUpNoConnections(t *testing.T) {
	for _, id := range []string{"same", ""} {
		t.Run(fmt.Sprintf("ID %q", id), func(t *testing.T) {
			g := NewWithT(t)
			var open, opened atomic.Int32
			address := startServer(t, func(n int32, conn net.Conn, requests *bufio.Reader) {
				open.Add(1)
				defer open.Add(-1)
				answerAll(func(id string) string { return id })(n, conn, requests)
			})
			c := newClient(&opened)
			for range 200 {
				g.Expect(send(c, address, id)).To(Equal(id))
				g.Eventually(open.Load).Should(BeNumerically("<=", 2), "connections open at once")
			}
			g.Expect(opened.Load()).To(Equal(int32(200)))
		})
	}
}

// TestRequestsWithoutIDLeaveOtherConnections guards against a bound below the number of requests that were in
// flight, so that each of their successors would open a connection.
func TestRequestsWithoutIDLeaveOtherConnections(t *testing.T) {
	g := NewWithT(t)
	const inFlight = 10
	var received, open, opened atomic.Int32
	release := make(chan struct{})
	address := startServer(t, func(n int32, conn net.Conn, requests *bufio.Reader) {
		open.Add(1)
		defer open.Add(-1)
		answerAll(func(id string) string {
			if received.Add(1) <= inFlight {
				<-release
			}
			return id
		})(n, conn, requests)
	})
	c := newClient(&opened)
	results := make(chan error, inFlight)
	for i := range inFlight {
		go func() {
			_, err := send(c, address, strconv.Itoa(i))
			results <- err
		}()
	}
	g.Eventually(received.Load).Should(Equal(int32(inFlight)))
	close(release)
	for range inFlight {
		g.Expect(<-results).NotTo(HaveOccurred())
	}
	for i := range int32(3) {
		g.Expect(send(c, address, "")).To(Equal(""))
		g.Expect(opened.Load()).To(Equal(inFlight + i + 1))
		g.Eventually(open.Load).Should(Equal(int32(inFlight)))
	}
}

// copies is what a server does beside answering a request. It is sent as a header of the request.
type copies struct {
	// count copies of the answers from oldest on follow each other, each in two pieces.
	count, oldest, firstPieceBytes int
	// late copies follow the request's answer; others precede it.
	late bool
	// interim copies begin with an interim answer.
	interim bool
	// noID leaves the ID out if the request is the connection's first one, as a server does that could
	// not read the request.
	noID bool
}

func drawCopies(t *rapid.T) copies {
	return copies{
		count: rapid.IntRange(0, 3).Draw(t, "count"), oldest: rapid.IntRange(0, 5).Draw(t, "oldest"),
		firstPieceBytes: rapid.IntRange(1, 60).Draw(t, "first piece"), late: rapid.Bool().Draw(t, "late"),
		interim: rapid.Bool().Draw(t, "interim"), noID: rapid.Bool().Draw(t, "no ID"),
	}
}

func (c copies) String() string {
	return fmt.Sprint(c.count, c.oldest, c.firstPieceBytes, c.late, c.interim, c.noID)
}

func parseCopies(text string) (c copies) {
	_, _ = fmt.Sscan(text, &c.count, &c.oldest, &c.firstPieceBytes, &c.late, &c.interim, &c.noID)
	return c
}

// write writes the copies of answers to a connection. pause is called between their pieces.
func (c copies) write(conn net.Conn, answers []string, pause func()) {
	for i := range c.count {
		if len(answers) == 0 {
			return
		}
		copied := answers[(c.oldest+i)%len(answers)]
		if c.interim {
			fields, _, _ := strings.Cut(strings.TrimPrefix(copied, "HTTP/1.1 200 X\r\n"), "Content-Length")
			copied = "HTTP/1.1 103 X\r\n" + fields + "\r\n" + copied
		}
		length := min(c.firstPieceBytes, len(copied))
		_, _ = io.WriteString(conn, copied[:length])
		pause()
		_, _ = io.WriteString(conn, copied[length:])
	}
}

// answerWithCopies answers each request of a connection with the number of the send.
func answerWithCopies(_ int32, conn net.Conn, requests *bufio.Reader) {
	var answers []string
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		extra := parseCopies(r.Header.Get("Copies"))
		if !extra.late {
			// The rest of the body is still to be read.
			extra.write(conn, answers, func() {})
		}
		_, _ = io.Copy(io.Discard, r.Body)
		echo := ""
		if id := r.Header.Get("Id"); id != "" && !(extra.noID && len(answers) == 0) {
			echo = "Id: " + id + "\r\n"
		}
		send := r.Header.Get("Send")
		answer := fmt.Sprintf("HTTP/1.1 200 X\r\n%sSend: %s\r\nContent-Length: %d\r\n\r\n", echo, send, len(send))
		if r.Method != http.MethodHead {
			answer += send
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		answers = append(answers, answer)
		if extra.late {
			extra.write(conn, answers, func() { time.Sleep(time.Millisecond) })
		}
	}
}

// TestNoAnswerOfAnotherSendIsAccepted guards against the answer to one send being accepted for
// another, and against a send that fails though nothing before its answer explains it: copies come at any
// point, in pieces, several in a row, also of answers to HEAD, and IDs are reused or missing.
func TestNoAnswerOfAnotherSendIsAccepted(t *testing.T) {
	address := startServer(t, answerWithCopies)
	rapid.Check(t, func(t *rapid.T) {
		c := newClient(&atomic.Int32{})
		defer c.CloseIdle(address)
		ids := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", ""}), 2, 12).Draw(t, "ids")
		// lateCopies reports whether copies may be on their way on an idle connection. heads reports whether one
		// has carried a HEAD, whose answer has no body after its length.
		lateCopies, heads := false, false
		for i, id := range ids {
			if rapid.Bool().Draw(t, "close idle") {
				c.CloseIdle(address)
				lateCopies, heads = false, false
			}
			extra := drawCopies(t)
			isHead := rapid.IntRange(0, 4).Draw(t, "method") == 0
			heads = heads || isHead
			mayFail := lateCopies || !extra.late && (extra.count > 2 || extra.count > 0 && heads)
			lateCopies = lateCopies || extra.count > 0 && extra.late
			request := newRequest(id)
			request.Header = http.Header{"Send": {strconv.Itoa(i)}, "Copies": {extra.String()}}
			if id != "" {
				request.Header.Set("Id", id)
			}
			if isHead {
				request.Method, request.Body = http.MethodHead, nil
			}
			request.AcceptAnswer = func(r *http.Response, connReused bool) bool {
				echo := r.Header.Get("Id")
				return echo == id || echo == "" && !connReused
			}
			if rapid.Bool().Draw(t, "long") && !isHead {
				request.Body = make([]byte, 64<<10)
			}
			timeout := 5 * time.Second
			if mayFail {
				timeout = 100 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			ex, err := c.Send(ctx, address, request)
			var body []byte
			var got string
			if err == nil {
				got = ex.Header.Get("Send")
				body, err = io.ReadAll(ex.Body)
				ex.Close(err == nil)
			}
			cancel()
			if err == nil && (got != strconv.Itoa(i) || !isHead && string(body) != got || isHead && len(body) > 0) {
				t.Fatalf("send %d of request %q got the answer to send %s with the body %q", i, id, got, body)
			}
			if err != nil && !mayFail {
				t.Fatalf("send %d of request %q failed: %v", i, id, err)
			}
		}
	})
}

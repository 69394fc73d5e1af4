package httpx_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// startDrainingServer starts a server that takes 100 ms for each answer.
func startDrainingServer(t *testing.T) (*httpx.DrainingServer, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httpx.NewDrainingServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = w.Write([]byte("whole"))
	}), time.Minute)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return server, listener
}

func dial(g *WithT, listener net.Listener) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	return conn, bufio.NewReader(conn)
}

const requestHead = "GET / HTTP/1.1\r\nHost: h\r\n"

func readAnswer(g *WithT, reader *bufio.Reader) {
	answer, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
	_ = answer.Body.Close()
}

// TestDrainAnswersPartlyReadRequest guards against closing a keep-alive connection on which
// a request has arrived in part.
func TestDrainAnswersPartlyReadRequest(t *testing.T) {
	g := NewWithT(t)
	server, listener := startDrainingServer(t)
	conn, reader := dial(g, listener)
	_, _ = fmt.Fprint(conn, requestHead, "\r\n")
	readAnswer(g, reader)
	// Half of the second request has arrived when the drain starts.
	_, _ = fmt.Fprint(conn, requestHead)
	time.Sleep(50 * time.Millisecond)
	_ = listener.Close()
	done := make(chan error, 1)
	go func() { done <- server.Drain(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	_, _ = fmt.Fprint(conn, "\r\n")
	readAnswer(g, reader)
	g.Eventually(done, 5*time.Second).Should(Receive(BeNil()))
}

func TestDrainClosesIdleConnectionImmediately(t *testing.T) {
	g := NewWithT(t)
	server, listener := startDrainingServer(t)
	conn, reader := dial(g, listener)
	_, _ = fmt.Fprint(conn, requestHead, "\r\n")
	readAnswer(g, reader)
	time.Sleep(50 * time.Millisecond)
	_ = listener.Close()
	start := time.Now()
	g.Expect(server.Drain(context.Background())).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond))
}

// TestDrainServesFirstRequestOfNewConnection guards against closing a connection that was
// accepted before the drain and has not delivered its first request.
func TestDrainServesFirstRequestOfNewConnection(t *testing.T) {
	g := NewWithT(t)
	server, listener := startDrainingServer(t)
	conn, reader := dial(g, listener)
	time.Sleep(20 * time.Millisecond)
	_ = listener.Close()
	done := make(chan error, 1)
	go func() { done <- server.Drain(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	_, _ = fmt.Fprint(conn, requestHead, "\r\n")
	readAnswer(g, reader)
	g.Eventually(done, 5*time.Second).Should(Receive(BeNil()))
}

func TestDrainReturnsContextError(t *testing.T) {
	g := NewWithT(t)
	server, listener := startDrainingServer(t)
	conn, _ := dial(g, listener)
	_, _ = fmt.Fprint(conn, requestHead)
	time.Sleep(20 * time.Millisecond)
	_ = listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g.Expect(server.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
}

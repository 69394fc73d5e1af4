package httpx_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// closeHookListener calls beforeClose before an accepted connection is closed. Its own close is
// noticed late, as on a busy machine.
type closeHookListener struct {
	net.Listener
	beforeClose func()
}

func (l closeHookListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return nil, err
	}
	return closeHookConn{conn, l.beforeClose}, nil
}

type closeHookConn struct {
	net.Conn
	beforeClose func()
}

func (c closeHookConn) Close() error {
	c.beforeClose()
	return c.Conn.Close()
}

// drainingServer serves a listener until it is closed, and then drains.
type drainingServer struct {
	serve func(net.Listener) error
	drain func(context.Context) error
}

// testRequestBeforeClose lets a request arrive between the decision to close its connection, which
// has carried the given requests, and the close.
func testRequestBeforeClose(t *testing.T, newServer func(http.Handler) drainingServer, earlierRequests int) {
	g := NewWithT(t)
	var runs atomic.Int32
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = w.Write([]byte("whole"))
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var client net.Conn
	var sent atomic.Bool
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.serve(closeHookListener{listener, func() {
			if sent.CompareAndSwap(false, true) {
				_, _ = fmt.Fprint(client, requestHead, "\r\n")
				time.Sleep(50 * time.Millisecond) // The server's goroutine reads the request.
			}
		}})
	}()
	client, reader := dial(g, listener)
	for range earlierRequests {
		_, _ = fmt.Fprint(client, requestHead, "\r\n")
		readAnswer(g, reader)
	}
	time.Sleep(50 * time.Millisecond)
	_ = listener.Close()
	g.Eventually(served, 5*time.Second).Should(BeClosed())
	g.Expect(server.drain(context.Background())).To(Succeed())
	g.Expect(sent.Load()).To(BeTrue())
	answer, err := http.ReadResponse(reader, nil)
	g.Expect(err).To(HaveOccurred(), "got answer %+v", answer)
	g.Consistently(runs.Load, "200ms").Should(Equal(int32(earlierRequests)), "the request ran although its caller saw only a close")
}

func TestDrainRunsNoRequestWhoseCallerSeesOnlyTheClose(t *testing.T) {
	newServer := func(handler http.Handler) drainingServer {
		server := httpx.NewDrainingServer(handler, time.Minute)
		t.Cleanup(server.Close)
		return drainingServer{server.Serve, server.Drain}
	}
	t.Run("kept connection", func(t *testing.T) { testRequestBeforeClose(t, newServer, 1) })
	t.Run("first request", func(t *testing.T) { testRequestBeforeClose(t, newServer, 0) })
}

// TestShutdownRunsNoRequestWhoseCallerSeesOnlyTheClose guards against the same in the servers that
// use Shutdown of net/http.
func TestShutdownRunsNoRequestWhoseCallerSeesOnlyTheClose(t *testing.T) {
	testRequestBeforeClose(t, func(handler http.Handler) drainingServer {
		server := &http.Server{Handler: handler}
		return drainingServer{server.Serve, server.Shutdown}
	}, 1)
}

package rpc

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// failingListener fails its first calls of Accept with an error.
type failingListener struct {
	net.Listener
	failures atomic.Int32
	err      error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// TestServerOutlivesALackOfDescriptors guards against a process that ends, with all of its requests,
// because one connection could not be accepted.
func TestServerOutlivesALackOfDescriptors(t *testing.T) {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		failing := &failingListener{Listener: listener, err: shortage}
		failing.failures.Store(3)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		served := make(chan error, 1)
		go func() { served <- NewServer().Serve(ctx, failing) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(failing.failures.Load, 5*time.Second).Should(BeNumerically("<", -1), "the connection is accepted")
		g.Expect(conn.Close()).To(Succeed())
		cancel()
		g.Eventually(served, 5*time.Second).Should(Receive(BeNil()))
	}
}

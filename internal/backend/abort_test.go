package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAbortAfterCloseSparesNextSend guards against a late end of the context that closes the connection under the next send.
func TestAbortAfterCloseSparesNextSend(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	var received, opened atomic.Int32
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			if received.Add(1) > 1 {
				<-release
			}
			writeAnswer(conn, id, id)
		}
	})
	c := newClient(&opened)
	ctx, abort := context.WithTimeout(context.Background(), 5*time.Second)
	defer abort()
	first, err := c.Send(ctx, address, newRequest("1"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(first.Body)
	g.Expect(err).NotTo(HaveOccurred())
	first.Close(true)
	result := make(chan error, 1)
	go func() {
		_, err := send(c, address, "2")
		result <- err
	}()
	g.Eventually(received.Load).Should(Equal(int32(2)))
	abort()
	close(release)
	g.Expect(<-result).NotTo(HaveOccurred())
	g.Expect(opened.Load()).To(Equal(int32(1)), "both sends use one connection")
}

// TestAbortFailsReadOfAnswer guards against an end of the context that does nothing before Close.
func TestAbortFailsReadOfAnswer(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		_, _ = readRequest(requests)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npart")
		_, _ = io.Copy(io.Discard, requests)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	sendCtx, abort := context.WithCancel(ctx)
	defer abort()
	ex, err := newClient(&atomic.Int32{}).Send(sendCtx, address, newRequest("1"))
	g.Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(20*time.Millisecond, abort)
	_, err = io.ReadAll(ex.Body)
	g.Expect(err).To(HaveOccurred())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	ex.Close(false)
}

package backend_test

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/backend"
)

// TestRequestIsNotWrittenAgainstBeforeWrite guards against bytes of a request that must not be sent, against
// a connection that is lost with it, and against an unnoticed restart of a server.
func TestRequestIsNotWrittenAgainstBeforeWrite(t *testing.T) {
	g := NewWithT(t)
	var received, opened atomic.Int32
	conns := make(chan net.Conn, 10)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		conns <- conn
		for {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			received.Add(1)
			writeAnswer(conn, id, "answer")
		}
	})
	c := newClient(&opened)
	var infos []backend.ConnInfo
	refusal := errors.New("not now")
	sendIf := func(id string, result error) error {
		request := newRequest(id)
		request.BeforeWrite = func(info backend.ConnInfo) error {
			infos = append(infos, info)
			return result
		}
		ex, err := c.Send(context.Background(), address, request)
		if err == nil {
			ex.Discard(100)
		}
		return err
	}
	err := sendIf("1", refusal)
	g.Expect(errors.Is(err, refusal)).To(BeTrue())
	g.Expect(err.(*backend.SendError).Written).To(BeFalse())
	g.Expect(sendIf("1", nil)).To(Succeed())
	g.Expect(opened.Load()).To(Equal(int32(1)), "the connection is kept")
	_ = (<-conns).Close()
	time.Sleep(30 * time.Millisecond)
	g.Expect(sendIf("2", refusal)).NotTo(Succeed())
	g.Expect(infos).To(Equal([]backend.ConnInfo{{New: true}, {}, {New: true, LostIdle: true}}))
	g.Expect(received.Load()).To(Equal(int32(1)))
}

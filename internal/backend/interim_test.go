package backend_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

func TestInterimAnswersCostNoAnswerOfTheSend(t *testing.T) {
	g := NewWithT(t)
	var opened atomic.Int32
	client := newClient(&opened)
	interim := strings.Repeat("HTTP/1.1 102 Processing\r\nId: 9\r\n\r\n", 20)
	address := startServer(t, func(_ int32, conn net.Conn, requests *bufio.Reader) {
		for {
			id, ok := readRequest(requests)
			if !ok {
				return
			}
			_, _ = fmt.Fprint(conn, interim)
			writeAnswer(conn, "late", "late")
			_, _ = fmt.Fprint(conn, interim)
			writeAnswer(conn, id, "answer "+id)
		}
	})
	for _, id := range []string{"1", "2"} {
		g.Expect(send(client, address, id)).To(Equal("answer " + id))
	}
	g.Expect(opened.Load()).To(Equal(int32(1)))
}

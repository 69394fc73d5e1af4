package api_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// startRepeatingServer starts a server that answers each write with the name of its resource
// as the UID. Once it has read a request, it sends the connection's previous answer again.
func startRepeatingServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(conn)
		}
	}()
	return listener.Addr().String()
}

func repeatAnswers(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	previous := ""
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		body := fmt.Sprintf(`{"uid":%q}`, r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

func TestRepeatedAnswerAcknowledgesNoOtherWrite(t *testing.T) {
	g := NewWithT(t)
	client := api.NewClient(startRepeatingServer(t), "amina")
	for _, name := range []string{"a", "b", "c"} {
		stored, err := client.Put(context.Background(), api.Ref(name), &api.Resource{Kind: api.KindPools}, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(stored.UID).To(Equal(name))
	}
}

package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/bytebudget"
)

// peakHeap samples the heap until the returned function is called, which returns by how many bytes
// it has grown at most.
func peakHeap() (stop func() int) {
	heap := func() int {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	runtime.GC()
	start := heap()
	done, peak := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, heap()-start)
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(done)
		return <-peak
	}
}

func bigBody(mebibytes int) string { return strings.Repeat("0123456789abcdef", mebibytes<<16) }

// TestLargeAnswerArrivesWhole guards against a part of a large answer that looks complete.
func TestLargeAnswerArrivesWhole(t *testing.T) {
	body := bigBody(17)
	for name, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d", len(body)), "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			url := startGateway(t, newTable(t), startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%s\r\n\r\n", r.Header.Get("Id"), head)
				if name == "length" {
					_, _ = io.WriteString(conn, body)
					return true
				}
				writeChunk(conn, body)
				_, _ = io.WriteString(conn, "0\r\n\r\n")
				return true
			}))
			for range 2 {
				answer := send(t, url, "/unsafe/x")
				g.Expect(answer.err).NotTo(HaveOccurred())
				g.Expect(answer.status).To(Equal(200))
				g.Expect(answer.body == body).To(BeTrue(), "%d of %d bytes", len(answer.body), len(body))
			}
		})
	}
}

// TestLargeAnswerThatEndsEarlyLooksIncomplete guards against a broken answer that looks complete
// after its start was forwarded.
func TestLargeAnswerThatEndsEarlyLooksIncomplete(t *testing.T) {
	for _, head := range []string{"Content-Length: 3000000", "Transfer-Encoding: chunked"} {
		t.Run(head, func(t *testing.T) {
			g := NewWithT(t)
			url := startGateway(t, newTable(t), startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%s\r\n\r\n", r.Header.Get("Id"), head)
				if strings.HasPrefix(head, "Content") {
					_, _ = io.WriteString(conn, bigBody(1))
				} else {
					writeChunk(conn, bigBody(1))
				}
				return false
			}))
			answer := send(t, url, "/safe/x")
			g.Expect(answer.status).To(Equal(200))
			g.Expect(answer.err).To(HaveOccurred())
		})
	}
}

// TestAnswersWithoutEndTakeNoMemory guards against a router that keeps what faulty servers send
// without end, in a body or in an event, and ends for lack of memory.
func TestAnswersWithoutEndTakeNoMemory(t *testing.T) {
	const requests = 200
	for name, head := range map[string]string{"body": "", "event": "Content-Type: text/event-stream\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var sent atomic.Int64
			server := startTestServer(t, "a", func(_ int, conn net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), head)
				block := []byte("4000\r\n" + strings.Repeat("n", 0x4000) + "\r\n")
				for {
					n, err := conn.Write(block)
					sent.Add(int64(n))
					if err != nil {
						return false
					}
					time.Sleep(time.Millisecond)
				}
			})
			servers := []*testServer{server}
			for i := range 7 {
				servers = append(servers, &testServer{id: string(rune('b' + i)), listener: server.listener})
			}
			url := startGateway(t, newTable(t), servers...)
			stop := peakHeap()
			var group sync.WaitGroup
			for range requests {
				group.Go(func() {
					r, _ := http.NewRequest(http.MethodPost, url+"/stream/x", nil)
					r.Host = "h"
					r.Header.Set("Key", "key")
					response, err := http.DefaultTransport.RoundTrip(r)
					if err != nil {
						return
					}
					defer func() { _ = response.Body.Close() }()
					_, err = io.Copy(io.Discard, response.Body)
					if response.StatusCode == http.StatusOK && err == nil {
						t.Error("an answer without end looks complete")
					}
				})
			}
			group.Wait()
			peak := stop()
			g.Expect(sent.Load()).To(BeNumerically(">", requests*bytebudget.FreeBytes), "more than answers of an ordinary size")
			g.Expect(peak).To(BeNumerically("<", 64<<20), "bytes of memory for %d bytes of answers", sent.Load())
		})
	}
}

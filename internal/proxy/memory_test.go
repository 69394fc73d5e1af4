package proxy

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/bytebudget"
)

// routerMemoryBytes is the memory of the smallest known machine of a router.
const routerMemoryBytes = 284 << 20

// sendWithoutEnd writes text again and again until the connection fails.
func sendWithoutEnd(conn net.Conn, text string) {
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// Guards against a router that keeps what faulty servers send without end, and ends for lack of
// memory.
var _ = Describe("a server that sends bytes without end", func() {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	DescribeTable("takes bounded memory and fails its request", func(start, repeated string, asStream bool) {
		const requests = 60
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			_, _ = io.WriteString(conn, start)
			sendWithoutEnd(conn, repeated)
			return false
		})
		proxy := newTestProxy(2*time.Second, server.address())
		var before, peak runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		most, done := uint64(0), make(chan struct{})
		var sampler, callers sync.WaitGroup
		sampler.Go(func() {
			for {
				runtime.ReadMemStats(&peak)
				most = max(most, peak.HeapAlloc)
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
		for range requests {
			callers.Go(func() {
				defer GinkgoRecover()
				path, body := "/services/gates/a", "charge"
				if asStream {
					path, body = "/v1/chat/completions", chatBody("chat", true)
				}
				reply := proxy.mustCall("POST", path, body)
				Expect(reply.status).To(BeNumerically(">=", 500))
				Expect(reply.outcome).To(Equal(api.OutcomeMayHaveRun))
			})
		}
		callers.Wait()
		close(done)
		sampler.Wait()
		Expect(most-before.HeapAlloc).To(BeNumerically("<", routerMemoryBytes/2), "bytes of memory")
	},
		Entry("in the head", "", "noise ", false),
		Entry("in header lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n", false),
		Entry("in the body", "HTTP/1.1 200 OK\r\n\r\n", "noise ", false),
		Entry("in an event", stream, "noise ", true),
		Entry("in the lines of an event", stream, "data: x\n", true),
	)
})

// Guards against a router that ends for lack of memory because many callers send large bodies at once.
var _ = Describe("large bodies of many requests", func() {
	It("are refused before a server receives them once they exceed the memory for them", func() {
		const requests, size, limit = 20, 4 << 20, 16 << 20
		release := make(chan struct{})
		server := newRawServer(func(conn net.Conn, _, _ int) bool {
			<-release
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+api.HeaderSendID+": "+sendIDMark+"\r\n\r\nok")
			return err == nil
		})
		proxy := newTestProxy(10*time.Second, server.address())
		proxy.proxy.requestMemory = bytebudget.NewStrict(limit)
		var mu sync.Mutex
		statuses := make(map[int]int)
		var callers sync.WaitGroup
		for range requests {
			callers.Go(func() {
				defer GinkgoRecover()
				reply := proxy.mustCall("POST", "/services/gates/a", strings.Repeat("m", size))
				mu.Lock()
				defer mu.Unlock()
				if statuses[reply.status]++; reply.status != 200 {
					Expect(reply.errorOrEmpty().Code).To(Equal(api.CodeMemoryExhausted))
					Expect(reply.outcome).To(Equal(api.OutcomeNotRun))
				}
			})
		}
		Eventually(func() int { mu.Lock(); defer mu.Unlock(); return statuses[503] }).
			WithTimeout(10 * time.Second).Should(BeNumerically(">=", requests-limit/size))
		close(release)
		callers.Wait()
		Expect(statuses[200] + statuses[503]).To(Equal(requests))
		Expect(statuses[200]).To(And(BeNumerically(">", 0), BeNumerically("<", limit/size)))
		Expect(proxy.proxy.requestMemory.UsedBytes()).To(BeZero())
	})
})

var _ = Describe("eventReader", func() {
	read := func(text string) (events []string, err error) {
		reader := newEventReader(strings.NewReader(text), bytebudget.New(answerMemoryBytes).Share())
		for {
			data, err := reader.next()
			if err != nil {
				return events, err
			}
			events = append(events, string(data))
		}
	}
	It("joins the data of an event and ignores other fields", func() {
		events, err := read("id: 1\ndata: a\r\ndata:b\n\n: comment\n\ndata: " + strings.Repeat("c", 9000) + "\n\n")
		Expect(err).To(MatchError(io.EOF))
		Expect(events).To(Equal([]string{"a\nb", strings.Repeat("c", 9000)}))
	})
	It("reports a stream that ends within an event", func() {
		for _, text := range []string{"data: a\n\ndata: b", "data: a\n\ndata: b\n"} {
			events, err := read(text)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF), fmt.Sprintf("%q", text))
			Expect(events).To(Equal([]string{"a"}))
		}
	})
})
